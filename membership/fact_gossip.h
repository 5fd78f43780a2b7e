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

/** The daemon's own facts, and the peers, for FactGossip. */
struct FactGossipHooks
{
  /** @return this daemon's current facts, each a JSON object with the replica name at "replica". */
  std::function<std::vector<nlohmann::json>()> ownFacts;
  /**
   * Whether a change is sent ahead of the others, which wait for spare bytes; unset means always.
   * The previous fact is null when there was none.
   */
  std::function<bool(const nlohmann::json& aBefore, const nlohmann::json& aAfter)> isUrgent;
  /** Receives every newer fact of another daemon, with the VM that published it. */
  std::function<void(const std::string& aVm, const nlohmann::json& aFact)> onFact;
  /** @return the peers to send to now: all in a full mesh, else a few random ones. */
  std::function<std::vector<std::string>()> receivers;
  /** Whether the receivers are all members, so that facts need not be forwarded. */
  std::function<bool()> isFullMesh;
  std::function<void(const std::string& aVm, const nlohmann::json& aFacts)> send;
};

/**
 * Sends facts about replicas to every daemon within a byte budget.
 *
 * Changes wait in queues with one entry for each replica; every run sends what the budget allows.
 * Deferred changes use the budget only while more than half of a burst is available, so that urgent
 * changes never wait for them. Outside a full mesh, a daemon forwards new facts to a few random
 * peers.
 */
class FactGossip
{
public:
  FactGossip(core::TimerService& aTimers,
             core::Metrics& aMetrics,
             std::string aSelf,
             FactGossipHooks aHooks);

  /** Queues changes of this daemon's own facts and sends what the budget allows. */
  void Run();

  /** Handles a message with facts from another daemon. */
  void HandleMessage(const std::string& aFrom, const nlohmann::json& aFacts);

  /** Merges facts from an anti-entropy exchange; they are not forwarded. @return how many were new.
   */
  std::size_t MergeFacts(const nlohmann::json& aFacts);

  /** Calls onFact again with all facts of a VM that was considered gone and came back. */
  void Replay(const std::string& aVm) const;

  const FactTable& Table() const { return mTable; }

private:
  void PublishOwn();
  void SendUrgent();
  void SendDeferred();
  bool SendBatch(GossipQueue& aQueue, std::size_t aMaxFacts);
  ByteBudget& Budget();
  bool Merge(NamedFact aFact);

  FactGossipHooks mHooks;
  FactTable mTable;
  GossipQueue mUrgent;
  GossipQueue mDeferred;
  ByteBudget mMeshBudget;
  ByteBudget mGossipBudget;
  prometheus::Counter& mPublished;
  prometheus::Counter& mReceived;
  prometheus::Gauge& mWaiting;
};

} // namespace skylarkwing::membership
