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
  CrashHistory ledger{ timers };

  void Crash(const std::string& aReplica, const std::string& aIncarnation, std::uint32_t aShard = 0)
  {
    ledger.Merge({ kRequest, EvidenceKind::Crash, aReplica, aIncarnation, aShard });
  }

  FingerprintRisk Verdict() { return ledger.Assess(kRequest, {}); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_ledger, Fixture)

BOOST_AUTO_TEST_CASE(two_replicas_quarantine_a_fingerprint)
{
  BOOST_TEST((Verdict() == FingerprintRisk::Untried));
  Crash("r1", "a");
  Crash("r1", "a");
  BOOST_TEST((Verdict() == FingerprintRisk::Suspect));
  BOOST_TEST(ledger.HasCrashed(kRequest, "r1"));
  BOOST_TEST((ledger.Assess(kRequest, { "r1" }) == FingerprintRisk::Suspect));
  Crash("r2", "b");
  BOOST_TEST((Verdict() == FingerprintRisk::Quarantined));
  BOOST_TEST(ledger.Quarantined().at(0).crashedReplicas.size() == 2U);
}

BOOST_AUTO_TEST_CASE(evidence_of_the_asker_counts)
{
  Crash("r1", "a");
  BOOST_TEST((ledger.Assess(kRequest, { "r2" }) == FingerprintRisk::Quarantined));
}

BOOST_AUTO_TEST_CASE(an_answer_of_the_same_shard_clears_a_suspicion)
{
  Crash("r1", "a", 3);
  BOOST_TEST(!ledger.RecordAnswer(kRequest, 4));
  BOOST_TEST((Verdict() == FingerprintRisk::Suspect));
  BOOST_TEST(ledger.RecordAnswer(kRequest, 3));
  BOOST_TEST((Verdict() == FingerprintRisk::Safe));
  BOOST_TEST((ledger.Assess(kRequest, { "r1" }) == FingerprintRisk::Safe));
  Crash("r1", "b", 3);
  BOOST_TEST((Verdict() == FingerprintRisk::Suspect));
}

BOOST_AUTO_TEST_CASE(an_answer_does_not_end_a_quarantine)
{
  Crash("r1", "a");
  Crash("r2", "b");
  BOOST_TEST(!ledger.RecordAnswer(kRequest, 0));
  ledger.Merge({ kRequest, EvidenceKind::Harmless, {}, {}, 0 });
  BOOST_TEST((Verdict() == FingerprintRisk::Quarantined));
}

BOOST_AUTO_TEST_CASE(a_lifted_quarantine_stays_lifted)
{
  Crash("r1", "a");
  Crash("r2", "b");
  ledger.Merge({ kRequest, EvidenceKind::Lifted, {}, {}, 0 });
  BOOST_TEST((ledger.Assess(kRequest, { "r1", "r2" }) == FingerprintRisk::Untried));
  Crash("r1", "a");
  BOOST_TEST((Verdict() == FingerprintRisk::Untried));
}

BOOST_AUTO_TEST_CASE(a_process_seen_alive_did_not_crash)
{
  Crash("r1", "a");
  BOOST_TEST(ledger.SuspectedOf("r1", "b").empty());
  BOOST_TEST(ledger.SuspectedOf("r1", "a").size() == 1U);
  ledger.Merge({ kRequest, EvidenceKind::Alive, "r1", "a", 0 });
  BOOST_TEST((Verdict() == FingerprintRisk::Untried));
}

BOOST_AUTO_TEST_CASE(a_quarantine_outlasts_a_caller_who_keeps_trying)
{
  Crash("r1", "a");
  Crash("r2", "b");
  for (int n = 0; n < 100; ++n) {
    timers.Advance(std::chrono::hours{ 1 });
    ledger.Merge({ 7, EvidenceKind::Crash, "r3", "c", 0 });
    BOOST_TEST((Verdict() == FingerprintRisk::Quarantined));
  }
  timers.Advance(std::chrono::hours{ 25 });
  ledger.Merge({ 8, EvidenceKind::Crash, "r3", "c", 0 });
  BOOST_TEST((Verdict() == FingerprintRisk::Untried));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
