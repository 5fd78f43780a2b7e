#include "upstream/partition_detector.h"

#include "core/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwing::upstream {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Twelve replicas of four services; what probes and other daemons report is set by the test. */
struct DetectorFixture
{
  core::VirtualTimerService timers;
  PartitionDetector detector{ timers };
  /** Result of probes, nothing while they hang. */
  std::optional<bool> probeResult = false;
  /** Whether the other daemons have just heard from replicas. */
  bool doPeersHear = true;
  /** Whether there are other daemons that answer. */
  bool arePeersThere = true;
  int probes = 0;
  int questions = 0;
  std::vector<PartitionReport> reports;

  DetectorFixture()
  {
    PartitionHooks hooks;
    hooks.probeReplicas = [this](std::function<void(bool)> aCallback) {
      ++probes;
      timers.Schedule(milliseconds{ 1 }, [this, callback = std::move(aCallback)] {
        if (probeResult) {
          callback(*probeResult);
        }
      });
    };
    hooks.askPeers = [this] {
      ++questions;
      timers.Schedule(milliseconds{ 5 }, [this, askedAt = timers.Now()] {
        if (arePeersThere) {
          detector.RecordPeerReply();
        }
        if (arePeersThere && doPeersHear) {
          detector.RecordPeerContact(askedAt);
        }
      });
      return 3;
    };
    hooks.onChecked = [this](const PartitionReport& aReport) { reports.push_back(aReport); };
    detector.SetHooks(std::move(hooks));
    detector.SetSize({ 12, 4 });
    detector.RecordAnswer();
    detector.RecordConnected();
  }

  void FailConnects(int aReplicas, int aServices)
  {
    for (int n = 0; n < aReplicas; ++n) {
      detector.RecordConnectFailure("i-" + std::to_string(n), "s-" + std::to_string(n % aServices));
    }
  }

  std::optional<bool> Judge(core::TimePoint aArrival)
  {
    auto verdict = std::make_shared<std::optional<bool>>();
    detector.JudgeFailure(aArrival, [verdict](PartitionVerdict aVerdict) {
      *verdict = aVerdict == PartitionVerdict::Partitioned;
    });
    timers.Advance(seconds{ 1 });
    return *verdict;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(partition_detector, DetectorFixture)

BOOST_AUTO_TEST_CASE(a_cut_that_refuses_connections_is_not_noticed)
{
  FailConnects(3, 2);
  timers.Advance(milliseconds{ 200 });
  BOOST_TEST(detector.IsPartitioned());
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].trigger == PartitionTrigger::ConnectFailures));
}

BOOST_AUTO_TEST_CASE(a_cut_that_refuses_connections_is_not_noticed_while_open_ones_live)
{
  FailConnects(2, 2);
  detector.RecordAnswer();
  FailConnects(4, 2);
  detector.RecordAnswer();
  timers.Advance(milliseconds{ 100 });
  BOOST_TEST(detector.IsPartitioned());
  BOOST_TEST(detector.HasRecentAnswer());
}

BOOST_AUTO_TEST_CASE(a_silent_cut_is_not_noticed)
{
  timers.Advance(milliseconds{ 150 });
  detector.ReviewSilence({ 8, 4 });
  BOOST_TEST((detector.State() == PartitionState::Connected));
  timers.Advance(milliseconds{ 50 });
  detector.ReviewSilence({ 8, 4 });
  timers.Advance(milliseconds{ 200 });
  BOOST_TEST(detector.IsPartitioned());
}

BOOST_AUTO_TEST_CASE(replicas_that_are_down_for_all_daemons_are_taken_for_a_partition)
{
  doPeersHear = false;
  FailConnects(12, 4);
  timers.Advance(seconds{ 1 });
  BOOST_TEST((detector.State() == PartitionState::Connected));
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].verdict == PartitionVerdict::ReplicasDown));
}

BOOST_AUTO_TEST_CASE(contact_of_another_daemon_before_the_failures_proves_a_partition)
{
  doPeersHear = false;
  const core::TimePoint before = timers.Now();
  timers.Advance(milliseconds{ 10 });
  FailConnects(12, 4);
  detector.RecordPeerContact(before);
  timers.Advance(seconds{ 1 });
  BOOST_TEST(!detector.IsPartitioned());
}

BOOST_AUTO_TEST_CASE(a_daemon_that_knew_no_other_is_not_checked_again_for_seconds)
{
  arePeersThere = false;
  FailConnects(12, 4);
  timers.Advance(seconds{ 1 });
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].verdict == PartitionVerdict::PeersSilent));
  arePeersThere = true;
  timers.Advance(milliseconds{ 200 });
  FailConnects(12, 4);
  timers.Advance(milliseconds{ 200 });
  BOOST_TEST(detector.IsPartitioned());
}

BOOST_AUTO_TEST_CASE(replicas_of_one_service_that_are_down_start_a_check)
{
  FailConnects(3, 1);
  timers.Advance(seconds{ 1 });
  BOOST_TEST(probes == 0);
  BOOST_TEST(questions == 0);
}

BOOST_AUTO_TEST_CASE(crashed_replicas_of_several_services_are_taken_for_a_partition)
{
  probeResult = true;
  FailConnects(6, 3);
  timers.Advance(seconds{ 1 });
  BOOST_TEST(!detector.IsPartitioned());
  BOOST_REQUIRE(!reports.empty());
  BOOST_TEST((reports[0].verdict == PartitionVerdict::Connected));
}

BOOST_AUTO_TEST_CASE(slow_replicas_are_taken_for_a_partition)
{
  timers.Advance(milliseconds{ 400 });
  probeResult = std::nullopt;
  detector.ReviewSilence({ 8, 4 });
  detector.RecordAnswer();
  timers.Advance(seconds{ 1 });
  BOOST_TEST(!detector.IsPartitioned());
}

BOOST_AUTO_TEST_CASE(a_daemon_without_traffic_is_taken_for_partitioned)
{
  timers.Advance(seconds{ 60 });
  detector.ReviewSilence({ 0, 0 });
  timers.Advance(seconds{ 1 });
  BOOST_TEST(probes == 0);
  BOOST_TEST((detector.State() == PartitionState::Connected));
}

BOOST_AUTO_TEST_CASE(the_only_request_of_a_daemon_fails_without_a_check)
{
  timers.Advance(seconds{ 60 });
  const core::TimePoint arrival = timers.Now();
  timers.Advance(milliseconds{ 5 });
  BOOST_TEST(Judge(arrival).value_or(false));
}

BOOST_AUTO_TEST_CASE(a_request_that_fails_while_other_replicas_answer_starts_a_check)
{
  const core::TimePoint arrival = timers.Now();
  timers.Advance(milliseconds{ 5 });
  detector.RecordAnswer();
  BOOST_TEST(!Judge(arrival).value_or(true));
  BOOST_TEST(probes == 0);
}

BOOST_AUTO_TEST_CASE(a_failed_request_waits_for_good_when_a_probe_hangs)
{
  timers.Advance(seconds{ 60 });
  probeResult = std::nullopt;
  BOOST_TEST(!Judge(timers.Now()).value_or(true));
}

BOOST_AUTO_TEST_CASE(checks_follow_each_other_without_a_pause)
{
  doPeersHear = false;
  const core::TimePoint end = timers.Now() + seconds{ 10 };
  while (timers.Now() < end) {
    FailConnects(12, 4);
    timers.Advance(milliseconds{ 10 });
  }
  BOOST_TEST(probes <= 4);
  BOOST_TEST(questions <= 4 * 9);
}

BOOST_AUTO_TEST_CASE(the_end_of_a_partition_is_not_noticed)
{
  FailConnects(3, 2);
  timers.Advance(milliseconds{ 200 });
  BOOST_REQUIRE(detector.IsPartitioned());
  timers.Advance(seconds{ 3 });
  BOOST_TEST(detector.IsPartitioned());
  probeResult = true;
  timers.Advance(milliseconds{ 300 });
  BOOST_TEST((detector.State() == PartitionState::Connected));
}

BOOST_AUTO_TEST_CASE(the_second_of_two_short_cuts_is_not_noticed)
{
  for (int n = 0; n < 2; ++n) {
    probeResult = false;
    FailConnects(3, 2);
    timers.Advance(milliseconds{ 200 });
    BOOST_TEST(detector.IsPartitioned());
    probeResult = true;
    timers.Advance(milliseconds{ 600 });
    BOOST_TEST(!detector.IsPartitioned());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
