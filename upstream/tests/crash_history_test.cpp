#include "upstream/crash_history.h"

#include "core/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace skylarkwing::upstream {

namespace {

constexpr std::uint64_t kRequest = 42;

struct Fixture
{
  core::VirtualTimerService timers;
  CrashHistory history{ timers };

  void Crash(const std::string& aReplica, const std::string& aIncarnation, std::uint32_t aShard = 0)
  {
    history.Merge({ kRequest, EvidenceKind::Crash, aReplica, aIncarnation, aShard });
  }

  FingerprintRisk Risk() { return history.Assess(kRequest, {}); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_history, Fixture)

BOOST_AUTO_TEST_CASE(two_replicas_quarantine_a_fingerprint)
{
  BOOST_TEST((Risk() == FingerprintRisk::Untried));
  Crash("r1", "a");
  Crash("r1", "a");
  BOOST_TEST((Risk() == FingerprintRisk::Suspect));
  BOOST_TEST(history.HasCrashed(kRequest, "r1"));
  BOOST_TEST((history.Assess(kRequest, { "r1" }) == FingerprintRisk::Suspect));
  Crash("r2", "b");
  BOOST_TEST((Risk() == FingerprintRisk::Quarantined));
  BOOST_TEST(history.Quarantined().at(0).crashedReplicas.size() == 2U);
}

BOOST_AUTO_TEST_CASE(evidence_of_the_sender_counts)
{
  Crash("r1", "a");
  BOOST_TEST((history.Assess(kRequest, { "r2" }) == FingerprintRisk::Quarantined));
}

BOOST_AUTO_TEST_CASE(an_answer_of_the_same_shard_clears_a_suspicion)
{
  Crash("r1", "a", 3);
  BOOST_TEST(!history.RecordAnswer(kRequest, 4));
  BOOST_TEST((Risk() == FingerprintRisk::Suspect));
  BOOST_TEST(history.RecordAnswer(kRequest, 3));
  BOOST_TEST((Risk() == FingerprintRisk::Safe));
  BOOST_TEST((history.Assess(kRequest, { "r1" }) == FingerprintRisk::Safe));
  Crash("r1", "b", 3);
  BOOST_TEST((Risk() == FingerprintRisk::Suspect));
}

BOOST_AUTO_TEST_CASE(an_answer_does_not_end_a_quarantine)
{
  Crash("r1", "a");
  Crash("r2", "b");
  BOOST_TEST(!history.RecordAnswer(kRequest, 0));
  history.Merge({ kRequest, EvidenceKind::Harmless, {}, {}, 0 });
  BOOST_TEST((Risk() == FingerprintRisk::Quarantined));
}

BOOST_AUTO_TEST_CASE(a_lifted_quarantine_stays_lifted)
{
  Crash("r1", "a");
  Crash("r2", "b");
  history.Merge({ kRequest, EvidenceKind::Lifted, {}, {}, 0 });
  BOOST_TEST((history.Assess(kRequest, { "r1", "r2" }) == FingerprintRisk::Untried));
  Crash("r1", "a");
  BOOST_TEST((Risk() == FingerprintRisk::Untried));
}

BOOST_AUTO_TEST_CASE(a_process_seen_alive_did_not_crash)
{
  Crash("r1", "a");
  BOOST_TEST(history.SuspectedOf("r1", "b").empty());
  BOOST_TEST(history.SuspectedOf("r1", "a").size() == 1U);
  history.Merge({ kRequest, EvidenceKind::Alive, "r1", "a", 0 });
  BOOST_TEST((Risk() == FingerprintRisk::Untried));
}

BOOST_AUTO_TEST_CASE(a_quarantine_outlasts_a_caller_who_keeps_trying)
{
  Crash("r1", "a");
  Crash("r2", "b");
  for (int n = 0; n < 100; ++n) {
    timers.Advance(std::chrono::hours{ 1 });
    history.Merge({ 7, EvidenceKind::Crash, "r3", "c", 0 });
    BOOST_TEST((Risk() == FingerprintRisk::Quarantined));
  }
  timers.Advance(std::chrono::hours{ 25 });
  history.Merge({ 8, EvidenceKind::Crash, "r3", "c", 0 });
  BOOST_TEST((Risk() == FingerprintRisk::Untried));
}

BOOST_AUTO_TEST_CASE(replicas_that_end_together_count_as_often_as_they_are)
{
  for (const char* replica : { "r1", "r2", "r3" }) {
    history.Merge({ kRequest, EvidenceKind::Crash, replica, "a", 0, 77 });
  }
  BOOST_TEST(history.CrashCount(kRequest) == 1U);
  BOOST_TEST((Risk() == FingerprintRisk::Suspect));
  // The same replica ends again before its new process is known.
  history.Merge({ kRequest, EvidenceKind::Crash, "r1", "a", 0, 78 });
  BOOST_TEST((Risk() == FingerprintRisk::Quarantined));
}

BOOST_AUTO_TEST_CASE(an_answer_that_was_sent_before_an_end_disproves_it)
{
  const core::TimePoint before = timers.Now();
  timers.Advance(std::chrono::milliseconds{ 10 });
  history.Merge({ kRequest, EvidenceKind::Crash, "r1", "a", 3, 77 });
  history.Merge({ kRequest, EvidenceKind::Crash, "r2", "a", 4, 77 });
  timers.Advance(std::chrono::milliseconds{ 10 });
  BOOST_TEST(history.Disprove(kRequest, 3, before).empty());
  BOOST_TEST(history.Disprove(kRequest, 3, timers.Now()).empty());
  BOOST_TEST(history.CrashCount(kRequest) == 1U);
  BOOST_TEST(history.Disprove(kRequest, 4, timers.Now()) == std::vector<std::uint64_t>{ 77 });
  BOOST_TEST(history.CrashCount(kRequest) == 0U);
  // Late evidence of the same episode changes nothing.
  history.Merge({ kRequest, EvidenceKind::Disproved, {}, {}, 0, 77 });
  history.Merge({ kRequest, EvidenceKind::Crash, "r5", "a", 5, 77 });
  BOOST_TEST(history.CrashCount(kRequest) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
