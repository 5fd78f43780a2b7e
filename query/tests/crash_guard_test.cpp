// Requests under which replicas end, sent again to a fleet of daemons, beside ordinary requests.

#include "query/crash_guard.h"
#include "query/tests/replica_simulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <set>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** From this time after the third end on, a request may reach replicas in three retries. */
constexpr core::Duration kContactTime = seconds{ 4 };
constexpr std::size_t kMaxLateArrivals = 3;

/** Time in which a daemon's evidence reaches the others, at a slow store. */
constexpr core::Duration kSpreadTime = milliseconds{ 1200 };

constexpr core::Duration kDownTime = seconds{ 2 };
const std::string kFatal = "/fatal";

/** Daemons that tell each other of replicas that ended. */
struct CrashFleet : ReplicaSimulation
{
  std::vector<std::unique_ptr<CrashGuard>> guards;
  std::vector<upstream::CrashEvidence> published;
  /** Daemons that hear and tell nothing for now. */
  std::set<std::size_t> cutOff;
  bool isGuarded = true;
  LoadOutcome outcome;
  std::size_t quarantineRefusals = 0;
  std::uint64_t lastRequest = 0;
  /** Requests may outlive the test's body. */
  std::deque<declaration::Route> routes;

  // NOLINTNEXTLINE(bugprone-exception-escape): an exception here ends the test, as it should.
  ~CrashFleet() { loop.Run(seconds{ 20 }); }

  void Start(std::size_t aDaemons, std::size_t aServices)
  {
    AddDaemons(aDaemons);
    SimulatedReplica model;
    model.work = milliseconds{ 8 };
    model.slots = 6;
    for (std::size_t n = 0; n < aServices; ++n) {
      AddService(n, model);
    }
    for (std::size_t n = 0; n < aDaemons; ++n) {
      Daemon(n).SetTable(table);
      guards.push_back(MakeGuard(n));
    }
  }

  std::unique_ptr<CrashGuard> MakeGuard(std::size_t aDaemon)
  {
    CrashGuardHooks hooks;
    hooks.checkEnded = [this, aDaemon](const std::string& aReplica,
                                       std::function<void(bool)> aCallback) {
      Daemon(aDaemon).CheckEnded(aReplica, std::move(aCallback));
    };
    hooks.publish = [this, aDaemon](const upstream::CrashEvidence& aEvidence) {
      published.push_back(aEvidence);
      loop.timers.Schedule(kSpreadTime, [this, aDaemon, aEvidence] {
        for (std::size_t n = 0; n < guards.size(); ++n) {
          if (n != aDaemon && cutOff.count(n) == 0 && cutOff.count(aDaemon) == 0) {
            guards[n]->Merge(aEvidence);
          }
        }
      });
    };
    hooks.onLossJudged = [](const LossReport&) {};
    return std::make_unique<CrashGuard>(loop.timers, random, std::move(hooks));
  }

  static std::uint64_t FingerprintOf(const std::string& aTarget)
  {
    return std::hash<std::string>()(aTarget);
  }

  /** Sends a request to a daemon, which refuses it or runs it. */
  void Ask(std::size_t aDaemon, const declaration::Route& aRoute, const std::string& aTarget)
  {
    ++outcome.requests;
    const std::uint64_t fingerprint = FingerprintOf(aTarget);
    if (isGuarded && guards[aDaemon]->Refuse(fingerprint)) {
      ++quarantineRefusals;
      return;
    }
    RequestPlan plan;
    plan.route = &aRoute;
    plan.table = table;
    auto request = std::make_shared<upstream::ForwardedRequest>();
    request->id = std::to_string(++lastRequest);
    request->isIdempotent = aRoute.isIdempotent;
    request->message.target = aTarget;
    plan.request = std::move(request);
    plan.services = aRoute.IsFanOut() ? aRoute.shards : std::vector<std::string>{ "s0" };
    plan.arrival = loop.timers.Now();
    plan.deadline = plan.arrival + aRoute.timeout;
    if (isGuarded) {
      plan.crashes = guards[aDaemon]->Watch(fingerprint, std::to_string(lastRequest));
    }
    auto run = std::make_shared<RequestRun>(
      Daemon(aDaemon), loop.timers, std::move(plan), [this](const RequestResult& aResult) {
        const bool isComplete =
          aResult.outcome == RequestOutcome::Complete || aResult.outcome == RequestOutcome::Relayed;
        outcome.complete += isComplete ? 1 : 0;
        outcome.partial += aResult.outcome == RequestOutcome::Partial ? 1 : 0;
      });
    run->Start();
  }

  /** Sends requests at a constant rate to random daemons. */
  void Load(const declaration::Route& aRoute,
            core::Duration aGap,
            core::Duration aSpan,
            const std::function<std::string()>& aMakeTarget)
  {
    const core::TimePoint end = loop.timers.Now() + aSpan;
    while (loop.timers.Now() < end) {
      Ask(random.Below(guards.size()), aRoute, aMakeTarget());
      loop.Run(aGap);
    }
  }

  std::function<std::string()> UniqueTargets()
  {
    return [this] { return "/ordinary/" + std::to_string(lastRequest); };
  }

  /** Ends a share of all replicas at the same moment, for a while. */
  void EndMany(double aShare)
  {
    for (auto& [id, replica] : replicas) {
      if (random.Fraction() < aShare) {
        replica.End();
        loop.timers.Schedule(kDownTime, [entry = &replica] { entry->hasEnded = false; });
      }
    }
  }

  void SetFatal(const std::string& aService)
  {
    for (auto& [id, replica] : replicas) {
      if (id.compare(0, aService.size() + 1, aService + "-") == 0) {
        replica.fatalTarget = kFatal;
      }
    }
  }

  std::vector<core::TimePoint> FatalArrivals() const
  {
    std::vector<core::TimePoint> times;
    for (const auto& [id, replica] : replicas) {
      times.insert(times.end(), replica.fatalArrivals.begin(), replica.fatalArrivals.end());
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  /** Checks the bound on retries after the third end. */
  void CheckLateArrivals() const
  {
    const auto times = FatalArrivals();
    BOOST_REQUIRE(times.size() >= CrashGuard::kCrashesUntilQuarantine);
    const core::TimePoint late = times[CrashGuard::kCrashesUntilQuarantine - 1] + kContactTime;
    const auto n = std::count_if(
      times.begin(), times.end(), [late](core::TimePoint aTime) { return aTime > late; });
    BOOST_TEST(static_cast<std::size_t>(n) <= kMaxLateArrivals,
               n << " late of " << times.size() << " arrivals");
  }

  const declaration::Route& SingleRoute(bool aIsIdempotent)
  {
    declaration::Route& route = routes.emplace_back(MakeRoute(0, 0, milliseconds{ 200 }));
    route.isIdempotent = aIsIdempotent;
    route.services.push_back({ "s0", 1.0 });
    return route;
  }

  /** @return a route over the first services, of which one may lack. */
  const declaration::Route& QueryRoute(std::size_t aShards)
  {
    return routes.emplace_back(MakeRoute(aShards, aShards - 1, milliseconds{ 150 }));
  }
};

std::string
FatalTarget()
{
  return kFatal;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_guard, CrashFleet)

BOOST_AUTO_TEST_CASE(a_request_ends_replicas_again_and_again_at_any_of_seven_daemons)
{
  Start(7, 1);
  SetFatal("s0");
  Load(SingleRoute(true), milliseconds{ 300 }, seconds{ 60 }, FatalTarget);
  CheckLateArrivals();
}

BOOST_AUTO_TEST_CASE(a_request_that_runs_once_ends_replicas_at_any_of_seven_daemons)
{
  Start(7, 1);
  SetFatal("s0");
  Load(SingleRoute(false), milliseconds{ 300 }, seconds{ 60 }, FatalTarget);
  CheckLateArrivals();
}

BOOST_AUTO_TEST_CASE(a_request_ends_replicas_at_each_of_hundreds_of_daemons)
{
  Start(295, 1);
  SetFatal("s0");
  Load(SingleRoute(true), milliseconds{ 100 }, seconds{ 40 }, FatalTarget);
  CheckLateArrivals();
}

BOOST_AUTO_TEST_CASE(a_query_ends_the_replicas_of_one_shard)
{
  Start(7, 6);
  SetFatal("s3");
  Load(QueryRoute(6), milliseconds{ 300 }, seconds{ 60 }, FatalTarget);
  CheckLateArrivals();
}

BOOST_AUTO_TEST_CASE(a_query_ends_the_replicas_of_all_shards)
{
  Start(7, 6);
  for (std::size_t n = 0; n < 6; ++n) {
    SetFatal("s" + std::to_string(n));
  }
  Load(QueryRoute(6), milliseconds{ 300 }, seconds{ 60 }, FatalTarget);
  CheckLateArrivals();
}

BOOST_AUTO_TEST_CASE(a_lost_query_is_sent_again_to_all_shards_at_once)
{
  Start(1, 6);
  for (std::size_t n = 0; n < 6; ++n) {
    SetFatal("s" + std::to_string(n));
  }
  const declaration::Route& route = QueryRoute(6);
  Ask(0, route, kFatal);
  loop.Run(seconds{ 5 });
  // One replica of each shard, and one retry.
  BOOST_TEST(FatalArrivals().size() <= 7U);
  const std::size_t before = FatalArrivals().size();
  Ask(0, route, kFatal);
  loop.Run(seconds{ 5 });
  // A single part, and its retry.
  BOOST_TEST(FatalArrivals().size() <= before + 2);
}

BOOST_AUTO_TEST_CASE(extra_attempts_exceed_the_fleets_budget_beside_requests_that_end_replicas)
{
  constexpr core::Duration kWindow = seconds{ 10 };
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 54.0;
  Start(7, 1);
  SetFatal("s0");
  const declaration::Route& route = SingleRoute(true);
  std::vector<core::TimePoint> asked;
  for (int n = 0; n < 3000; ++n) {
    const std::size_t before = quarantineRefusals;
    Ask(random.Below(guards.size()), route, n % 15 == 0 ? kFatal : UniqueTargets()());
    if (quarantineRefusals == before) {
      asked.push_back(loop.timers.Now());
    }
    loop.Run(milliseconds{ 20 });
  }
  loop.Run(seconds{ 5 });
  std::vector<core::TimePoint> arrived;
  for (const auto& [id, replica] : replicas) {
    arrived.insert(arrived.end(), replica.arrivalTimes.begin(), replica.arrivalTimes.end());
  }
  std::sort(arrived.begin(), arrived.end());
  const auto countIn = [kWindow](const std::vector<core::TimePoint>& aTimes,
                                 core::TimePoint aFrom) {
    const auto begin = std::lower_bound(aTimes.begin(), aTimes.end(), aFrom);
    return static_cast<double>(std::lower_bound(begin, aTimes.end(), aFrom + kWindow) - begin);
  };
  double most = 0.0;
  for (const core::TimePoint& from : arrived) {
    const double requests = countIn(asked, from);
    most = std::max(most, countIn(arrived, from) - requests * (1.0 + kRatio));
  }
  BOOST_TEST(FatalArrivals().size() >= CrashGuard::kCrashesUntilQuarantine);
  BOOST_TEST(most <= kSlack);
  BOOST_TEST_MESSAGE("extra beyond the ratio: " << most << ", arrivals " << arrived.size());
}

BOOST_AUTO_TEST_CASE(a_suspected_query_fails_because_the_shard_that_lost_replicas_has_none_left)
{
  Start(1, 6);
  SetFatal("s3");
  const declaration::Route& route = QueryRoute(6);
  Ask(0, route, kFatal);
  loop.Run(seconds{ 5 });
  BOOST_REQUIRE(guards[0]->CrashCount(FingerprintOf(kFatal)) == 1U);
  for (auto& [id, replica] : replicas) {
    replica.hasEnded = id.compare(0, 3, "s3-") == 0;
  }
  const std::size_t before = outcome.partial;
  Ask(0, route, kFatal);
  loop.Run(seconds{ 5 });
  BOOST_TEST(outcome.partial == before + 1);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_was_cut_off_sends_the_request_once_more_at_most)
{
  Start(7, 1);
  SetFatal("s0");
  cutOff = { 5, 6 };
  Load(SingleRoute(true), milliseconds{ 300 }, seconds{ 8 }, FatalTarget);
  // Back in touch, a daemon hears of all evidence that the store has.
  cutOff.clear();
  for (const upstream::CrashEvidence& evidence : std::vector(published)) {
    for (const auto& guard : guards) {
      guard->Merge(evidence);
    }
  }
  const std::size_t before = FatalArrivals().size();
  Load(SingleRoute(true), milliseconds{ 300 }, seconds{ 20 }, FatalTarget);
  BOOST_TEST(FatalArrivals().size() <= before + kMaxLateArrivals);
}

BOOST_AUTO_TEST_CASE(ordinary_requests_are_refused_when_many_replicas_end_by_themselves)
{
  const auto play = [](CrashFleet& aFleet) {
    aFleet.Start(7, 6);
    const declaration::Route& route = aFleet.QueryRoute(6);
    for (int wave = 0; wave < 20; ++wave) {
      aFleet.EndMany(0.3);
      aFleet.Load(route, milliseconds{ 8 }, seconds{ 4 }, aFleet.UniqueTargets());
    }
    aFleet.loop.Run(seconds{ 3 });
  };
  play(*this);
  CrashFleet unguarded;
  unguarded.isGuarded = false;
  play(unguarded);
  BOOST_TEST(quarantineRefusals == 0U);
  const auto served = [](const CrashFleet& aFleet) {
    return static_cast<double>(aFleet.outcome.complete + aFleet.outcome.partial) /
           static_cast<double>(aFleet.outcome.requests);
  };
  BOOST_TEST(served(*this) > served(unguarded) - 0.005,
             served(*this) << " instead of " << served(unguarded));
}

BOOST_AUTO_TEST_CASE(a_request_that_many_callers_send_is_refused_when_replicas_end_by_themselves)
{
  Start(5, 1);
  const declaration::Route& route = SingleRoute(true);
  const auto popular = [] { return std::string("/popular"); };
  for (int wave = 0; wave < 10; ++wave) {
    EndMany(1.0);
    Load(route, milliseconds{ 1 }, seconds{ 3 }, popular);
  }
  BOOST_TEST(quarantineRefusals == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_beside_one_that_ends_replicas_is_refused)
{
  Start(7, 1);
  SetFatal("s0");
  const declaration::Route& route = SingleRoute(true);
  for (int n = 0; n < 40; ++n) {
    Ask(random.Below(7), route, kFatal);
    Load(route, milliseconds{ 5 }, milliseconds{ 300 }, UniqueTargets());
  }
  CheckLateArrivals();
  BOOST_TEST(quarantineRefusals <= 40U);
}

BOOST_AUTO_TEST_CASE(a_suspected_request_that_is_answered_stays_suspected)
{
  Start(2, 1);
  const declaration::Route& route = SingleRoute(false);
  SetFatal("s0");
  Ask(0, route, kFatal);
  loop.Run(seconds{ 4 });
  BOOST_TEST(guards[0]->CrashCount(FingerprintOf(kFatal)) == 1U);
  BOOST_TEST(guards[1]->CrashCount(FingerprintOf(kFatal)) == 1U);
  for (auto& [id, replica] : replicas) {
    replica.fatalTarget.clear();
  }
  Ask(1, route, kFatal);
  loop.Run(seconds{ 4 });
  BOOST_TEST(guards[0]->CrashCount(FingerprintOf(kFatal)) == 0U);
  BOOST_TEST(guards[1]->CrashCount(FingerprintOf(kFatal)) == 0U);
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_is_refused_for_good_although_its_cause_is_mended)
{
  Start(3, 1);
  const declaration::Route& route = SingleRoute(true);
  SetFatal("s0");
  Load(route, milliseconds{ 300 }, seconds{ 10 }, FatalTarget);
  const auto left = guards[0]->Refuse(FingerprintOf(kFatal));
  BOOST_REQUIRE(left.has_value());
  BOOST_TEST((*left > seconds{ 60 } && *left <= std::chrono::minutes{ 10 }));
  for (auto& [id, replica] : replicas) {
    replica.fatalTarget.clear();
  }
  loop.Run(std::chrono::minutes{ 10 });
  Ask(0, route, kFatal);
  loop.Run(seconds{ 3 });
  BOOST_TEST(outcome.complete == 1U);
  for (const auto& guard : guards) {
    BOOST_TEST(guard->CrashCount(FingerprintOf(kFatal)) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_still_ends_replicas_after_its_quarantine_ends_three_more)
{
  Start(3, 1);
  const declaration::Route& route = SingleRoute(true);
  SetFatal("s0");
  Load(route, milliseconds{ 300 }, seconds{ 10 }, FatalTarget);
  loop.Run(std::chrono::minutes{ 10 });
  const std::size_t before = FatalArrivals().size();
  Ask(0, route, kFatal);
  loop.Run(seconds{ 3 });
  BOOST_TEST(FatalArrivals().size() == before + 1);
  for (const auto& guard : guards) {
    const auto left = guard->Refuse(FingerprintOf(kFatal));
    BOOST_REQUIRE(left.has_value());
    BOOST_TEST((*left > std::chrono::minutes{ 10 }));
  }
}

BOOST_AUTO_TEST_CASE(lost_connections_of_living_replicas_quarantine_a_request)
{
  Start(3, 1);
  for (auto& [id, replica] : replicas) {
    replica.lostAnswerShare = 0.5;
  }
  Load(SingleRoute(false), milliseconds{ 50 }, seconds{ 20 }, FatalTarget);
  BOOST_TEST(quarantineRefusals == 0U);
  BOOST_TEST(published.empty());
}

BOOST_AUTO_TEST_CASE(a_replica_that_ends_while_it_shuts_down_counts_against_its_requests)
{
  Start(1, 1);
  SimulatedReplica& replica = replicas.at("s0-near");
  const declaration::Route& route = SingleRoute(false);
  replica.work = milliseconds{ 400 };
  Ask(0, route, "/slow");
  loop.Run(milliseconds{ 20 });
  replica.work = milliseconds{ 5 };
  replica.isLeaving = true;
  Ask(0, route, "/other");
  loop.Run(milliseconds{ 50 });
  BOOST_REQUIRE(outcome.complete == 1U);
  replica.End();
  loop.Run(seconds{ 3 });
  BOOST_TEST(outcome.complete == 1U);
  BOOST_TEST(published.empty());
}

BOOST_AUTO_TEST_CASE(many_different_requests_under_which_replicas_end_take_unbounded_memory)
{
  Start(1, 1);
  for (std::uint64_t n = 1; n <= 20'000; ++n) {
    guards[0]->Merge({ n, upstream::EvidenceKind::Crash, "r", "1", 0, n });
  }
  std::size_t known = 0;
  for (std::uint64_t n = 1; n <= 20'000; ++n) {
    known += guards[0]->CrashCount(n);
  }
  BOOST_TEST(known <= 1024U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::tests
