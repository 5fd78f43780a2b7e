#include "console/change_service.h"
#include "console/tests/fake_cluster.h"
#include "core/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::console {

namespace {

struct ChangeFixture
{
  ChangeOutcome SetDomainOut(const std::string& aDomain,
                             bool aOut,
                             std::uint64_t aExpected,
                             bool aForce)
  {
    ChangeOutcome outcome;
    const ChangeTerms terms{ aExpected, "Ngozi", "cooling work", aForce };
    service.ApplyDomain(
      { aDomain, aOut }, terms, [&](ChangeOutcome aOutcome) { outcome = std::move(aOutcome); });
    return outcome;
  }

  /** Makes another operator change the store before each of the next writes. */
  void ChangeBeforeNextWrites(const std::string& aLine, int aTimes)
  {
    hooks.applyChange = [this, aLine, left = aTimes](ChangeRequest aRequest,
                                                     const ChangeCallback& aCallback) mutable {
      if (left-- > 0) {
        cluster.ChangeByOtherOperator(aLine);
      }
      cluster.Apply(std::move(aRequest), aCallback);
    };
  }

  FakeCluster cluster;
  ConsoleHooks hooks = cluster.Hooks();
  core::VirtualTimerService timers;
  ChangeService service{ timers, hooks };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(change_service, ChangeFixture)

BOOST_AUTO_TEST_CASE(takes_a_failure_domain_out_and_back)
{
  BOOST_TEST((SetDomainOut("Nassarawa", true, 1, false).verdict == ChangeVerdict::Accepted));
  BOOST_TEST(cluster.Domain("Nassarawa").out);
  BOOST_TEST(cluster.Domain("Nassarawa").reason == "cooling work");
  BOOST_TEST((SetDomainOut("Nassarawa", false, 2, false).verdict == ChangeVerdict::Accepted));
  BOOST_TEST(!cluster.Domain("Nassarawa").out);
  BOOST_TEST(cluster.Domain("Nassarawa").reason.empty());
}

BOOST_AUTO_TEST_CASE(a_second_change_of_a_domain_conflicts_and_names_the_first_author)
{
  BOOST_TEST((SetDomainOut("Ikeja", true, 1, false).verdict == ChangeVerdict::Accepted));
  const ChangeOutcome second = SetDomainOut("Ikeja", true, 1, false);
  BOOST_TEST((second.verdict == ChangeVerdict::Conflict));
  BOOST_TEST(second.generation == 2U);
  BOOST_REQUIRE(second.conflicts.size() == 1U);
  BOOST_TEST(second.conflicts[0].author == "Ngozi");
  BOOST_TEST(cluster.applied == 1);
}

BOOST_AUTO_TEST_CASE(an_unrelated_change_does_not_block_a_domain_change)
{
  cluster.ChangeByOtherOperator("profile quick-quote: concurrency from 64 to 96");
  BOOST_TEST((SetDomainOut("Ikeja", true, 1, false).verdict == ChangeVerdict::Accepted));
}

BOOST_AUTO_TEST_CASE(a_history_that_is_too_short_is_a_conflict)
{
  cluster.ChangeByOtherOperator("profile quick-quote: concurrency from 64 to 96");
  cluster.ChangeByOtherOperator("profile quick-quote: concurrency from 96 to 64");
  cluster.configuration.history.erase(cluster.configuration.history.begin() + 1);
  BOOST_TEST((SetDomainOut("Ikeja", true, 1, false).verdict == ChangeVerdict::Conflict));
}

BOOST_AUTO_TEST_CASE(a_daemon_with_an_older_generation_than_expected_makes_no_change)
{
  BOOST_TEST((SetDomainOut("Ikeja", true, 9, false).verdict == ChangeVerdict::Conflict));
  BOOST_TEST(cluster.applied == 0);
}

BOOST_AUTO_TEST_CASE(a_concurrent_write_to_the_same_domain_is_a_conflict)
{
  ChangeBeforeNextWrites("failure domain Ikeja goes out", 1);
  const ChangeOutcome outcome = SetDomainOut("Ikeja", true, 1, false);
  BOOST_TEST((outcome.verdict == ChangeVerdict::Conflict));
  BOOST_TEST(!cluster.Domain("Ikeja").out);
}

BOOST_AUTO_TEST_CASE(concurrent_unrelated_writes_are_retried_a_few_times)
{
  ChangeBeforeNextWrites("profile quick-quote: concurrency from 64 to 96", 2);
  BOOST_TEST((SetDomainOut("Ikeja", true, 1, false).verdict == ChangeVerdict::Accepted));
  BOOST_TEST(cluster.Domain("Ikeja").out);
  ChangeBeforeNextWrites("profile quick-quote: concurrency from 64 to 96", 3);
  BOOST_TEST((SetDomainOut("Nassarawa", true, 4, false).verdict == ChangeVerdict::Conflict));
}

BOOST_AUTO_TEST_CASE(a_retry_waits_until_the_daemon_has_the_newer_configuration)
{
  ChangeBeforeNextWrites("profile quick-quote: concurrency from 64 to 96", 1);
  const declaration::Configuration old = cluster.configuration;
  bool isBehind = true;
  hooks.configuration = [&] { return std::optional(isBehind ? old : cluster.configuration); };
  ChangeOutcome outcome;
  const ChangeCallback store = [&](ChangeOutcome aOutcome) { outcome = std::move(aOutcome); };
  service.ApplyDomain({ "Ikeja", true }, { 1, "Ngozi", "", false }, store);
  timers.Advance(std::chrono::seconds{ 1 });
  BOOST_TEST((outcome.verdict == ChangeVerdict::Unknown));
  isBehind = false;
  timers.Advance(std::chrono::seconds{ 1 });
  BOOST_TEST((outcome.verdict == ChangeVerdict::Accepted));
  isBehind = true;
  service.ApplyDomain({ "Nassarawa", true }, { 1, "Ngozi", "", false }, store);
  timers.Advance(ChangeService::kMaxConfigurationWait);
  BOOST_TEST((outcome.verdict == ChangeVerdict::Conflict));
}

BOOST_AUTO_TEST_CASE(a_harmful_change_needs_force)
{
  SetDomainOut("Ikeja", true, 1, false);
  SetDomainOut("Nassarawa", true, 2, false);
  const ChangeOutcome refused = SetDomainOut("Trans-Amadi", true, 3, false);
  BOOST_TEST((refused.verdict == ChangeVerdict::Refused));
  BOOST_TEST(!refused.harms.empty());
  BOOST_TEST(!cluster.Domain("Trans-Amadi").out);
  BOOST_TEST((SetDomainOut("Trans-Amadi", true, 3, true).verdict == ChangeVerdict::Accepted));
}

BOOST_AUTO_TEST_CASE(taking_out_the_last_live_entry_vm_is_refused)
{
  hooks.status = [this] {
    ClusterStatus status = cluster.Status();
    status.failureDomains[1].vms[0].state = "gone";
    status.failureDomains[2].vms.clear();
    return status;
  };
  const ChangeOutcome refused =
    SetDomainOut(cluster.Status().failureDomains[0].name, true, 1, false);
  BOOST_TEST((refused.verdict == ChangeVerdict::Refused));
  BOOST_REQUIRE(!refused.harms.empty());
  BOOST_TEST(refused.harms.back() == "no live entry VM would be left for callers");
}

BOOST_AUTO_TEST_CASE(a_declaration_conflicts_with_any_change_and_lists_all_faults)
{
  ChangeOutcome outcome;
  const ChangeCallback store = [&](ChangeOutcome aOutcome) { outcome = std::move(aOutcome); };
  cluster.ChangeByOtherOperator("profile quick-quote: concurrency from 64 to 96");
  service.ApplyDeclaration(FakeCluster::Text(), { 1, "Ngozi", "", false }, store);
  BOOST_TEST((outcome.verdict == ChangeVerdict::Conflict));
  service.ApplyDeclaration(FakeCluster::Text(), { 2, "Ngozi", "", false }, store);
  BOOST_TEST((outcome.verdict == ChangeVerdict::Accepted));
  service.ApplyDeclaration(
    R"({"deployment": 7, "failureDomains": 1})", { {}, "Ngozi", "", false }, store);
  BOOST_TEST((outcome.verdict == ChangeVerdict::Refused));
  BOOST_TEST(outcome.faults.size() >= 2U);
  BOOST_TEST(cluster.applied == 1);
}

BOOST_AUTO_TEST_CASE(a_change_without_author_is_refused)
{
  ChangeOutcome outcome;
  service.ApplyDomain(
    { "Ikeja", true }, {}, [&](ChangeOutcome aOutcome) { outcome = std::move(aOutcome); });
  BOOST_TEST((outcome.verdict == ChangeVerdict::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console
