#include "caller/query_admission.h"
#include "core/virtual_timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace skylarkwing::caller::test {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kServiceTime = 10ms;
constexpr core::Duration kPatience = 250ms;
constexpr core::Duration kSpan = 20s;
/** Queries that a station of the usual size runs at a time. */
constexpr std::uint32_t kServers = 20;

/** @return queries a second that a station bears. */
constexpr double
CapacityOf(std::uint32_t aServers)
{
  return aServers * (std::chrono::duration<double>(1s) / kServiceTime);
}

/** Upstreams that run so many queries at a time and keep the rest waiting, first come first served.
 */
class Station
{
public:
  Station(core::VirtualTimerService& aTimers, std::uint32_t aServers)
    : mTimers(aTimers)
    , mServers(aServers)
  {
  }

  void Enter(std::function<void()> aDone)
  {
    mWaiting.push_back(std::move(aDone));
    Next();
  }

private:
  void Next()
  {
    while (mBusy < mServers && !mWaiting.empty()) {
      ++mBusy;
      mTimers.Schedule(kServiceTime, [this, done = std::move(mWaiting.front())] {
        --mBusy;
        done();
        Next();
      });
      mWaiting.pop_front();
    }
  }

  core::VirtualTimerService& mTimers;
  std::uint32_t mServers;
  std::uint32_t mBusy = 0;
  std::deque<std::function<void()>> mWaiting;
};

/** What came of an experiment. */
struct Figures
{
  double goodputPerSecond = 0.0;
  core::Duration importantNinetyNinth{};
  std::size_t importantRefused = 0;
  std::size_t important = 0;
};

/** Callers at a constant rate in front of one station, with or without admission. */
class OverloadExperiment
{
public:
  OverloadExperiment(bool aHasAdmission, std::uint32_t aServers)
    : mHasAdmission(aHasAdmission)
    , mStation(mTimers, aServers)
    , mAdmission(mTimers, mRandom, mMetrics, [] { return std::size_t{ 1 }; })
  {
    mImportant->name = "important";
    mImportant->priority = 0;
    mImportant->concurrency = 10'000;
    mImportant->objective.latency = 60ms;
    *mUsual = *mImportant;
    mUsual->name = "usual";
    mUsual->priority = 2;
  }

  /** Offers load for a while; one query in five is important. */
  Figures Run(double aPerSecond)
  {
    const auto gap =
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1.0 / aPerSecond));
    const core::TimePoint end = mTimers.Now() + kSpan;
    for (int n = 0; mTimers.Now() < end; ++n) {
      boost::asio::co_spawn(mLoop, Ask(n % 5 == 0 ? mImportant : mUsual), boost::asio::detached);
      Advance(gap);
    }
    Advance(1s);
    Figures figures;
    figures.goodputPerSecond = static_cast<double>(mInTime) / (kSpan / 1s);
    figures.important = mImportantLatencies.size() + mImportantRefused;
    figures.importantRefused = mImportantRefused;
    std::sort(mImportantLatencies.begin(), mImportantLatencies.end());
    figures.importantNinetyNinth = mImportantLatencies.at(mImportantLatencies.size() * 99 / 100);
    return figures;
  }

private:
  using Profile = std::shared_ptr<declaration::ProfileDeclaration>;

  core::Task<void> Ask(Profile aProfile)
  {
    const core::TimePoint start = mTimers.Now();
    if (mHasAdmission) {
      AdmissionRequest request;
      request.index = "catalogue";
      request.profile = aProfile;
      request.deadline = start + kPatience;
      const AdmissionDecision decision = co_await mAdmission.Enter(std::move(request));
      if (!decision.isAdmitted) {
        mImportantRefused += aProfile == mImportant ? 1 : 0;
        co_return;
      }
    }
    LoadSample sample;
    sample.objective = aProfile->objective.latency;
    const core::TimePoint admitted = mTimers.Now();
    std::function<void(std::function<void()>)> enter = [this](std::function<void()> aDone) {
      mStation.Enter(std::move(aDone));
    };
    co_await core::AwaitCallback(std::move(enter));
    sample.latency = mTimers.Now() - admitted;
    if (mHasAdmission) {
      mAdmission.Leave("catalogue", aProfile->name, sample);
    }
    const core::Duration latency = mTimers.Now() - start;
    mInTime += latency <= kPatience ? 1 : 0;
    if (aProfile == mImportant) {
      mImportantLatencies.push_back(latency);
    }
  }

  void Advance(core::Duration aSpan)
  {
    const core::TimePoint end = mTimers.Now() + aSpan;
    Settle();
    while (mTimers.NextDue().value_or(core::TimePoint::max()) <= end) {
      mTimers.RunNext();
      Settle();
    }
    mTimers.Advance(end - mTimers.Now());
  }

  void Settle()
  {
    mLoop.restart();
    mLoop.poll();
  }

  bool mHasAdmission;
  boost::asio::io_context mLoop;
  core::VirtualTimerService mTimers;
  core::RandomSource mRandom{ 3 };
  core::Metrics mMetrics;
  Station mStation;
  QueryAdmission mAdmission;
  Profile mImportant = std::make_shared<declaration::ProfileDeclaration>();
  Profile mUsual = std::make_shared<declaration::ProfileDeclaration>();
  std::size_t mInTime = 0;
  std::size_t mImportantRefused = 0;
  std::vector<core::Duration> mImportantLatencies;
};

/** Moves time past every deadline: a task that still waits would keep itself and its mailbox. */
void
EndWaiting(core::VirtualTimerService& aTimers, boost::asio::io_context& aLoop)
{
  aTimers.Advance(1min);
  aLoop.restart();
  aLoop.poll();
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(goodput_and_the_most_important_profile_hold_at_twice_the_load)
{
  // The first limit is about right, far too high and far too low.
  for (const std::uint32_t servers : { kServers, 4U, 100U }) {
    const double capacity = CapacityOf(servers);
    double peak = 0.0;
    for (const double share : { 0.8, 1.0, 1.2 }) {
      OverloadExperiment experiment(true, servers);
      peak = std::max(peak, experiment.Run(share * capacity).goodputPerSecond);
    }
    OverloadExperiment guarded(true, servers);
    const Figures ours = guarded.Run(2.0 * capacity);
    OverloadExperiment unguarded(false, servers);
    const Figures naive = unguarded.Run(2.0 * capacity);
    BOOST_TEST_MESSAGE(
      servers << " servers: peak " << peak << "/s, at twice the load " << ours.goodputPerSecond
              << "/s, without admission " << naive.goodputPerSecond
              << "/s; most important profile: p99 " << ours.importantNinetyNinth / 1us
              << " us, refused " << ours.importantRefused << " of " << ours.important
              << ", without admission p99 " << naive.importantNinetyNinth / 1us << " us");
    BOOST_TEST(ours.goodputPerSecond >= 0.9 * peak);
    BOOST_TEST(ours.goodputPerSecond >= 0.9 * capacity);
    BOOST_TEST((ours.importantNinetyNinth <= 60ms));
    BOOST_TEST(ours.importantRefused * 100 <= ours.important);
  }
}

BOOST_AUTO_TEST_CASE(a_query_that_cannot_make_its_deadline_is_refused_at_once)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission gate(timers, random, metrics, [] { return std::size_t{ 1 }; });
  auto profile = std::make_shared<declaration::ProfileDeclaration>();
  profile->name = "usual";
  profile->concurrency = 1000;
  std::vector<AdmissionDecision> verdicts;
  const auto enter = [&](core::Duration aTimeout) {
    AdmissionRequest request{ "catalogue", profile, timers.Now() + aTimeout };
    boost::asio::co_spawn(loop,
                          gate.Enter(std::move(request)),
                          [&](const std::exception_ptr&, const AdmissionDecision& aVerdict) {
                            verdicts.push_back(aVerdict);
                          });
    loop.restart();
    loop.poll();
  };
  for (int n = 0; n < 10; ++n) {
    enter(1s);
    gate.Leave("catalogue", "usual", LoadSample{ 100ms, 1s, false });
  }
  verdicts.clear();
  enter(50ms);
  BOOST_REQUIRE(verdicts.size() == 1U);
  BOOST_TEST(!verdicts.front().isAdmitted);
  BOOST_TEST((verdicts.front().retryAfter > 0ms));
}

BOOST_AUTO_TEST_CASE(a_profile_gets_its_share_of_its_limit_over_all_daemons)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission gate(timers, random, metrics, [] { return std::size_t{ 4 }; });
  auto profile = std::make_shared<declaration::ProfileDeclaration>();
  profile->name = "few";
  profile->concurrency = 8;
  int admitted = 0;
  int refused = 0;
  for (int n = 0; n < 5; ++n) {
    AdmissionRequest request{ "catalogue", profile, timers.Now() + 100ms };
    boost::asio::co_spawn(loop,
                          gate.Enter(std::move(request)),
                          [&](const std::exception_ptr&, const AdmissionDecision& aVerdict) {
                            (aVerdict.isAdmitted ? admitted : refused) += 1;
                          });
  }
  loop.poll();
  BOOST_TEST(admitted == 2);
  gate.Leave("catalogue", "few", LoadSample{ 10ms, 100ms, false });
  loop.restart();
  loop.poll();
  BOOST_TEST(admitted == 3);
  timers.Advance(100ms);
  loop.restart();
  loop.poll();
  BOOST_TEST(refused == 2);
}

BOOST_AUTO_TEST_CASE(the_queue_is_bounded_and_sheds_the_least_important_first)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission gate(timers, random, metrics, [] { return std::size_t{ 1 }; });
  std::vector<std::shared_ptr<declaration::ProfileDeclaration>> profiles;
  for (std::uint32_t n = 0; n < 2; ++n) {
    profiles.push_back(std::make_shared<declaration::ProfileDeclaration>());
    profiles.back()->name = "p" + std::to_string(n);
    profiles.back()->priority = n;
    profiles.back()->concurrency = 1000;
  }
  std::map<std::string, int> refused;
  const auto enter = [&](const std::shared_ptr<declaration::ProfileDeclaration>& aProfile) {
    AdmissionRequest request{ "catalogue", aProfile, timers.Now() + 10s };
    boost::asio::co_spawn(
      loop,
      gate.Enter(std::move(request)),
      [&refused, aProfile](const std::exception_ptr&, const AdmissionDecision& aVerdict) {
        refused[aProfile->name] += aVerdict.isAdmitted ? 0 : 1;
      });
    loop.restart();
    loop.poll();
  };
  for (int n = 0; n < 100; ++n) {
    enter(profiles[1]);
  }
  BOOST_TEST(refused["p1"] > 0);
  const int before = refused["p1"];
  for (int n = 0; n < 10; ++n) {
    enter(profiles[0]);
  }
  BOOST_TEST(refused["p0"] == 0);
  BOOST_TEST(refused["p1"] > before);
  EndWaiting(timers, loop);
}

BOOST_AUTO_TEST_CASE(less_important_queries_leave_room_for_the_most_important)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission gate(timers, random, metrics, [] { return std::size_t{ 1 }; });
  int importantAdmitted = 0;
  for (int n = 0; n < 101; ++n) {
    auto profile = std::make_shared<declaration::ProfileDeclaration>();
    profile->priority = n < 100 ? 2 : 0;
    profile->name = std::to_string(profile->priority);
    profile->concurrency = 1000;
    AdmissionRequest request{ "catalogue", profile, timers.Now() + 10s };
    boost::asio::co_spawn(
      loop,
      gate.Enter(std::move(request)),
      [&importantAdmitted, profile](const std::exception_ptr&, const AdmissionDecision& aVerdict) {
        importantAdmitted += profile->priority == 0 && aVerdict.isAdmitted ? 1 : 0;
      });
  }
  loop.poll();
  BOOST_TEST(importantAdmitted == 1);
  EndWaiting(timers, loop);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::test
