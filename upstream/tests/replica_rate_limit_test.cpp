#include "upstream/rate_shares.h"
#include "upstream/recent_fleet.h"
#include "upstream/replica_availability.h"
#include "upstream/replica_rate_limit.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Two failure domains in each region. */
const std::map<std::string, std::string> kRegions{ { "d0", "r0" }, { "d1", "r0" }, { "d2", "r1" },
                                                   { "d3", "r1" }, { "d4", "r2" }, { "d5", "r2" } };

const core::TimePoint kStart{ std::chrono::hours{ 1 } };

std::vector<FleetMember>
MakeFleet(std::size_t aDaemons, std::size_t aDomains)
{
  std::vector<FleetMember> members;
  for (std::size_t n = 0; n < aDaemons; ++n) {
    const double weight = n % 3 == 0 ? 0.5 : 0.02;
    members.push_back({ "vm" + std::to_string(n), "d" + std::to_string(n % aDomains), weight });
  }
  return members;
}

/** The most requests in any 4 s that a replica may get. */
double
MostAllowed(double aMaxRate)
{
  return 1.5 * aMaxRate * 4.0 + 5.0;
}

/** Counts the requests of the last four seconds. */
class SlidingCount
{
public:
  std::size_t Add(core::TimePoint aNow)
  {
    mTimes.push_back(aNow);
    while (aNow - mTimes.front() >= seconds{ 4 }) {
      mTimes.pop_front();
    }
    return mTimes.size();
  }

private:
  std::deque<core::TimePoint> mTimes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_rate_limit)

BOOST_AUTO_TEST_CASE(a_lower_limit_counts_at_once_and_a_higher_one_after_a_later_request)
{
  ReplicaRateLimit limit;
  BOOST_TEST((limit.Apply(10.0, kStart, 0.0, kStart + seconds{ 1 }) == RateLimitChange::Began));
  // Sent before the answer that named 10 arrived.
  const core::TimePoint before = kStart + milliseconds{ 900 };
  const core::TimePoint after = kStart + milliseconds{ 1100 };
  BOOST_TEST((limit.Apply(30.0, before, 0.0, after) == RateLimitChange::None));
  BOOST_TEST(limit.MaxRate().value() == 10.0);
  BOOST_TEST((limit.Apply(std::nullopt, before, 0.0, after) == RateLimitChange::None));
  BOOST_TEST((limit.Apply(5.0, before, 0.0, after) == RateLimitChange::Changed));
  BOOST_TEST(limit.MaxRate().value() == 5.0);
  const core::TimePoint later = after + seconds{ 1 };
  BOOST_TEST((limit.Apply(30.0, after, 0.0, later) == RateLimitChange::Changed));
  BOOST_TEST(limit.MaxRate().value() == 30.0);
  BOOST_TEST((limit.Apply(std::nullopt, later, 0.0, later) == RateLimitChange::Ended));
  BOOST_TEST(!limit.MaxRate().has_value());
  BOOST_TEST(limit.TryTake({}, later));
}

BOOST_AUTO_TEST_CASE(the_end_that_another_daemon_saw_counts_only_if_it_is_newer)
{
  ReplicaRateLimit limit;
  limit.Apply(10.0, kStart, 0.0, kStart + seconds{ 2 });
  BOOST_TEST((limit.ApplyEnd(kStart + seconds{ 1 }) == RateLimitChange::None));
  BOOST_TEST(limit.MaxRate().has_value());
  BOOST_TEST((limit.ApplyEnd(kStart + seconds{ 3 }) == RateLimitChange::Ended));
  BOOST_TEST(!limit.MaxRate().has_value());
  // Only what an answer told is passed on, so that no rumour goes round.
  BOOST_TEST(!limit.EndedAt().has_value());
}

BOOST_AUTO_TEST_CASE(parts_of_several_tokens_are_no_token)
{
  // The next tokens come after 0.7, 0.7 and 0.9 s, then after 1.7 s.
  const std::vector<RateSource> sources{ { 0.3, 1.0 }, { 0.3, 1.0 }, { 0.1, 1.0 } };
  const auto waitMs = [&sources](std::size_t aAhead) {
    return std::chrono::duration_cast<milliseconds>(WaitInQueue(sources, aAhead)).count();
  };
  BOOST_TEST(waitMs(0) == 700);
  BOOST_TEST(waitMs(2) == 900);
  BOOST_TEST(waitMs(3) == 1700);
  BOOST_TEST((WaitInQueue({ { 0.5, 0.0 } }, 0) == TokenBucket::kNever));
  BOOST_TEST((WaitInQueue({ { 2.5, 0.0 } }, 1) == core::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_limit_of_zero_still_lets_its_end_be_noticed)
{
  ReplicaRateLimit limit;
  limit.Apply(0.0, kStart, 1.0, kStart);
  std::size_t sent = 0;
  for (int n = 0; n < 4000; ++n) {
    sent += limit.TryTake({ 1.0, 1 }, kStart + n * milliseconds{ 10 }) ? 1 : 0;
  }
  BOOST_TEST(sent >= 5U);
  BOOST_TEST(sent <= 10U);
}

BOOST_AUTO_TEST_CASE(a_removed_replica_keeps_its_limit_and_a_new_process_has_none)
{
  AnnouncedReplica replica;
  replica.id = "i-1";
  replica.service = "s";
  replica.startedAt = 1;
  ReplicaAvailability availability;
  availability.RateLimit().Apply(4.0, kStart, 0.0, kStart);
  RemovedReplicas removed;
  removed.Keep(replica, availability, kStart);
  BOOST_TEST(removed.Take(replica).RateLimit().MaxRate().value() == 4.0);
  removed.Keep(replica, availability, kStart);
  replica.startedAt = 2;
  BOOST_TEST(!removed.Take(replica).RateLimit().MaxRate().has_value());
}

BOOST_AUTO_TEST_CASE(saved_requests_of_all_daemons_arriving_together_stay_within_the_limit)
{
  std::mt19937_64 random(20261204);
  for (const std::size_t daemons : { 1U, 7U, 60U, 295U }) {
    const std::vector<FleetMember> members = MakeFleet(daemons, daemons < 6 ? 1 : 6);
    for (const double maxRate : { 0.0, 0.3, 1.0, 7.0, 16.0, 33.0, 400.0 }) {
      std::vector<ReplicaRateLimit> limits(daemons);
      std::vector<RateShare> shares;
      for (std::size_t n = 0; n < daemons; ++n) {
        limits[n].Apply(maxRate, kStart, static_cast<double>(random() % 100) / 100.0, kStart);
        const RateShares own(members, members[n].vm, kRegions);
        shares.push_back(own.ShareOf(limits[n].MaxSenders(), "r1"));
      }
      SlidingCount count;
      std::size_t most = 0;
      std::size_t sent = 0;
      // All are idle for a minute, then send as much as they may.
      for (int step = 0; step < 800; ++step) {
        const core::TimePoint now = kStart + seconds{ 60 } + step * milliseconds{ 25 };
        for (std::size_t n = 0; n < daemons; ++n) {
          while (limits[n].TryTake(shares[n], now)) {
            ++sent;
            most = std::max(most, count.Add(now));
          }
        }
      }
      BOOST_TEST(static_cast<double>(most) <= MostAllowed(maxRate));
      // What the buckets are made for: one second's worth and 2.5 requests saved up.
      BOOST_TEST(static_cast<double>(most) <= std::max(0.2, maxRate) * 5.0 + 2.5);
      // Two thirds of what the replica accepts in 20 s.
      BOOST_TEST(static_cast<double>(sent) >= maxRate * 20.0 * 2.0 / 3.0);
    }
  }
}

BOOST_AUTO_TEST_CASE(shares_sum_to_one_over_the_daemons_that_get_one)
{
  const std::vector<FleetMember> members = MakeFleet(295, 6);
  for (const std::size_t senders : { 1U, 2U, 5U, 18U, 100U, 295U, 1000U }) {
    for (const std::string region : { "r0", "r2", "elsewhere" }) {
      double sum = 0.0;
      std::size_t n = 0;
      for (const FleetMember& member : members) {
        const double share =
          RateShares(members, member.vm, kRegions).ShareOf(senders, region).fraction;
        sum += share;
        n += share > 0.0 ? 1 : 0;
      }
      BOOST_TEST(sum == 1.0, boost::test_tools::tolerance(1e-9));
      BOOST_TEST(n == std::min<std::size_t>(senders, 295));
    }
  }
  BOOST_TEST(RateShares(members, "unknown", kRegions).ShareOf(295, "r0").fraction == 0.0);
}

BOOST_AUTO_TEST_CASE(domains_with_few_daemons_get_as_much_and_near_ones_get_half)
{
  const std::vector<FleetMember> members{
    { "a", "d0", 1.0 }, { "b", "d0", 1.0 }, { "c", "d2", 1.0 }, { "d", "d4", 1.0 }
  };
  const auto shareOf = [&members](const std::string& aVm, const std::string& aRegion) {
    return RateShares(members, aVm, kRegions).ShareOf(10, aRegion).fraction;
  };
  BOOST_TEST(shareOf("a", "elsewhere") == 1.0 / 6.0);
  BOOST_TEST(shareOf("c", "elsewhere") == 1.0 / 3.0);
  BOOST_TEST(shareOf("a", "r0") == 0.25);
  BOOST_TEST(shareOf("c", "r0") == 0.25);
  BOOST_TEST(shareOf("c", "r1") == 0.5);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_vanishes_from_the_list_keeps_its_share_for_a_while)
{
  RecentFleet recent;
  FleetWeights whole;
  whole.Add({ "a", "d0", 1.0 });
  whole.Add({ "b", "d1", 1.0 });
  recent.Update(whole, kStart);
  FleetWeights alone;
  alone.Add({ "a", "d0", 1.0 });
  recent.Update(alone, kStart + seconds{ 1 });
  recent.Update(alone, kStart + seconds{ 3 });
  BOOST_TEST(recent.Fleet().members.size() == 2U);
  BOOST_TEST(recent.Fleet().OwnShare() == 0.5);
  BOOST_TEST(!recent.Expire(kStart + seconds{ 1 } + RecentFleet::kHoldTime - milliseconds{ 1 }));
  BOOST_TEST(recent.Expire(kStart + seconds{ 1 } + RecentFleet::kHoldTime));
  BOOST_TEST(recent.Fleet().OwnShare() == 1.0);
  recent.Update(whole, kStart + seconds{ 9 });
  BOOST_TEST(recent.Fleet().OwnShare() == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
