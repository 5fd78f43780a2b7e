#include "upstream/fingerprint_gate.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr std::size_t kMaximumWaiting = 256;
// A claim outlasts a crash by this time, so that every daemon hears of the crash first.
constexpr std::chrono::seconds kEvidenceSettleTime{ 5 };

std::string
ClaimName(std::uint64_t aFingerprint)
{
  char buf[17] = {};
  std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(aFingerprint));
  return std::string("fingerprint-") + buf;
}

} // namespace

FingerprintGate::FingerprintGate(boost::asio::any_io_executor aExecutor,
                                 core::TimerService& aTimers,
                                 FingerprintGateHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mHooks(std::move(aHooks))
{
}

void
FingerprintGate::Enter(const PendingPartPtr& aPart, bool aNeedsClaim)
{
  Flight& flight = mFlights[aPart->request.fingerprint];
  if (flight.running) {
    Wait(flight, aPart);
    return;
  }
  flight.running = aPart;
  flight.hasClaim = false;
  flight.isAwaitingClaim = aNeedsClaim;
  if (!aNeedsClaim) {
    mHooks.run(aPart);
    return;
  }
  flight.claimTimer = RefuseAtDeadline(aPart);
  core::Start(mExecutor, RunClaimed(shared_from_this(), aPart));
}

bool
FingerprintGate::Remove(const PendingPartPtr& aPart)
{
  const auto flight = mFlights.find(aPart->request.fingerprint);
  if (flight == mFlights.end()) {
    return false;
  }
  if (flight->second.running == aPart && flight->second.isAwaitingClaim) {
    // Its answer ends the flight, and the task that asks for the claim then gives it back.
    mTimers.Cancel(flight->second.claimTimer);
    flight->second.isAwaitingClaim = false;
    return true;
  }
  std::deque<Waiting>& waiting = flight->second.waiting;
  const auto it = std::find_if(
    waiting.begin(), waiting.end(), [&aPart](const Waiting& aItem) { return aItem.part == aPart; });
  if (it == waiting.end()) {
    return false;
  }
  mTimers.Cancel(it->deadlineTimer);
  waiting.erase(it);
  return true;
}

void
FingerprintGate::OnEnded(const PendingPartPtr& aPart, PartStatus aStatus)
{
  const auto it = mFlights.find(aPart->request.fingerprint);
  if (it == mFlights.end() || it->second.running != aPart) {
    return;
  }
  Flight flight = std::move(it->second);
  mFlights.erase(it);
  if (flight.hasClaim) {
    const bool isSettled = aStatus == PartStatus::Answered || aStatus == PartStatus::NotRun;
    const core::Duration delay = isSettled ? core::Duration::zero() : kEvidenceSettleTime;
    ReleaseLater(ClaimName(aPart->request.fingerprint), delay);
  }
  for (const Waiting& item : flight.waiting) {
    mTimers.Cancel(item.deadlineTimer);
    mHooks.route(item.part);
  }
}

bool
FingerprintGate::MayRunSuspect(const PartRequest& aRequest) const
{
  const auto it = mFlights.find(aRequest.fingerprint);
  if (it == mFlights.end() || !it->second.running || !it->second.hasClaim) {
    return false;
  }
  return it->second.running->request.partId == aRequest.partId &&
         mHooks.isClaimHeld(ClaimName(aRequest.fingerprint));
}

core::Task<void>
FingerprintGate::RunClaimed(std::shared_ptr<FingerprintGate> aSelf, PendingPartPtr aPart)
{
  const std::string claim = ClaimName(aPart->request.fingerprint);
  const auto timer = aSelf->mReleaseTimers.find(claim);
  if (timer != aSelf->mReleaseTimers.end()) {
    aSelf->mTimers.Cancel(timer->second);
    aSelf->mReleaseTimers.erase(timer);
  }
  const bool isGranted = co_await aSelf->mHooks.acquireClaim(claim);
  const auto it = aSelf->mFlights.find(aPart->request.fingerprint);
  const bool isStillRunning = it != aSelf->mFlights.end() && it->second.running == aPart;
  if (!isStillRunning) {
    if (isGranted) {
      aSelf->ReleaseLater(claim, core::Duration::zero());
    }
    co_return;
  }
  aSelf->mTimers.Cancel(it->second.claimTimer);
  it->second.isAwaitingClaim = false;
  it->second.hasClaim = isGranted;
  if (isGranted) {
    aSelf->mHooks.run(aPart);
  } else {
    aSelf->mHooks.refuse(aPart, PartRefusal::Unavailable);
  }
}

void
FingerprintGate::Wait(Flight& aFlight, const PendingPartPtr& aPart)
{
  if (aFlight.waiting.size() >= kMaximumWaiting) {
    mHooks.refuse(aPart, PartRefusal::Overloaded);
    return;
  }
  aFlight.waiting.push_back({ aPart, RefuseAtDeadline(aPart) });
}

core::TimerId
FingerprintGate::RefuseAtDeadline(const PendingPartPtr& aPart)
{
  const core::Duration delay = aPart->request.deadline - mTimers.Now();
  return mTimers.Schedule(delay, [weak = weak_from_this(), part = aPart] {
    const std::shared_ptr<FingerprintGate> self = weak.lock();
    if (self && self->Remove(part)) {
      self->mHooks.refuse(part, PartRefusal::DeadlineTooClose);
    }
  });
}

void
FingerprintGate::ReleaseLater(const std::string& aClaim, core::Duration aDelay)
{
  if (aDelay == core::Duration::zero()) {
    mHooks.releaseClaim(aClaim);
    return;
  }
  mReleaseTimers[aClaim] = mTimers.Schedule(aDelay, [weak = weak_from_this(), aClaim] {
    const std::shared_ptr<FingerprintGate> self = weak.lock();
    if (self) {
      self->mReleaseTimers.erase(aClaim);
      self->mHooks.releaseClaim(aClaim);
    }
  });
}

} // namespace skylarkwing::upstream
