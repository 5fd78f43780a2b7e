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

constexpr milliseconds kRequestPeriod{ 100 };

/** Longer than any request runs; a replica that another still holds then is taken over. */
constexpr seconds kMaxWait{ 10 };

/** @return whether the first VM wins over the second when both are to own a replica. */
bool
HasPriority(const std::string& aReplica, const std::string& aFirst, const std::string& aSecond)
{
  const std::uint64_t replica = HashOf(aReplica);
  return CombineHashes(replica, HashOf(aFirst)) < CombineHashes(replica, HashOf(aSecond));
}

std::vector<std::string>
ReadStrings(const nlohmann::json& aBody, const char* aKey)
{
  std::vector<std::string> strings;
  if (!aBody.is_object() || !aBody.contains(aKey) || !aBody[aKey].is_array()) {
    return strings;
  }
  for (const auto& string : aBody[aKey]) {
    if (string.is_string()) {
      strings.push_back(string.get<std::string>());
    }
  }
  return strings;
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
  mTimer.Start(kRequestPeriod, [this](core::Duration) { Run(); });
}

void
Handover::SetOwners(OwnerMap aOwners)
{
  const OwnerMap previous = std::exchange(mOwners, std::move(aOwners));
  const std::string& self = mMembership.Self().vm;
  std::vector<std::string> lost;
  for (const auto& [name, replica] : mReplicas) {
    const auto owner = mOwners.find(name);
    if (owner == mOwners.end() || owner->second != self) {
      lost.push_back(name);
    }
  }
  for (const auto& replica : lost) {
    StartReleasing(replica);
  }
  for (const auto& [replica, owner] : mOwners) {
    if (owner == self) {
      const auto previousOwner = previous.find(replica);
      StartAcquiring(replica,
                     previousOwner != previous.end() ? previousOwner->second : std::string());
    }
  }
  Run();
}

void
Handover::ConfirmReleased(const std::string& aReplica)
{
  const auto it = mReplicas.find(aReplica);
  if (it == mReplicas.end() || it->second.state != HoldState::Releasing) {
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
  const bool isHeld = it != mReplicas.end() && it->second.state == HoldState::Held;
  return isHeld && !mMembership.IsRecovering() && !mMembership.IsSuperseded();
}

std::size_t
Handover::HeldCount() const
{
  std::size_t n = 0;
  for (const auto& [name, replica] : mReplicas) {
    n += replica.state != HoldState::Waiting ? 1 : 0;
  }
  return n;
}

void
Handover::StartAcquiring(const std::string& aReplica, const std::string& aPreviousOwner)
{
  const auto it = mReplicas.find(aReplica);
  if (it != mReplicas.end()) {
    if (it->second.state == HoldState::Releasing) {
      Acquire(aReplica, it->second);
    }
    return;
  }
  Replica added;
  added.waitingSince = mTimers.Now();
  const std::string& self = mMembership.Self().vm;
  if (mMembership.IsFullMesh()) {
    const auto& peers = mMembership.Peers();
    added.possibleHolders.insert(peers.begin(), peers.end());
  }
  const FactEntry* fact = mMembership.Facts().Find(aReplica);
  if (fact != nullptr && fact->owner != self) {
    added.possibleHolders.insert(fact->owner);
  }
  if (!aPreviousOwner.empty() && aPreviousOwner != self) {
    added.possibleHolders.insert(aPreviousOwner);
  }
  mReplicas.emplace(aReplica, std::move(added));
}

void
Handover::StartReleasing(const std::string& aReplica)
{
  const auto it = mReplicas.find(aReplica);
  if (it->second.state == HoldState::Waiting) {
    mReplicas.erase(it);
    return;
  }
  if (it->second.state == HoldState::Held) {
    it->second.state = HoldState::Releasing;
    mHooks.onRelease(aReplica);
  }
}

void
Handover::Acquire(const std::string& aName, Replica& aReplica)
{
  aReplica.state = HoldState::Held;
  aReplica.possibleHolders.clear();
  mAcquired.Increment();
  mHeld.Set(static_cast<double>(HeldCount()));
  mHooks.onAcquire(aName);
}

void
Handover::Run()
{
  if (mMembership.IsRecovering()) {
    return;
  }
  const std::string& self = mMembership.Self().vm;
  std::map<std::string, std::vector<std::string>> requests;
  std::vector<std::string> free;
  for (auto& [name, replica] : mReplicas) {
    if (replica.state != HoldState::Waiting) {
      continue;
    }
    std::erase_if(replica.possibleHolders,
                  [&](const std::string& aVm) { return aVm == self || !IsPresent(aVm); });
    const bool isOverdue = mTimers.Now() - replica.waitingSince >= core::Duration(kMaxWait);
    if (isOverdue && !replica.possibleHolders.empty()) {
      mOverdue.Increment();
      core::LogEvent(core::LogLevel::Warning,
                     "membership",
                     "handover_overdue",
                     { { "replica", name }, { "held_by", *replica.possibleHolders.begin() } });
      replica.possibleHolders.clear();
    }
    if (replica.possibleHolders.empty()) {
      free.push_back(name);
    }
    for (const auto& vm : replica.possibleHolders) {
      requests[vm].push_back(name);
    }
  }
  for (const auto& name : free) {
    // The onAcquire hook of a previous replica may have changed the owners.
    const auto it = mReplicas.find(name);
    if (it != mReplicas.end() && it->second.state == HoldState::Waiting) {
      Acquire(name, it->second);
    }
  }
  for (const auto& [vm, replicas] : requests) {
    mMembership.Send(vm, kRequestKind, { { "replicas", replicas } });
  }
}

void
Handover::HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  auto free = nlohmann::json::array();
  auto others = nlohmann::json::object();
  for (const auto& replica : ReadStrings(aBody, "replicas")) {
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
Handover::IsFreeFor(const std::string& aReplica, const std::string& aRequester)
{
  const auto it = mReplicas.find(aReplica);
  if (it == mReplicas.end()) {
    return true;
  }
  const std::string& self = mMembership.Self().vm;
  if (it->second.state != HoldState::Waiting || HasPriority(aReplica, self, aRequester)) {
    return false;
  }
  // An earlier release by the requester is outdated: it is to own the replica now.
  it->second.possibleHolders.insert(aRequester);
  return true;
}

void
Handover::HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto free = ReadStrings(aBody, "free");
  const auto others = aBody.is_object() ? aBody.find("others") : aBody.end();
  for (const auto& replica : free) {
    const auto it = mReplicas.find(replica);
    const bool hasOther = others != aBody.end() && others->is_object() &&
                          others->contains(replica) && (*others)[replica].is_string();
    if (it != mReplicas.end() && hasOther) {
      it->second.possibleHolders.insert((*others)[replica].get<std::string>());
    }
    HandleReleased(aOrigin.vm, replica);
  }
}

void
Handover::HandleReleased(const std::string& aVm, const std::string& aReplica)
{
  const auto it = mReplicas.find(aReplica);
  if (it == mReplicas.end() || it->second.state != HoldState::Waiting) {
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
