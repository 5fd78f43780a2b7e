#include "membership/fact_gossip.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

/** What fact changes may cost in sent bytes; the rest of the control budget is heartbeats. */
constexpr double kFleetBytesPerSecond = 8.0 * 1024;
constexpr double kFleetBurstBytes = 48.0 * 1024;
/** In a mesh nobody passes facts on, so that what a daemon receives does not grow with these. */
constexpr double kMeshBytesPerSecond = 16.0 * 1024;
constexpr double kMeshBurstBytes = 128.0 * 1024;
/** Few, so that a message of theirs does not overdraw the budget. */
constexpr std::size_t kDeferredFactsPerMessage = 8;
constexpr std::size_t kFactsPerMessage = 32;
constexpr std::uint32_t kRoundsInMesh = 1;
/** With a few receivers in each round, two rounds leave fewer than one daemon in a hundred out. */
constexpr std::uint32_t kRoundsInFleet = 2;

} // namespace

FactGossip::FactGossip(core::TimerService& aTimers,
                       core::Metrics& aMetrics,
                       std::string aSelf,
                       FactGossipHooks aHooks)
  : mHooks(std::move(aHooks))
  , mTable(std::move(aSelf))
  , mMeshBudget(aTimers, kMeshBytesPerSecond, kMeshBurstBytes)
  , mFleetBudget(aTimers, kFleetBytesPerSecond, kFleetBurstBytes)
  , mStated(aMetrics.Counter("skylarkwing_membership_facts_stated_total",
                             "Changes of this daemon's own replica facts."))
  , mHeard(aMetrics.Counter("skylarkwing_membership_facts_heard_total",
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
FactGossip::Hear(const std::string& aFrom, const nlohmann::json& aFacts)
{
  std::vector<NamedFact> newer;
  for (auto& fact : FactsFromJson(aFacts)) {
    const FactEntry* known = mTable.Find(fact.replica);
    if (known != nullptr && known->version > fact.entry.version) {
      newer.push_back({ fact.replica, *known });
      continue;
    }
    const std::string replica = fact.replica;
    if (Take(std::move(fact)) && !mHooks.isFullMesh()) {
      mUrgent.Add(replica, kRoundsInFleet);
    }
  }
  // A daemon that restarted counts from the start again until it hears where it was.
  if (!newer.empty()) {
    mHooks.send(aFrom, FactsToJson(newer));
  }
}

std::size_t
FactGossip::MergeFacts(const nlohmann::json& aFacts)
{
  std::size_t n = 0;
  for (auto& fact : FactsFromJson(aFacts)) {
    n += Take(std::move(fact)) ? 1 : 0;
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
  const std::uint32_t rounds = mHooks.isFullMesh() ? kRoundsInMesh : kRoundsInFleet;
  for (const auto& fact : mHooks.ownFacts()) {
    const auto before = mTable.State(fact);
    if (!before) {
      continue;
    }
    mStated.Increment();
    const std::string replica = fact["replica"].get<std::string>();
    const bool isUrgent = !mHooks.isUrgent || mHooks.isUrgent(*before, fact);
    if (isUrgent) {
      mDeferred.Drop(replica);
      mUrgent.Add(replica, rounds);
    } else if (!mUrgent.Has(replica)) {
      mDeferred.Add(replica, rounds);
    }
  }
}

void
FactGossip::SendUrgent()
{
  while (!mUrgent.IsEmpty() && Budget().HasAny()) {
    // Outside a mesh the next round of the same facts goes to other peers, a little later.
    if (!SendSome(mUrgent, kFactsPerMessage) || !mHooks.isFullMesh()) {
      return;
    }
  }
}

void
FactGossip::SendDeferred()
{
  while (!mDeferred.IsEmpty() && Budget().HasPlenty()) {
    if (!SendSome(mDeferred, kDeferredFactsPerMessage) || !mHooks.isFullMesh()) {
      return;
    }
  }
}

bool
FactGossip::SendSome(GossipQueue& aQueue, std::size_t aMost)
{
  const auto receivers = mHooks.receivers();
  if (receivers.empty()) {
    return false;
  }
  std::vector<NamedFact> facts;
  std::size_t bytes = 0;
  for (const auto& replica : aQueue.Take(aMost)) {
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
  return mHooks.isFullMesh() ? mMeshBudget : mFleetBudget;
}

bool
FactGossip::Take(NamedFact aFact)
{
  const std::string replica = aFact.replica;
  if (!mTable.Merge(std::move(aFact))) {
    return false;
  }
  mHeard.Increment();
  // What this daemon itself said before is replaced; saying it again would undo that.
  mUrgent.Drop(replica);
  mDeferred.Drop(replica);
  if (mHooks.onFact) {
    const FactEntry* entry = mTable.Find(replica);
    mHooks.onFact(entry->owner, entry->fact);
  }
  return true;
}

} // namespace skylarkwing::membership
