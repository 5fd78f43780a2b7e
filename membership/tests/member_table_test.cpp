#include "membership/member_table.h"

#include "core/random_source.h"
#include "core/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace skylarkwing::membership::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

Member
MemberOf(const std::string& aVm, std::uint64_t aStartOrder, std::uint64_t aHeartbeatCount)
{
  Member member;
  member.vm = aVm;
  member.incarnation = aVm + "-" + std::to_string(aStartOrder);
  member.startOrder = aStartOrder;
  member.heartbeatCount = aHeartbeatCount;
  member.peerAddress = aVm + ":7200";
  member.state = MemberState::Alive;
  return member;
}

VmRecord
RecordOf(const std::string& aVm)
{
  return { aVm, "domain", "region", aVm + ":7100", aVm + ":7200", false };
}

struct Fixture
{
  MemberState StateOf(const std::string& aVm) const { return table.Find(aVm)->member.state; }

  bool MayOwn(const std::string& aVm) const
  {
    const auto owners = table.EligibleOwners();
    return std::any_of(
      owners.begin(), owners.end(), [&](const Member& aMember) { return aMember.vm == aVm; });
  }

  void Advance(core::Duration aDuration)
  {
    timers.Advance(aDuration);
    table.Evaluate();
  }

  core::VirtualTimerService timers;
  MemberTable table{ timers, MemberOf("self", 1, 0) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(member_table, Fixture)

BOOST_AUTO_TEST_CASE(the_vm_list_proves_existence_only)
{
  table.MergeVmList({ RecordOf("a") });
  BOOST_TEST((StateOf("a") == MemberState::Joining));
  table.HandleHeartbeat(MemberOf("b", 1, 1), true);
  table.MergeVmList({ RecordOf("a") });
  BOOST_TEST((StateOf("b") == MemberState::Alive));
  BOOST_TEST(table.ExpectedCount() == 3U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_is_expected_until_the_vm_list_lacks_it)
{
  table.MergeVmList({ RecordOf("a") });
  table.HandleHeartbeat(MemberOf("a", 1, 1), true);
  Advance(seconds{ 1 });
  Advance(milliseconds{ 500 });
  BOOST_TEST((StateOf("a") == MemberState::Gone));
  BOOST_TEST(table.ExpectedCount() == 2U);
  table.MergeVmList({});
  BOOST_TEST(table.ExpectedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_becomes_suspect_then_gone)
{
  table.HandleHeartbeat(MemberOf("a", 1, 1), true);
  Advance(milliseconds{ 999 });
  BOOST_TEST((StateOf("a") == MemberState::Alive));
  Advance(milliseconds{ 1 });
  BOOST_TEST((StateOf("a") == MemberState::Suspect));
  Advance(milliseconds{ 500 });
  BOOST_TEST((StateOf("a") == MemberState::Gone));
}

BOOST_AUTO_TEST_CASE(a_recent_heartbeat_outweighs_a_suspicion)
{
  table.HandleHeartbeat(MemberOf("a", 1, 5), true);
  Member suspicion = MemberOf("a", 1, 9);
  suspicion.state = MemberState::Gone;
  BOOST_TEST((table.HandleReport(suspicion) == ReportOutcome::Outdated));
  BOOST_TEST((StateOf("a") == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(only_a_higher_heartbeat_count_refutes_a_suspicion)
{
  table.HandleReport(MemberOf("a", 1, 5));
  Member suspicion = MemberOf("a", 1, 5);
  suspicion.state = MemberState::Suspect;
  table.HandleReport(suspicion);
  table.HandleReport(MemberOf("a", 1, 5));
  BOOST_TEST((StateOf("a") == MemberState::Suspect));
  table.HandleReport(MemberOf("a", 1, 6));
  BOOST_TEST((StateOf("a") == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(a_delayed_heartbeat_does_not_end_a_suspicion)
{
  table.HandleHeartbeat(MemberOf("a", 1, 1), true);
  Advance(seconds{ 5 });
  Advance(seconds{ 1 });
  BOOST_REQUIRE((StateOf("a") == MemberState::Gone));
  table.HandleHeartbeat(MemberOf("a", 1, 1), true, seconds{ 5 });
  BOOST_TEST((StateOf("a") == MemberState::Gone));
  Member suspicion = MemberOf("b", 1, 9);
  table.HandleHeartbeat(suspicion, true, seconds{ 2 });
  suspicion.state = MemberState::Suspect;
  BOOST_TEST((table.HandleReport(suspicion) == ReportOutcome::Changed));
}

BOOST_AUTO_TEST_CASE(an_older_incarnation_never_comes_back)
{
  table.HandleHeartbeat(MemberOf("a", 2, 1), true);
  BOOST_TEST((table.HandleHeartbeat(MemberOf("a", 1, 99), true) == ReportOutcome::Outdated));
  Advance(seconds{ 1 });
  Advance(seconds{ 1 });
  BOOST_TEST((table.HandleReport(MemberOf("a", 1, 99)) == ReportOutcome::Outdated));
  BOOST_TEST((StateOf("a") == MemberState::Gone));
}

BOOST_AUTO_TEST_CASE(a_member_whose_address_is_reused_is_gone)
{
  table.HandleHeartbeat(MemberOf("a", 1, 1), true);
  Member next = MemberOf("b", 2, 1);
  next.peerAddress = "a:7200";
  table.HandleHeartbeat(next, true);
  BOOST_TEST((StateOf("a") == MemberState::Gone));
  BOOST_TEST((StateOf("b") == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(a_member_that_left_does_not_return)
{
  Member leaving = MemberOf("a", 1, 1);
  table.HandleHeartbeat(leaving, true);
  leaving.state = MemberState::Leaving;
  table.HandleHeartbeat(leaving, true);
  table.HandleReport(MemberOf("a", 1, 9));
  BOOST_TEST((StateOf("a") == MemberState::Leaving));
  Advance(milliseconds{ 1500 });
  table.HandleReport(MemberOf("a", 1, 10));
  BOOST_TEST((StateOf("a") == MemberState::Gone));
  BOOST_TEST(table.ExpectedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(a_flapping_member_waits_longer_each_time)
{
  std::uint64_t heartbeatCount = 0;
  core::Duration last{};
  for (int round = 0; round < 4; ++round) {
    table.HandleHeartbeat(MemberOf("a", 1, ++heartbeatCount), true);
    const core::Duration settling = table.Find("a")->settledAt - timers.Now();
    BOOST_TEST((settling > last));
    last = settling;
    Advance(seconds{ 1 });
    Advance(milliseconds{ 500 });
  }
  BOOST_TEST((last == seconds{ 8 }));
  table.HandleHeartbeat(MemberOf("a", 1, ++heartbeatCount), false);
  timers.Advance(minutes{ 11 });
  BOOST_TEST(MayOwn("a"));
}

BOOST_AUTO_TEST_CASE(a_replaced_process_waits_before_it_owns)
{
  table.HandleHeartbeat(MemberOf("a", 1, 1), false);
  Advance(seconds{ 2 });
  BOOST_TEST(MayOwn("a"));
  table.HandleHeartbeat(MemberOf("a", 2, 1), false);
  BOOST_TEST(!MayOwn("a"));
  Advance(seconds{ 1 });
  BOOST_TEST(MayOwn("a"));
}

BOOST_AUTO_TEST_CASE(no_order_of_reports_takes_a_member_back)
{
  const auto holds =
    rc::check("start order and heartbeat count only grow", [](std::uint64_t aSeed) {
      core::RandomSource random(aSeed);
      Fixture fixture;
      std::pair<std::uint64_t, std::uint64_t> highest;
      for (int n = 0; n < 100; ++n) {
        Member member = MemberOf("a", 1 + random.Below(3), random.Below(50));
        member.state = static_cast<MemberState>(1 + random.Below(4));
        if (random.Below(2) == 0 && member.state != MemberState::Gone) {
          member.state = MemberState::Alive;
          fixture.table.HandleHeartbeat(member, random.Below(2) == 0);
        } else {
          fixture.table.HandleReport(member);
        }
        fixture.Advance(milliseconds(random.Below(800)));
        const MemberEntry* entry = fixture.table.Find("a");
        if (entry == nullptr) {
          continue;
        }
        const std::pair present(entry->member.startOrder, entry->member.heartbeatCount);
        RC_ASSERT(present >= highest);
        highest = present;
      }
    });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
