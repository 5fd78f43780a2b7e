#include "membership/tests/fake_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace skylarkwing::membership::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kServices = 25;

std::size_t
CountSettled(FakeCluster& aCluster)
{
  const std::size_t all = aCluster.daemons.size();
  return static_cast<std::size_t>(
    std::count_if(aCluster.daemons.begin(), aCluster.daemons.end(), [all](const auto& aDaemon) {
      return aDaemon.second->service.EligibleOwners().size() == all;
    }));
}

/** @return how many replicas do not have exactly so many holders. */
std::size_t
CountNotHeldBy(FakeCluster& aCluster, std::size_t aHolders)
{
  std::size_t n = 0;
  const auto configuration = ConfigurationOf(1, kServices);
  for (const auto& service : configuration.declaration.indexes[0].services) {
    for (const auto& replica : service.replicas) {
      n += aCluster.CountHolders(replica.name) != aHolders ? 1 : 0;
    }
  }
  return n;
}

/** @return the largest number of holders of any replica. */
std::size_t
MaxHolders(FakeCluster& aCluster)
{
  std::size_t highest = 0;
  const auto configuration = ConfigurationOf(1, kServices);
  for (const auto& service : configuration.declaration.indexes[0].services) {
    for (const auto& replica : service.replicas) {
      highest = std::max(highest, aCluster.CountHolders(replica.name));
    }
  }
  return highest;
}

struct Fixture
{
  void Start(std::size_t aCount)
  {
    cluster.StartAll(aCount);
    cluster.AssignOwners(ConfigurationOf(1, kServices).declaration);
    cluster.Advance(seconds{ 1 });
    BOOST_REQUIRE(CountNotHeldBy(cluster, 1) == 0U);
  }

  void CutRegion(const std::string& aRegion)
  {
    cluster.network.isCut = [this, aRegion](const std::string& aFrom, const std::string& aTo) {
      return (RegionOf(aFrom) == aRegion) != (RegionOf(aTo) == aRegion);
    };
  }

  static std::string RegionOf(const std::string& aVm)
  {
    return "region-" + std::to_string(std::stoul(aVm.substr(3)) % 3);
  }

  FakeCluster cluster{ 11 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(failures, Fixture)

BOOST_AUTO_TEST_CASE(a_crashed_owner_is_replaced_within_two_seconds)
{
  Start(8);
  cluster.Kill(3);
  cluster.Advance(seconds{ 2 });
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(a_leaving_daemon_keeps_its_replicas_until_it_releases_them)
{
  Start(8);
  FakeDaemon& leaving = cluster.At(4);
  leaving.isReleasingAtOnce = false;
  const auto held = leaving.acquired;
  BOOST_REQUIRE(!held.empty());
  leaving.service.AnnounceLeaving();
  cluster.Advance(seconds{ 3 });
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
  BOOST_TEST(!leaving.handover.MayUse(*held.begin()));
  for (const auto& replica : held) {
    leaving.acquired.erase(replica);
    leaving.handover.ConfirmReleased(replica);
  }
  cluster.Advance(milliseconds{ 200 });
  BOOST_TEST(leaving.handover.HeldCount() == 0U);
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_daemon_waits_for_the_previous_owners)
{
  Start(7);
  for (const auto& [n, daemon] : cluster.daemons) {
    daemon->isReleasingAtOnce = false;
  }
  FakeDaemon& added = cluster.StartDaemon(7);
  cluster.SendVmList();
  cluster.Advance(seconds{ 5 });
  BOOST_TEST(MaxHolders(cluster) == 1U);
  BOOST_TEST(added.acquired.empty());
  for (const auto& [replica, owner] : added.handover.Owners()) {
    for (const auto& [n, daemon] : cluster.daemons) {
      if (owner == VmOf(7) && daemon->acquired.erase(replica) > 0) {
        daemon->handover.ConfirmReleased(replica);
      }
    }
  }
  cluster.Advance(milliseconds{ 200 });
  BOOST_TEST(!added.acquired.empty());
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(of_two_daemons_that_both_expect_to_own_a_replica_one_acquires_it)
{
  for (const std::size_t count : { 2U, 3U }) {
    FakeCluster few(count);
    few.StartAll(count);
    for (int n = 0; n < 20; ++n) {
      const std::string replica = "r-" + std::to_string(n);
      few.At(0).handover.SetOwners({ { replica, VmOf(0) } });
      few.At(1).handover.SetOwners({ { replica, VmOf(1) } });
      few.Advance(seconds{ 1 });
      BOOST_TEST(few.CountHolders(replica) == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(different_member_lists_do_not_make_two_holders)
{
  cluster.StartAll(4);
  cluster.AssignOwners(ConfigurationOf(1, kServices).declaration);
  cluster.Advance(seconds{ 1 });
  for (std::size_t n = 4; n < 8; ++n) {
    cluster.StartDaemon(n);
  }
  // Only one of the new daemons gets the list of all VMs; the others learn of them from it.
  std::vector<VmRecord> records;
  for (const auto& [n, daemon] : cluster.daemons) {
    const Member& self = daemon->service.Self();
    records.push_back({ self.vm, self.failureDomain, self.region, "", self.peerAddress, false });
  }
  cluster.At(4).service.MergeVmList(records);
  for (int n = 0; n < 100; ++n) {
    cluster.Advance(milliseconds{ 100 });
    BOOST_TEST(MaxHolders(cluster) <= 1U);
  }
  BOOST_TEST(CountSettled(cluster) == 8U);
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(a_flapping_member_moves_only_its_own_share)
{
  Start(8);
  const auto owned = [this](std::size_t aNumber) { return cluster.At(aNumber).acquired; };
  std::map<std::size_t, std::set<std::string>> before;
  for (std::size_t n = 0; n < 8; ++n) {
    before[n] = owned(n);
  }
  bool isDown = false;
  cluster.network.isCut = [&isDown](const std::string& aFrom, const std::string& aTo) {
    return isDown && (aFrom == VmOf(2) || aTo == VmOf(2));
  };
  std::uint64_t moves = 0;
  for (int round = 0; round < 10; ++round) {
    isDown = true;
    cluster.Advance(seconds{ 3 });
    isDown = false;
    cluster.Advance(seconds{ 3 });
    for (std::size_t n = 0; n < 8; ++n) {
      const auto& now = owned(n);
      const bool keeps = std::includes(now.begin(), now.end(), before[n].begin(), before[n].end());
      BOOST_TEST((n == 2 || keeps));
    }
    moves += owned(2).empty() ? 0 : 1;
  }
  // Its replicas return at most once; after that its settling time exceeds the time it is up.
  BOOST_TEST(moves <= 1U);
}

BOOST_AUTO_TEST_CASE(a_region_that_was_cut_off_for_an_hour_recovers)
{
  Start(9);
  CutRegion("region-1");
  cluster.Advance(seconds{ 3 });
  for (const auto& [n, daemon] : cluster.daemons) {
    BOOST_TEST(daemon->connectivity.MayTakeNewWork() == (n % 3 != 1));
  }
  cluster.Advance(minutes{ 60 });
  cluster.network.isCut = nullptr;
  cluster.Advance(seconds{ 6 });
  BOOST_TEST(CountSettled(cluster) == 9U);
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
  for (const auto& [n, daemon] : cluster.daemons) {
    BOOST_TEST(daemon->connectivity.MayTakeNewWork());
  }
}

BOOST_AUTO_TEST_CASE(a_leaving_daemon_is_not_gone_while_it_works)
{
  // More members than a daemon has monitors, as while VMs are replaced.
  Start(12);
  cluster.At(4).service.AnnounceLeaving();
  for (int n = 0; n < 30; ++n) {
    cluster.Advance(seconds{ 1 });
    BOOST_TEST(cluster.CountWithState(VmOf(4), MemberState::Gone) == 0U);
  }
  BOOST_TEST(cluster.CountWithState(VmOf(4), MemberState::Leaving) >= 11U);
  cluster.Kill(4);
  cluster.Advance(seconds{ 20 });
  BOOST_TEST(cluster.CountWithState(VmOf(4), MemberState::Gone) == 11U);
}

BOOST_AUTO_TEST_CASE(all_vms_are_replaced_one_after_another)
{
  Start(8);
  for (std::size_t n = 0; n < 8; ++n) {
    cluster.At(n).service.AnnounceLeaving();
    cluster.Advance(seconds{ 1 });
    BOOST_TEST(cluster.At(n).handover.HeldCount() == 0U);
    cluster.Kill(n);
    cluster.StartDaemon(8 + n);
    cluster.SendVmList();
    cluster.Advance(seconds{ 3 });
    BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
    for (const auto& [number, daemon] : cluster.daemons) {
      BOOST_TEST(daemon->connectivity.MayTakeNewWork());
    }
  }
  BOOST_TEST(CountSettled(cluster) == 8U);
  BOOST_TEST(cluster.At(8).service.Table().ExpectedCount() == 8U);
}

BOOST_AUTO_TEST_CASE(a_replaced_vm_with_a_reused_name_and_address_is_distinguished)
{
  Start(8);
  const std::string before = cluster.At(2).service.Self().incarnation;
  const std::string address = cluster.At(5).service.Self().peerAddress;
  cluster.StartDaemon(2);
  cluster.Kill(5);
  cluster.StartDaemon(9, address);
  cluster.SendVmList();
  cluster.Advance(seconds{ 3 });
  BOOST_TEST(CountSettled(cluster) == 8U);
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
  for (const auto& [n, daemon] : cluster.daemons) {
    const MemberEntry* entry = daemon->service.Table().Find(VmOf(2));
    BOOST_TEST((n == 2 || entry->member.incarnation != before));
    const MemberEntry* old = daemon->service.Table().Find(VmOf(5));
    BOOST_TEST((old == nullptr || old->member.state == MemberState::Gone));
  }
}

BOOST_AUTO_TEST_CASE(a_paused_owner_does_not_act_before_its_peers_answered)
{
  Start(8);
  FakeDaemon& paused = cluster.At(6);
  const std::string replica = *paused.acquired.begin();
  paused.process.Pause();
  cluster.Advance(seconds{ 5 });
  BOOST_TEST(!paused.handover.MayUse(replica));
  BOOST_TEST(cluster.CountHolders(replica) == 2U);
  paused.process.Resume();
  for (int n = 0; n < 100; ++n) {
    std::size_t users = 0;
    for (const auto& [number, daemon] : cluster.daemons) {
      users += daemon->handover.MayUse(replica) ? 1 : 0;
    }
    BOOST_TEST(users <= 1U);
    cluster.Advance(milliseconds{ 50 });
  }
  BOOST_TEST(CountSettled(cluster) == 8U);
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(lost_messages_move_no_replica)
{
  Start(8);
  std::map<std::size_t, std::set<std::string>> before;
  for (const auto& [n, daemon] : cluster.daemons) {
    before[n] = daemon->acquired;
  }
  cluster.network.loss = 0.2;
  cluster.Advance(minutes{ 5 });
  for (const auto& [n, daemon] : cluster.daemons) {
    BOOST_TEST((daemon->acquired == before[n]));
    BOOST_TEST(daemon->connectivity.MayTakeNewWork());
  }
}

BOOST_AUTO_TEST_CASE(a_cut_in_one_direction_between_two_daemons_moves_no_replica)
{
  Start(8);
  cluster.network.isCut = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom == VmOf(0) && aTo == VmOf(1);
  };
  cluster.Advance(minutes{ 2 });
  BOOST_TEST(CountSettled(cluster) == 8U);
  BOOST_TEST(CountNotHeldBy(cluster, 1) == 0U);
  // The silence timeout grows with each refuted suspicion, so suspicions become rare.
  const double suspicions = cluster.At(1)
                              .metrics
                              .Counter("skylarkwing_membership_suspicions_total",
                                       "Times that a member became suspect here.")
                              .Value();
  BOOST_TEST(suspicions <= 20.0);
}

BOOST_AUTO_TEST_CASE(a_daemon_whose_messages_are_all_lost_is_gone)
{
  Start(8);
  cluster.network.isCut = [](const std::string& aFrom, const std::string&) {
    return aFrom == VmOf(0);
  };
  cluster.Advance(seconds{ 2 });
  BOOST_TEST(cluster.CountWithState(VmOf(0), MemberState::Gone) == 7U);
}

BOOST_AUTO_TEST_CASE(facts_survive_loss_and_a_restart_of_their_owner)
{
  Start(8);
  cluster.network.loss = 0.2;
  cluster.At(3).ownFacts = { { { "replica", "r-1" }, { "state", 1 } } };
  cluster.Advance(seconds{ 1 });
  cluster.At(3).ownFacts = { { { "replica", "r-1" }, { "state", 2 } } };
  cluster.Advance(seconds{ 15 });
  cluster.network.loss = 0.0;
  for (const auto& [n, daemon] : cluster.daemons) {
    BOOST_TEST((n == 3 || daemon->facts["r-1"]["state"] == 2));
  }
  cluster.StartDaemon(3).ownFacts = { { { "replica", "r-1" }, { "state", 3 } } };
  cluster.SendVmList();
  cluster.Advance(seconds{ 2 });
  for (const auto& [n, daemon] : cluster.daemons) {
    BOOST_TEST((n == 3 || daemon->facts["r-1"]["state"] == 3));
  }
}

BOOST_AUTO_TEST_CASE(facts_are_replayed_when_their_owner_comes_back)
{
  Start(8);
  cluster.At(3).ownFacts = { { { "replica", "r-1" }, { "state", 1 } } };
  cluster.Advance(seconds{ 1 });
  cluster.network.isCut = [](const std::string& aFrom, const std::string&) {
    return aFrom == VmOf(3);
  };
  cluster.Advance(seconds{ 3 });
  for (const auto& [n, daemon] : cluster.daemons) {
    daemon->facts.clear();
  }
  cluster.network.isCut = nullptr;
  cluster.Advance(seconds{ 2 });
  for (const auto& [n, daemon] : cluster.daemons) {
    BOOST_TEST((n == 3 || daemon->facts.count("r-1") == 1U));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
