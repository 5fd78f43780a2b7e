#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "membership/byte_budget.h"
#include "membership/fact_table.h"
#include "membership/gossip_queue.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** What a fact spread needs from its daemon. */
struct FactGossipHooks
{
  /** The facts that this daemon states now, each a JSON object with the name under "replica". */
  std::function<std::vector<nlohmann::json>()> ownFacts;
  /**
   * Whether a change is worth sending at once; others wait for spare bytes. All are when unset.
   * The fact before is null when there was none.
   */
  std::function<bool(const nlohmann::json& aBefore, const nlohmann::json& aAfter)> isUrgent;
  /** Receives every newer fact of another daemon, with the VM that stated it. */
  std::function<void(const std::string& aVm, const nlohmann::json& aFact)> onFact;
  /** Peers to send to now: all of a full mesh, else a few random ones. */
  std::function<std::vector<std::string>()> receivers;
  /** Whether the receivers are all members, so that nobody needs to pass facts on. */
  std::function<bool()> isFullMesh;
  std::function<void(const std::string& aVm, const nlohmann::json& aFacts)> send;
};

/**
 * Spreads facts about replicas to every daemon within a budget of bytes.
 *
 * Changes wait in a queue with one entry for each replica; every round sends what the budget
 * allows. Changes that are not urgent take only what lies above half of a burst, so that urgent
 * ones never wait for them. In a larger fleet a daemon passes new facts on to a few random peers.
 */
class FactGossip
{
public:
  FactGossip(core::TimerService& aTimers,
             core::Metrics& aMetrics,
             std::string aSelf,
             FactGossipHooks aHooks);

  /** Looks for changes of this daemon's own facts and sends what the budget allows. */
  void Run();

  /** Takes facts from another daemon's message. */
  void Hear(const std::string& aFrom, const nlohmann::json& aFacts);

  /** Takes facts from a comparison; they are not passed on. @return how many were new. */
  std::size_t MergeFacts(const nlohmann::json& aFacts);

  /** Calls the hook again with all facts of a VM that was thought gone and is not. */
  void Replay(const std::string& aVm) const;

  const FactTable& Table() const { return mTable; }

private:
  void PublishOwn();
  void SendUrgent();
  void SendDeferred();
  bool SendSome(GossipQueue& aQueue, std::size_t aMost);
  ByteBudget& Budget();
  bool Take(NamedFact aFact);

  FactGossipHooks mHooks;
  FactTable mTable;
  GossipQueue mUrgent;
  GossipQueue mDeferred;
  ByteBudget mMeshBudget;
  ByteBudget mFleetBudget;
  prometheus::Counter& mStated;
  prometheus::Counter& mHeard;
  prometheus::Gauge& mWaiting;
};

} // namespace skylarkwing::membership
