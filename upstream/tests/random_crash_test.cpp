#include "upstream/tests/dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kPoison = 666;
constexpr int kDaemons = 5;
constexpr std::chrono::seconds kLeaseTime{ 5 };

/**
 * Daemons that each send parts and own one replica of a shard; callers keep sending one bad
 * request.
 */
class Fleet : public DispatcherFixture
{
public:
  explicit Fleet(core::Duration aEvidenceDelay)
  {
    broadcastDelay = aEvidenceDelay;
    for (int n = 0; n < kDaemons; ++n) {
      AddUpstream(Replica(n)).poison = R"({"poison":true})";
      AddOwner(n);
    }
    RunFor(milliseconds{ 100 });
  }

  static std::string Vm(int aNumber) { return "vm-" + std::to_string(aNumber); }
  static std::string Replica(int aNumber) { return "r" + std::to_string(aNumber); }

  /** A caller sends the request to that daemon, which tries the replicas in a fixed order. */
  void Query(int aSender)
  {
    std::set<std::string>& known = mKnowledge->crashed[aSender];
    for (const std::string& name : dispatchers[Vm(aSender)]->CrashedReplicas(kPoison)) {
      known.insert(name);
    }
    for (int n = 0; n < kDaemons; ++n) {
      if (!known.contains(Replica(n)) && MayGetRequests(aSender, n)) {
        SendPoison(aSender, n);
        return;
      }
    }
  }

  /** The daemon is lost; another one replaces it and gets the evidence of a neighbour. */
  void Replace(int aNumber)
  {
    dispatchers.erase(Vm(aNumber));
    mKnowledge->crashed.erase(aNumber);
    LosePermits(Vm(aNumber));
    RunFor(milliseconds{ 1 });
    AddOwner(aNumber);
    for (const CrashEvidence& known : dispatchers[Vm((aNumber + 1) % kDaemons)]->Evidence()) {
      dispatchers[Vm(aNumber)]->Merge(known);
    }
  }

  std::uint32_t Crashes() const
  {
    std::uint32_t n = 0;
    for (const auto& [name, upstream] : upstreams) {
      n += upstream->crashes;
    }
    return n;
  }

private:
  /** What the daemons have learned; callbacks share it, because they outlive the fleet. */
  struct Knowledge
  {
    std::map<int, std::set<std::string>> crashed;
    std::map<int, std::map<std::string, ReplicaState>> states;
  };

  std::shared_ptr<Knowledge> mKnowledge = std::make_shared<Knowledge>();

  /** The store leases to processes, not VMs, so the leases of the lost one must expire. */
  void LosePermits(const std::string& aVm)
  {
    for (auto& [name, holder] : permits.holders) {
      if (holder != aVm) {
        continue;
      }
      holder = "lost";
      timers.Schedule(kLeaseTime, [this, permit = name] { permits.holders.erase(permit); });
    }
  }

  void AddOwner(int aNumber)
  {
    PartDispatcher& dispatcher = AddDispatcher(Vm(aNumber));
    dispatcher.OnStatusChange([this, knowledge = mKnowledge](const ReplicaStatus& aStatus) {
      timers.Schedule(broadcastDelay, [knowledge, aStatus] {
        for (int n = 0; n < kDaemons; ++n) {
          knowledge->states[n][aStatus.replica] = aStatus.state;
        }
      });
    });
    dispatcher.SetOwned({ Declare(Replica(aNumber)) });
  }

  bool MayGetRequests(int aSender, int aReplica)
  {
    const ReplicaState state = mKnowledge->states[aSender][Replica(aReplica)];
    return state != ReplicaState::Gone && state != ReplicaState::Out;
  }

  void SendPoison(int aSender, int aOwner)
  {
    PartRequest request = Request(Replica(aOwner), milliseconds{ 200 });
    request.search = R"({"poison":true})";
    request.fingerprint = kPoison;
    request.isCanary = true;
    request.crashedReplicas.assign(mKnowledge->crashed[aSender].begin(),
                                   mKnowledge->crashed[aSender].end());
    dispatchers[Vm(aOwner)]->Dispatch(
      std::move(request), [knowledge = mKnowledge, aSender](const PartAnswer& aAnswer) {
        knowledge->crashed[aSender].insert(aAnswer.crashedReplicas.begin(),
                                           aAnswer.crashedReplicas.end());
      });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(random_crash)

BOOST_AUTO_TEST_CASE(one_request_never_crashes_a_third_replica)
{
  const auto property = [] {
    Fleet fleet(milliseconds{ *rc::gen::inRange(0, 30) });
    const int steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; ++n) {
      const int daemon = *rc::gen::inRange(0, kDaemons);
      const int kind = *rc::gen::inRange(0, 12);
      if (kind == 0) {
        fleet.Replace(daemon);
      } else if (kind == 1) {
        fleet.upstreams[Fleet::Replica(daemon)]->BreakConnections();
      } else {
        fleet.Query(daemon);
      }
      fleet.RunFor(milliseconds{ *rc::gen::inRange(0, 60) });
    }
    fleet.RunFor(std::chrono::seconds{ 1 });
    RC_ASSERT(fleet.Crashes() <= CrashHistorySettings().crashesUntilQuarantine);
  };
  BOOST_TEST(rc::check("at most two replicas crash", property));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
