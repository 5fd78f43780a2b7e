#include "membership/fact_gossip.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

/** Limits on sent bytes; the rest of the control traffic budget is for heartbeats. */
constexpr double kGossipBytesPerSecond = 8.0 * 1024;
constexpr double kGossipBurstBytes = 48.0 * 1024;
/** In a full mesh facts are not forwarded, so received bytes do not grow with these limits. */
constexpr double kMeshBytesPerSecond = 16.0 * 1024;
constexpr double kMeshBurstBytes = 128.0 * 1024;
/** Small, so that one message does not overdraw the budget. */
constexpr std::size_t kDeferredFactsPerMessage = 8;
constexpr std::size_t kFactsPerMessage = 32;
constexpr std::uint32_t kMeshRounds = 1;
/** With a few receivers in each round, two rounds miss fewer than one daemon in a hundred. */
constexpr std::uint32_t kGossipRounds = 2;

} // namespace

FactGossip::FactGossip(core::TimerService& aTimers,
                       core::Metrics& aMetrics,
                       std::string aSelf,
                       FactGossipHooks aHooks)
  : mHooks(std::move(aHooks))
  , mTable(std::move(aSelf))
  , mMeshBudget(aTimers, kMeshBytesPerSecond, kMeshBurstBytes)
  , mGossipBudget(aTimers, kGossipBytesPerSecond, kGossipBurstBytes)
  , mPublished(aMetrics.Counter("skylarkwing_membership_facts_stated_total",
                                "Changes of this daemon's own replica facts."))
  , mReceived(aMetrics.Counter("skylarkwing_membership_facts_heard_total",
                               "Newer replica facts from other daemons."))
  , mWaiting(
      aMetrics.Gauge("skylarkwing_membership_facts_waiting", "Replica facts that wait to be sent."))
{
}

void
FactGossip::Run()
{
  PublishOwn();
  SendUrgent();
  if (mUrgent.IsEmpty()) {
    SendDeferred();
  }
  mWaiting.Set(static_cast<double>(mUrgent.Size() + mDeferred.Size()));
}

void
FactGossip::HandleMessage(const std::string& aFrom, const nlohmann::json& aFacts)
{
  std::vector<NamedFact> newer;
  for (auto& fact : FactsFromJson(aFacts)) {
    const FactEntry* known = mTable.Find(fact.replica);
    if (known != nullptr && known->version > fact.entry.version) {
      newer.push_back({ fact.replica, *known });
      continue;
    }
    const std::string replica = fact.replica;
    if (Merge(std::move(fact)) && !mHooks.isFullMesh()) {
      mUrgent.Add(replica, kGossipRounds);
    }
  }
  // A restarted daemon begins again at version 1 until it learns of its earlier facts.
  if (!newer.empty()) {
    mHooks.send(aFrom, FactsToJson(newer));
  }
}

std::size_t
FactGossip::MergeFacts(const nlohmann::json& aFacts)
{
  std::size_t n = 0;
  for (auto& fact : FactsFromJson(aFacts)) {
    n += Merge(std::move(fact)) ? 1 : 0;
  }
  return n;
}

void
FactGossip::Replay(const std::string& aVm) const
{
  if (!mHooks.onFact) {
    return;
  }
  for (const auto& fact : mTable.FactsOf(aVm)) {
    mHooks.onFact(aVm, fact);
  }
}

void
FactGossip::PublishOwn()
{
  if (!mHooks.ownFacts) {
    return;
  }
  const std::uint32_t rounds = mHooks.isFullMesh() ? kMeshRounds : kGossipRounds;
  for (const auto& fact : mHooks.ownFacts()) {
    const auto previous = mTable.Publish(fact);
    if (!previous) {
      continue;
    }
    mPublished.Increment();
    const std::string replica = fact["replica"].get<std::string>();
    const bool isUrgent = !mHooks.isUrgent || mHooks.isUrgent(*previous, fact);
    if (isUrgent) {
      mDeferred.Remove(replica);
      mUrgent.Add(replica, rounds);
    } else if (!mUrgent.Has(replica)) {
      mDeferred.Add(replica, rounds);
    }
  }
}

void
FactGossip::SendUrgent()
{
  while (!mUrgent.IsEmpty() && Budget().CanSpend()) {
    // Outside a full mesh the next round of the same facts goes to other peers in the next run.
    if (!SendBatch(mUrgent, kFactsPerMessage) || !mHooks.isFullMesh()) {
      return;
    }
  }
}

void
FactGossip::SendDeferred()
{
  while (!mDeferred.IsEmpty() && Budget().CanSpendDeferred()) {
    if (!SendBatch(mDeferred, kDeferredFactsPerMessage) || !mHooks.isFullMesh()) {
      return;
    }
  }
}

bool
FactGossip::SendBatch(GossipQueue& aQueue, std::size_t aMaxFacts)
{
  const auto receivers = mHooks.receivers();
  if (receivers.empty()) {
    return false;
  }
  std::vector<NamedFact> facts;
  std::size_t bytes = 0;
  for (const auto& replica : aQueue.TakeNext(aMaxFacts)) {
    const FactEntry* entry = mTable.Find(replica);
    facts.push_back({ replica, *entry });
    bytes += entry->bytes;
  }
  const nlohmann::json message = FactsToJson(facts);
  for (const auto& vm : receivers) {
    mHooks.send(vm, message);
  }
  Budget().Spend(static_cast<double>(bytes * receivers.size()));
  return true;
}

ByteBudget&
FactGossip::Budget()
{
  return mHooks.isFullMesh() ? mMeshBudget : mGossipBudget;
}

bool
FactGossip::Merge(NamedFact aFact)
{
  const std::string replica = aFact.replica;
  if (!mTable.Merge(std::move(aFact))) {
    return false;
  }
  mReceived.Increment();
  // A queued fact of this daemon is superseded; sending it would undo the newer one.
  mUrgent.Remove(replica);
  mDeferred.Remove(replica);
  if (mHooks.onFact) {
    const FactEntry* entry = mTable.Find(replica);
    mHooks.onFact(entry->owner, entry->fact);
  }
  return true;
}

} // namespace skylarkwing::membership
