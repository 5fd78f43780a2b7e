#include "upstream/failure_rate.h"
#include "upstream/fleet_weights.h"
#include "upstream/replica_choice.h"
#include "upstream/retry_budget.h"
#include "upstream/token_bucket.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;

ReplicaCandidate
MakeCandidate(milliseconds aRoundTrip, milliseconds aServiceTime)
{
  ReplicaCandidate candidate;
  candidate.typicalTime = aRoundTrip + aServiceTime;
  candidate.serviceTime = aServiceTime;
  candidate.slots = 2;
  candidate.hasRoom = true;
  return candidate;
}

/**
 * Checks the limit in every window of extra attempts. First attempts in windows that start up to 10
 * s earlier count too, whichever gives the most.
 */
void
CheckBudget(const std::vector<core::TimePoint>& aFirsts,
            const std::vector<core::TimePoint>& aExtras,
            const RetryBudgetSettings& aSettings)
{
  const auto countIn = [](const std::vector<core::TimePoint>& aTimes, core::TimePoint aFrom) {
    std::size_t n = 0;
    for (const core::TimePoint time : aTimes) {
      n += time >= aFrom && time < aFrom + std::chrono::seconds{ 10 } ? 1 : 0;
    }
    return static_cast<double>(n);
  };
  for (std::size_t n = 0; n < aExtras.size(); n += 7) {
    const core::TimePoint from = aExtras[n];
    double maxFirsts = countIn(aFirsts, from);
    maxFirsts = std::max(maxFirsts, countIn(aFirsts, from - std::chrono::seconds{ 10 }));
    maxFirsts = std::max(maxFirsts, countIn(aFirsts, from - std::chrono::seconds{ 5 }));
    BOOST_TEST_REQUIRE(countIn(aExtras, from) <= aSettings.ratio * maxFirsts + aSettings.slack);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_choice)

BOOST_AUTO_TEST_CASE(the_nearest_of_equal_replicas_is_chosen)
{
  const std::vector<ReplicaCandidate> candidates{
    MakeCandidate(milliseconds{ 40 }, milliseconds{ 8 }),
    MakeCandidate(milliseconds{ 1 }, milliseconds{ 8 })
  };
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 1U);
  BOOST_TEST(ChooseReplica(candidates, 1).value() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stalled_replica_loses_to_one_in_another_region)
{
  std::vector<ReplicaCandidate> candidates{ MakeCandidate(milliseconds{ 40 }, milliseconds{ 8 }),
                                            MakeCandidate(milliseconds{ 1 }, milliseconds{ 8 }) };
  candidates[1].inFlight = 1;
  candidates[1].stalledFor = milliseconds{ 12 };
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 1U);
  candidates[1].stalledFor = milliseconds{ 30 };
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 0U);
}

BOOST_AUTO_TEST_CASE(requests_overflow_when_the_queue_takes_longer_than_the_round_trip)
{
  std::vector<ReplicaCandidate> candidates{ MakeCandidate(milliseconds{ 40 }, milliseconds{ 8 }),
                                            MakeCandidate(milliseconds{ 1 }, milliseconds{ 8 }) };
  candidates[1].inFlight = 4;
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 1U);
  candidates[1].waiting = 12;
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 0U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_fails_some_requests_loses_to_a_healthy_one_in_another_region)
{
  std::vector<ReplicaCandidate> candidates{ MakeCandidate(milliseconds{ 1 }, milliseconds{ 8 }),
                                            MakeCandidate(milliseconds{ 17 }, milliseconds{ 8 }) };
  candidates[0].failureRate = 0.03;
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 0U);
  candidates[0].failureRate = 0.2;
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 1U);
  // A replica with the same failure rate is no better.
  candidates[1].failureRate = 0.2;
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 0U);
}

BOOST_AUTO_TEST_CASE(failures_between_successes_count_and_decay)
{
  const core::TimePoint start{ std::chrono::seconds{ 100 } };
  FailureRate rate;
  BOOST_TEST(rate.At(start) == 0.0);
  rate.Record(true, start);
  BOOST_TEST(rate.At(start) < 0.2);
  for (int n = 0; n < 50; ++n) {
    rate.Record(n % 5 < 2, start + n * milliseconds{ 20 });
  }
  const core::TimePoint end = start + std::chrono::seconds{ 1 };
  BOOST_TEST(rate.At(end) > 0.3);
  BOOST_TEST(rate.At(end) < 0.4);
  BOOST_TEST(rate.At(end + std::chrono::seconds{ 12 }) < 0.05);
}

BOOST_AUTO_TEST_CASE(a_failing_replica_is_chosen_only_when_no_other_is_left)
{
  std::vector<ReplicaCandidate> candidates{ MakeCandidate(milliseconds{ 1 }, milliseconds{ 8 }),
                                            MakeCandidate(milliseconds{ 40 }, milliseconds{ 60 }) };
  candidates[0].isSuspect = true;
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 1U);
  candidates[1].hasRoom = false;
  BOOST_TEST(ChooseReplica(candidates, 0).value() == 0U);
  candidates[0].hasRoom = false;
  BOOST_TEST(!ChooseReplica(candidates, 0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(fleet_weights)

BOOST_AUTO_TEST_CASE(idle_connections_of_all_daemons_stay_within_a_replicas_limit)
{
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 2000; ++round) {
    const std::array<std::uint32_t, 6> limits{ 1, 4, 26, 64, 73, 550 };
    const std::uint32_t limit = limits[random() % limits.size()];
    std::array<std::vector<double>, 2> weights;
    std::array<double, 2> sums{};
    for (std::size_t n = 1 + random() % 90; n > 0; --n) {
      const std::size_t side = random() % 2;
      weights[side].push_back(random() % 3 == 0 ? 0.5 : 0.018);
      sums[side] += weights[side].back();
    }
    std::size_t idle = 0;
    for (const std::size_t side : { 0U, 1U }) {
      for (const double own : weights[side]) {
        const ConnectionQuota quota = SplitConnections(limit, sums[0], sums[1], own, side == 0);
        idle += quota.maxIdle;
        BOOST_TEST_REQUIRE(quota.maxOpen >= 1U);
      }
    }
    BOOST_TEST_REQUIRE(idle <= limit);
  }
}

BOOST_AUTO_TEST_CASE(near_daemons_of_a_small_fleet_have_connections_for_all_slots)
{
  // The Brezel deployment: 26 connections and 2 slots, 2 or 3 of 7 equal daemons in each region.
  BOOST_TEST(SplitConnections(26, 3.0, 4.0, 1.0, true).maxIdle >= 2U);
  BOOST_TEST(SplitConnections(26, 2.0, 5.0, 1.0, true).maxIdle >= 2U);
  BOOST_TEST(SplitConnections(26, 3.0, 4.0, 1.0, false).maxIdle >= 2U);
  BOOST_TEST(SplitConnections(26, 2.0, 5.0, 1.0, false).maxIdle >= 2U);
}

BOOST_AUTO_TEST_CASE(cold_senders_are_few_and_the_same_for_all)
{
  std::vector<FleetMember> members;
  members.reserve(60);
  for (int n = 0; n < 60; ++n) {
    members.push_back({ "vm-" + std::to_string(n), "near", 1.0 });
  }
  for (int replica = 0; replica < 50; ++replica) {
    std::size_t senders = 0;
    for (const FleetMember& member : members) {
      senders += MaySendCold(members, member.vm, "i-" + std::to_string(replica)) ? 1 : 0;
    }
    BOOST_TEST(senders == kColdSenders);
  }
}

BOOST_AUTO_TEST_CASE(cold_rates_of_all_daemons_stay_within_the_replicas_rate)
{
  constexpr double kRate = 4.0;
  std::vector<TokenBucket> rates(kColdSenders, TokenBucket{ 1.0, {} });
  core::TimePoint now = core::TimePoint{} + std::chrono::hours{ 1 };
  std::vector<core::TimePoint> sends;
  for (int step = 0; step < 10000; ++step) {
    now += milliseconds{ 1 };
    for (TokenBucket& rate : rates) {
      if (rate.TryTake(kRate / static_cast<double>(kColdSenders), 1.0, now)) {
        sends.push_back(now);
      }
    }
  }
  // The users' limit for one second: one and a half times the rate, plus five.
  for (std::size_t n = 0; n < sends.size(); ++n) {
    std::size_t inSecond = 0;
    for (std::size_t m = n; m < sends.size() && sends[m] - sends[n] < std::chrono::seconds{ 1 };
         ++m) {
      ++inSecond;
    }
    BOOST_TEST_REQUIRE(static_cast<double>(inSecond) <= kRate * 1.5 + 5.0);
  }
  BOOST_TEST(sends.size() > 30U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retry_budget)

BOOST_AUTO_TEST_CASE(extra_attempts_of_all_daemons_stay_within_the_limit_in_every_window)
{
  // Every request fails and asks for a retry. The load comes in bursts at a few of the daemons.
  constexpr std::size_t kDaemons = 7;
  const RetryBudgetSettings settings{ 0.2, 54.0, std::chrono::seconds{ 10 } };
  std::array<RetryBudget, kDaemons> daemons;
  std::mt19937_64 random(20261204);
  std::vector<core::TimePoint> firsts;
  std::vector<core::TimePoint> extras;
  core::TimePoint now = core::TimePoint{} + std::chrono::hours{ 1 };
  for (int step = 0; step < 40000; ++step) {
    now += milliseconds{ 1 };
    const bool isBurst = (step / 3000) % 3 == 0;
    if (random() % 100 >= (isBurst ? 60U : 6U)) {
      continue;
    }
    RetryBudget& daemon = daemons[random() % (isBurst ? 2 : kDaemons)];
    daemon.RecordFirstAttempt(now);
    firsts.push_back(now);
    if (daemon.TryTake(ExtraAttempt::Retry, settings, 1.0 / kDaemons, now)) {
      extras.push_back(now);
    }
  }
  BOOST_TEST(extras.size() > 100U);
  CheckBudget(firsts, extras, settings);
}

BOOST_AUTO_TEST_CASE(a_rolling_replacement_of_all_daemons_stays_within_the_limit_in_every_window)
{
  constexpr std::size_t kDaemons = 8;
  const RetryBudgetSettings settings{ 0.2, 56.0, std::chrono::seconds{ 10 } };
  std::array<RetryBudget, kDaemons> daemons;
  std::mt19937_64 random(20261204);
  std::vector<core::TimePoint> firsts;
  std::vector<core::TimePoint> extras;
  const core::TimePoint begin = core::TimePoint{} + std::chrono::hours{ 1 };
  for (int step = 0; step < 50000; ++step) {
    const core::TimePoint now = begin + milliseconds{ step };
    // Two rolling replacements overlap from 12 s on, so one of the daemons restarts every 0.6 s.
    if (step >= 12000 && step < 32000 && step % 600 == 0) {
      daemons[static_cast<std::size_t>(step / 600) * 5 % kDaemons] = RetryBudget(now);
    }
    if (random() % 1000 >= 55) {
      continue;
    }
    RetryBudget& daemon = daemons[random() % kDaemons];
    daemon.RecordFirstAttempt(now);
    firsts.push_back(now);
    // All replicas are slow: each request asks for a hedge and a retry. One daemon is missing.
    for (const ExtraAttempt kind : { ExtraAttempt::Hedge, ExtraAttempt::Retry }) {
      if (daemon.TryTake(kind, settings, 1.0 / (kDaemons - 1), now)) {
        extras.push_back(now);
      }
    }
  }
  BOOST_TEST(extras.size() > 300U);
  CheckBudget(firsts, extras, settings);
}

BOOST_AUTO_TEST_CASE(hedges_leave_a_part_of_the_budget_to_retries)
{
  const RetryBudgetSettings settings{ 0.2, 40.0, std::chrono::seconds{ 10 } };
  RetryBudget budget;
  const core::TimePoint now = core::TimePoint{} + std::chrono::hours{ 1 };
  int hedges = 0;
  while (budget.TryTake(ExtraAttempt::Hedge, settings, 1.0, now)) {
    ++hedges;
  }
  int retries = 0;
  while (budget.TryTake(ExtraAttempt::Retry, settings, 1.0, now)) {
    ++retries;
  }
  BOOST_TEST(hedges > 0);
  BOOST_TEST(retries >= hedges / 4);
  BOOST_TEST(hedges + retries <= 40);
}

BOOST_AUTO_TEST_CASE(the_budget_is_restored_when_the_window_has_passed)
{
  const RetryBudgetSettings settings{ 0.0, 10.0, std::chrono::seconds{ 10 } };
  RetryBudget budget;
  core::TimePoint now = core::TimePoint{} + std::chrono::hours{ 1 };
  while (budget.TryTake(ExtraAttempt::Retry, settings, 1.0, now)) {
  }
  now += std::chrono::seconds{ 9 };
  BOOST_TEST(!budget.TryTake(ExtraAttempt::Retry, settings, 1.0, now));
  now += std::chrono::seconds{ 3 };
  BOOST_TEST(budget.TryTake(ExtraAttempt::Retry, settings, 1.0, now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
