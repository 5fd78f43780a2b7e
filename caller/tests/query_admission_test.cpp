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
constexpr core::Duration kTimeout = 250ms;
constexpr core::Duration kDuration = 20s;
/** Default number of queries that the simulated upstream runs concurrently. */
constexpr std::uint32_t kServers = 20;

/** @return the throughput of a simulated upstream in queries per second. */
constexpr double
CapacityOf(std::uint32_t aServers)
{
  return aServers * (std::chrono::duration<double>(1s) / kServiceTime);
}

/** Simulated upstream with a fixed number of servers and an unbounded FIFO queue. */
class SimulatedUpstream
{
public:
  SimulatedUpstream(core::VirtualTimerService& aTimers, std::uint32_t aServers)
    : mTimers(aTimers)
    , mServers(aServers)
  {
  }

  void Enter(std::function<void()> aDone)
  {
    mWaiting.push_back(std::move(aDone));
    RunWaiting();
  }

private:
  void RunWaiting()
  {
    while (mBusy < mServers && !mWaiting.empty()) {
      ++mBusy;
      mTimers.Schedule(kServiceTime, [this, done = std::move(mWaiting.front())] {
        --mBusy;
        done();
        RunWaiting();
      });
      mWaiting.pop_front();
    }
  }

  core::VirtualTimerService& mTimers;
  std::uint32_t mServers;
  std::uint32_t mBusy = 0;
  std::deque<std::function<void()>> mWaiting;
};

/** Measurements of an experiment. */
struct Measurements
{
  double goodputPerSecond = 0.0;
  core::Duration importantP99{};
  std::size_t importantRefused = 0;
  std::size_t important = 0;
};

/** Callers with a constant request rate to one simulated upstream, with or without admission
 * control. */
class OverloadExperiment
{
public:
  OverloadExperiment(bool aHasAdmission, std::uint32_t aServers)
    : mHasAdmission(aHasAdmission)
    , mUpstream(mTimers, aServers)
    , mAdmission(mTimers, mRandom, mMetrics, [] { return std::size_t{ 1 }; })
  {
    mImportant->name = "important";
    mImportant->priority = 0;
    mImportant->concurrency = 10'000;
    mImportant->objective.latency = 60ms;
    *mNormal = *mImportant;
    mNormal->name = "usual";
    mNormal->priority = 2;
  }

  /** Sends queries at a constant rate; one in five is important. */
  Measurements Run(double aPerSecond)
  {
    const auto gap =
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1.0 / aPerSecond));
    const core::TimePoint end = mTimers.Now() + kDuration;
    for (int n = 0; mTimers.Now() < end; ++n) {
      boost::asio::co_spawn(mLoop, Ask(n % 5 == 0 ? mImportant : mNormal), boost::asio::detached);
      Advance(gap);
    }
    Advance(1s);
    Measurements measurements;
    measurements.goodputPerSecond = static_cast<double>(mInTime) / (kDuration / 1s);
    measurements.important = mImportantLatencies.size() + mImportantRefused;
    measurements.importantRefused = mImportantRefused;
    std::sort(mImportantLatencies.begin(), mImportantLatencies.end());
    measurements.importantP99 = mImportantLatencies.at(mImportantLatencies.size() * 99 / 100);
    return measurements;
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
      request.deadline = start + kTimeout;
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
      mUpstream.Enter(std::move(aDone));
    };
    co_await core::AwaitCallback(std::move(enter));
    sample.latency = mTimers.Now() - admitted;
    if (mHasAdmission) {
      mAdmission.Leave("catalogue", aProfile->name, sample);
    }
    const core::Duration latency = mTimers.Now() - start;
    mInTime += latency <= kTimeout ? 1 : 0;
    if (aProfile == mImportant) {
      mImportantLatencies.push_back(latency);
    }
  }

  void Advance(core::Duration aSpan)
  {
    const core::TimePoint end = mTimers.Now() + aSpan;
    RunReadyHandlers();
    while (mTimers.NextDue().value_or(core::TimePoint::max()) <= end) {
      mTimers.RunNext();
      RunReadyHandlers();
    }
    mTimers.Advance(end - mTimers.Now());
  }

  void RunReadyHandlers()
  {
    mLoop.restart();
    mLoop.poll();
  }

  bool mHasAdmission;
  boost::asio::io_context mLoop;
  core::VirtualTimerService mTimers;
  core::RandomSource mRandom{ 3 };
  core::Metrics mMetrics;
  SimulatedUpstream mUpstream;
  QueryAdmission mAdmission;
  Profile mImportant = std::make_shared<declaration::ProfileDeclaration>();
  Profile mNormal = std::make_shared<declaration::ProfileDeclaration>();
  std::size_t mInTime = 0;
  std::size_t mImportantRefused = 0;
  std::vector<core::Duration> mImportantLatencies;
};

/** Advances time past every deadline, because a waiting task would keep itself and its mailbox
 * alive. */
void
ExpireAll(core::VirtualTimerService& aTimers, boost::asio::io_context& aLoop)
{
  aTimers.Advance(1min);
  aLoop.restart();
  aLoop.poll();
}

} // namespace

BOOST_AUTO_TEST_SUITE(query_admission)

BOOST_AUTO_TEST_CASE(twice_the_load_does_not_reduce_goodput_or_delay_the_most_important_profile)
{
  // Cases in which the initial limit is about right, far too high and far too low.
  for (const std::uint32_t servers : { kServers, 4U, 100U }) {
    const double capacity = CapacityOf(servers);
    double peak = 0.0;
    for (const double share : { 0.8, 1.0, 1.2 }) {
      OverloadExperiment experiment(true, servers);
      peak = std::max(peak, experiment.Run(share * capacity).goodputPerSecond);
    }
    OverloadExperiment controlled(true, servers);
    const Measurements measured = controlled.Run(2.0 * capacity);
    OverloadExperiment uncontrolled(false, servers);
    const Measurements naive = uncontrolled.Run(2.0 * capacity);
    BOOST_TEST_MESSAGE(servers << " servers: peak " << peak << "/s, at twice the load "
                               << measured.goodputPerSecond << "/s, without admission "
                               << naive.goodputPerSecond << "/s; most important profile: p99 "
                               << measured.importantP99 / 1us << " us, refused "
                               << measured.importantRefused << " of " << measured.important
                               << ", without admission p99 " << naive.importantP99 / 1us << " us");
    BOOST_TEST(measured.goodputPerSecond >= 0.9 * peak);
    BOOST_TEST(measured.goodputPerSecond >= 0.9 * capacity);
    BOOST_TEST((measured.importantP99 <= 60ms));
    BOOST_TEST(measured.importantRefused * 100 <= measured.important);
  }
}

BOOST_AUTO_TEST_CASE(a_query_that_would_miss_its_deadline_is_refused_immediately)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission admission(timers, random, metrics, [] { return std::size_t{ 1 }; });
  auto profile = std::make_shared<declaration::ProfileDeclaration>();
  profile->name = "usual";
  profile->concurrency = 1000;
  std::vector<AdmissionDecision> decisions;
  const auto enter = [&](core::Duration aTimeout) {
    AdmissionRequest request{ "catalogue", profile, timers.Now() + aTimeout };
    boost::asio::co_spawn(loop,
                          admission.Enter(std::move(request)),
                          [&](const std::exception_ptr&, const AdmissionDecision& aDecision) {
                            decisions.push_back(aDecision);
                          });
    loop.restart();
    loop.poll();
  };
  for (int n = 0; n < 10; ++n) {
    enter(1s);
    admission.Leave("catalogue", "usual", LoadSample{ 100ms, 1s, false });
  }
  decisions.clear();
  enter(50ms);
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST(!decisions.front().isAdmitted);
  BOOST_TEST((decisions.front().retryAfter > 0ms));
}

BOOST_AUTO_TEST_CASE(a_profile_limit_is_divided_among_all_daemons)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission admission(timers, random, metrics, [] { return std::size_t{ 4 }; });
  auto profile = std::make_shared<declaration::ProfileDeclaration>();
  profile->name = "few";
  profile->concurrency = 8;
  int admitted = 0;
  int refused = 0;
  for (int n = 0; n < 5; ++n) {
    AdmissionRequest request{ "catalogue", profile, timers.Now() + 100ms };
    boost::asio::co_spawn(loop,
                          admission.Enter(std::move(request)),
                          [&](const std::exception_ptr&, const AdmissionDecision& aDecision) {
                            (aDecision.isAdmitted ? admitted : refused) += 1;
                          });
  }
  loop.poll();
  BOOST_TEST(admitted == 2);
  admission.Leave("catalogue", "few", LoadSample{ 10ms, 100ms, false });
  loop.restart();
  loop.poll();
  BOOST_TEST(admitted == 3);
  timers.Advance(100ms);
  loop.restart();
  loop.poll();
  BOOST_TEST(refused == 2);
}

BOOST_AUTO_TEST_CASE(the_queue_is_bounded_and_drops_the_least_important_queries_first)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission admission(timers, random, metrics, [] { return std::size_t{ 1 }; });
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
      admission.Enter(std::move(request)),
      [&refused, aProfile](const std::exception_ptr&, const AdmissionDecision& aDecision) {
        refused[aProfile->name] += aDecision.isAdmitted ? 0 : 1;
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
  ExpireAll(timers, loop);
}

BOOST_AUTO_TEST_CASE(less_important_queries_leave_capacity_for_the_most_important)
{
  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random(3);
  core::Metrics metrics;
  QueryAdmission admission(timers, random, metrics, [] { return std::size_t{ 1 }; });
  int importantAdmitted = 0;
  for (int n = 0; n < 101; ++n) {
    auto profile = std::make_shared<declaration::ProfileDeclaration>();
    profile->priority = n < 100 ? 2 : 0;
    profile->name = std::to_string(profile->priority);
    profile->concurrency = 1000;
    AdmissionRequest request{ "catalogue", profile, timers.Now() + 10s };
    boost::asio::co_spawn(
      loop,
      admission.Enter(std::move(request)),
      [&importantAdmitted, profile](const std::exception_ptr&, const AdmissionDecision& aDecision) {
        importantAdmitted += profile->priority == 0 && aDecision.isAdmitted ? 1 : 0;
      });
  }
  loop.poll();
  BOOST_TEST(importantAdmitted == 1);
  ExpireAll(timers, loop);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::test
