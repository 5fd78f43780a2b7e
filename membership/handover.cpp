#include "membership/handover.h"

#include "core/log.h"
#include "core/name_table.h"
#include "membership/hash.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::NameTable<HoldState, 3> kHoldStateNames{ { "waiting", "held", "releasing" } };

constexpr const char* kRequestKind = "ownership-request";
constexpr const char* kAnswerKind = "ownership";

constexpr milliseconds kAskPeriod{ 100 };

/** Longer than any request runs; an owner that still holds on then has lost the replica. */
constexpr seconds kLongestWait{ 10 };

/** @return whether the first VM goes before the second when both want a replica. */
bool
IsBefore(const std::string& aReplica, const std::string& aFirst, const std::string& aSecond)
{
  const std::uint64_t replica = HashOf(aReplica);
  return CombineHashes(replica, HashOf(aFirst)) < CombineHashes(replica, HashOf(aSecond));
}

std::vector<std::string>
TextsIn(const nlohmann::json& aBody, const char* aKey)
{
  std::vector<std::string> texts;
  if (!aBody.is_object() || !aBody.contains(aKey) || !aBody[aKey].is_array()) {
    return texts;
  }
  for (const auto& text : aBody[aKey]) {
    if (text.is_string()) {
      texts.push_back(text.get<std::string>());
    }
  }
  return texts;
}

} // namespace

std::string_view
NameOf(HoldState aState)
{
  return kHoldStateNames.NameOf(aState);
}

Handover::Handover(core::TimerService& aTimers,
                   core::RandomSource& aRandom,
                   core::Metrics& aMetrics,
                   MembershipService& aMembership,
                   HandoverHooks aHooks)
  : mTimers(aTimers)
  , mMembership(aMembership)
  , mHooks(std::move(aHooks))
  , mTimer(aTimers, aRandom)
  , mAcquired(aMetrics.Counter("skylarkwing_membership_replicas_acquired_total",
                               "Replicas that this daemon began to own."))
  , mReleased(aMetrics.Counter("skylarkwing_membership_replicas_released_total",
                               "Replicas that this daemon handed over."))
  , mOverdue(aMetrics.Counter("skylarkwing_membership_handovers_overdue_total",
                              "Replicas taken over although an owner before still held on."))
  , mHeld(aMetrics.Gauge("skylarkwing_membership_replicas_held",
                         "Replicas that this daemon holds connections to."))
{
  using Origin = net::PeerMessageOrigin;
  mMembership.OnMessage(kRequestKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleRequest(aOrigin, aBody);
  });
  mMembership.OnMessage(kAnswerKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleAnswer(aOrigin, aBody);
  });
  mTimer.Start(kAskPeriod, [this](core::Duration) { Run(); });
}

void
Handover::SetOwners(OwnerMap aOwners)
{
  const OwnerMap before = std::exchange(mOwners, std::move(aOwners));
  const std::string& self = mMembership.Self().vm;
  std::vector<std::string> yielded;
  for (const auto& [replica, state] : mReplicas) {
    const auto owner = mOwners.find(replica);
    if (owner == mOwners.end() || owner->second != self) {
      yielded.push_back(replica);
    }
  }
  for (const auto& replica : yielded) {
    StartReleasing(replica);
  }
  for (const auto& [replica, owner] : mOwners) {
    if (owner == self) {
      const auto last = before.find(replica);
      StartAcquiring(replica, last != before.end() ? last->second : std::string());
    }
  }
  Run();
}

void
Handover::ConfirmReleased(const std::string& aReplica)
{
  const auto it = mReplicas.find(aReplica);
  if (it == mReplicas.end() || it->second.holding != HoldState::Releasing) {
    return;
  }
  mReplicas.erase(it);
  mReleased.Increment();
  mHeld.Set(static_cast<double>(HeldCount()));
  const auto owner = mOwners.find(aReplica);
  if (owner != mOwners.end()) {
    const nlohmann::json body{ { "free", { aReplica } } };
    mMembership.Send(owner->second, kAnswerKind, body);
  }
}

bool
Handover::MayUse(const std::string& aReplica) const
{
  const auto it = mReplicas.find(aReplica);
  const bool isHeld = it != mReplicas.end() && it->second.holding == HoldState::Held;
  return isHeld && !mMembership.IsRecovering() && !mMembership.IsSuperseded();
}

std::size_t
Handover::HeldCount() const
{
  std::size_t n = 0;
  for (const auto& [replica, state] : mReplicas) {
    n += state.holding != HoldState::Waiting ? 1 : 0;
  }
  return n;
}

void
Handover::StartAcquiring(const std::string& aReplica, const std::string& aOwnerBefore)
{
  const auto it = mReplicas.find(aReplica);
  if (it != mReplicas.end()) {
    if (it->second.holding == HoldState::Releasing) {
      Acquire(aReplica, it->second);
    }
    return;
  }
  Replica state;
  state.since = mTimers.Now();
  const std::string& self = mMembership.Self().vm;
  if (mMembership.IsFullMesh()) {
    const auto& peers = mMembership.Peers();
    state.possibleHolders.insert(peers.begin(), peers.end());
  }
  const FactEntry* fact = mMembership.Facts().Find(aReplica);
  if (fact != nullptr && fact->owner != self) {
    state.possibleHolders.insert(fact->owner);
  }
  if (!aOwnerBefore.empty() && aOwnerBefore != self) {
    state.possibleHolders.insert(aOwnerBefore);
  }
  mReplicas.emplace(aReplica, std::move(state));
}

void
Handover::StartReleasing(const std::string& aReplica)
{
  const auto it = mReplicas.find(aReplica);
  if (it->second.holding == HoldState::Waiting) {
    mReplicas.erase(it);
    return;
  }
  if (it->second.holding == HoldState::Held) {
    it->second.holding = HoldState::Releasing;
    mHooks.onRelease(aReplica);
  }
}

void
Handover::Acquire(const std::string& aReplica, Replica& aState)
{
  aState.holding = HoldState::Held;
  aState.possibleHolders.clear();
  mAcquired.Increment();
  mHeld.Set(static_cast<double>(HeldCount()));
  mHooks.onAcquire(aReplica);
}

void
Handover::Run()
{
  if (mMembership.IsRecovering()) {
    return;
  }
  const std::string& self = mMembership.Self().vm;
  std::map<std::string, std::vector<std::string>> questions;
  std::vector<std::string> free;
  for (auto& [replica, state] : mReplicas) {
    if (state.holding != HoldState::Waiting) {
      continue;
    }
    std::erase_if(state.possibleHolders,
                  [&](const std::string& aVm) { return aVm == self || !IsPresent(aVm); });
    const bool isOverdue = mTimers.Now() - state.since >= core::Duration(kLongestWait);
    if (isOverdue && !state.possibleHolders.empty()) {
      mOverdue.Increment();
      core::LogEvent(core::LogLevel::Warning,
                     "membership",
                     "handover_overdue",
                     { { "replica", replica }, { "held_by", *state.possibleHolders.begin() } });
      state.possibleHolders.clear();
    }
    if (state.possibleHolders.empty()) {
      free.push_back(replica);
    }
    for (const auto& vm : state.possibleHolders) {
      questions[vm].push_back(replica);
    }
  }
  for (const auto& replica : free) {
    // A hook of the one before may have changed what this daemon is to own.
    const auto it = mReplicas.find(replica);
    if (it != mReplicas.end() && it->second.holding == HoldState::Waiting) {
      Acquire(replica, it->second);
    }
  }
  for (const auto& [vm, replicas] : questions) {
    mMembership.Send(vm, kRequestKind, { { "replicas", replicas } });
  }
}

void
Handover::HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  auto free = nlohmann::json::array();
  auto others = nlohmann::json::object();
  for (const auto& replica : TextsIn(aBody, "replicas")) {
    if (!IsFreeFor(replica, aOrigin.vm)) {
      continue;
    }
    free.push_back(replica);
    std::string& releasedTo = mReleasedTo[replica];
    if (releasedTo != aOrigin.vm && IsPresent(releasedTo)) {
      others[replica] = releasedTo;
    }
    releasedTo = aOrigin.vm;
  }
  if (!free.empty()) {
    const nlohmann::json body{ { "free", std::move(free) }, { "others", std::move(others) } };
    mMembership.Send(aOrigin.vm, kAnswerKind, body);
  }
}

bool
Handover::IsFreeFor(const std::string& aReplica, const std::string& aAsker)
{
  const auto it = mReplicas.find(aReplica);
  if (it == mReplicas.end()) {
    return true;
  }
  const std::string& self = mMembership.Self().vm;
  if (it->second.holding != HoldState::Waiting || IsBefore(aReplica, self, aAsker)) {
    return false;
  }
  // What the asker said before no longer holds: it wants the replica now.
  it->second.possibleHolders.insert(aAsker);
  return true;
}

void
Handover::HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto free = TextsIn(aBody, "free");
  const auto others = aBody.is_object() ? aBody.find("others") : aBody.end();
  for (const auto& replica : free) {
    const auto it = mReplicas.find(replica);
    const bool isOther = others != aBody.end() && others->is_object() &&
                         others->contains(replica) && (*others)[replica].is_string();
    if (it != mReplicas.end() && isOther) {
      it->second.possibleHolders.insert((*others)[replica].get<std::string>());
    }
    HandleRelease(aOrigin.vm, replica);
  }
}

void
Handover::HandleRelease(const std::string& aVm, const std::string& aReplica)
{
  const auto it = mReplicas.find(aReplica);
  if (it == mReplicas.end() || it->second.holding != HoldState::Waiting) {
    return;
  }
  it->second.possibleHolders.erase(aVm);
  if (it->second.possibleHolders.empty() && !mMembership.IsRecovering()) {
    Acquire(aReplica, it->second);
  }
}

bool
Handover::IsPresent(const std::string& aVm) const
{
  const MemberEntry* entry = mMembership.Table().Find(aVm);
  if (entry == nullptr) {
    return false;
  }
  const MemberState state = entry->member.state;
  return state != MemberState::Gone && state != MemberState::Joining;
}

} // namespace skylarkwing::membership
