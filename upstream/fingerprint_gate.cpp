#include "upstream/fingerprint_gate.h"

#include "core/hex_text.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr std::size_t kMaxWaiting = 256;
// A permit is kept for this long after a crash, so that every daemon learns of the crash first.
constexpr std::chrono::seconds kEvidenceSettleTime{ 5 };

std::string
PermitName(std::uint64_t aFingerprint)
{
  return "fingerprint-" + core::ToHex(aFingerprint);
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
FingerprintGate::Enter(const PendingPartPtr& aPart, bool aNeedsPermit)
{
  Admission& admission = mAdmissions[aPart->request.fingerprint];
  if (admission.running) {
    Wait(admission, aPart);
    return;
  }
  admission.running = aPart;
  admission.hasPermit = false;
  admission.isAwaitingPermit = aNeedsPermit;
  if (!aNeedsPermit) {
    mHooks.run(aPart);
    return;
  }
  admission.permitTimer = RefuseAtDeadline(aPart);
  core::Start(mExecutor, RunWithPermit(shared_from_this(), aPart));
}

bool
FingerprintGate::Remove(const PendingPartPtr& aPart)
{
  const auto admission = mAdmissions.find(aPart->request.fingerprint);
  if (admission == mAdmissions.end()) {
    return false;
  }
  if (admission->second.running == aPart && admission->second.isAwaitingPermit) {
    // Its answer ends the admission, and the task that requests the permit then releases it.
    mTimers.Cancel(admission->second.permitTimer);
    admission->second.isAwaitingPermit = false;
    return true;
  }
  std::deque<WaitingPart>& waiting = admission->second.waiting;
  const auto it = std::find_if(waiting.begin(), waiting.end(), [&aPart](const WaitingPart& aItem) {
    return aItem.part == aPart;
  });
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
  const auto it = mAdmissions.find(aPart->request.fingerprint);
  if (it == mAdmissions.end() || it->second.running != aPart) {
    return;
  }
  Admission admission = std::move(it->second);
  mAdmissions.erase(it);
  if (admission.hasPermit) {
    const bool isSettled = aStatus == PartStatus::Answered || aStatus == PartStatus::NotRun;
    const core::Duration delay = isSettled ? core::Duration::zero() : kEvidenceSettleTime;
    ReleaseLater(PermitName(aPart->request.fingerprint), delay);
  }
  for (const WaitingPart& item : admission.waiting) {
    mTimers.Cancel(item.deadlineTimer);
    mHooks.route(item.part);
  }
}

bool
FingerprintGate::MayRunSuspect(const PartRequest& aRequest) const
{
  const auto it = mAdmissions.find(aRequest.fingerprint);
  if (it == mAdmissions.end() || !it->second.running || !it->second.hasPermit) {
    return false;
  }
  return it->second.running->request.partId == aRequest.partId &&
         mHooks.isPermitHeld(PermitName(aRequest.fingerprint));
}

core::Task<void>
FingerprintGate::RunWithPermit(std::shared_ptr<FingerprintGate> aSelf, PendingPartPtr aPart)
{
  const std::string permit = PermitName(aPart->request.fingerprint);
  const auto timer = aSelf->mReleaseTimers.find(permit);
  if (timer != aSelf->mReleaseTimers.end()) {
    aSelf->mTimers.Cancel(timer->second);
    aSelf->mReleaseTimers.erase(timer);
  }
  const bool isGranted = co_await aSelf->mHooks.acquirePermit(permit);
  const auto it = aSelf->mAdmissions.find(aPart->request.fingerprint);
  const bool isStillRunning = it != aSelf->mAdmissions.end() && it->second.running == aPart;
  if (!isStillRunning) {
    if (isGranted) {
      aSelf->ReleaseLater(permit, core::Duration::zero());
    }
    co_return;
  }
  aSelf->mTimers.Cancel(it->second.permitTimer);
  it->second.isAwaitingPermit = false;
  it->second.hasPermit = isGranted;
  if (isGranted) {
    aSelf->mHooks.run(aPart);
  } else {
    aSelf->mHooks.refuse(aPart, PartRefusal::Unavailable);
  }
}

void
FingerprintGate::Wait(Admission& aAdmission, const PendingPartPtr& aPart)
{
  if (aAdmission.waiting.size() >= kMaxWaiting) {
    mHooks.refuse(aPart, PartRefusal::Overloaded);
    return;
  }
  aAdmission.waiting.push_back({ aPart, RefuseAtDeadline(aPart) });
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
FingerprintGate::ReleaseLater(const std::string& aPermit, core::Duration aDelay)
{
  if (aDelay == core::Duration::zero()) {
    mHooks.releasePermit(aPermit);
    return;
  }
  mReleaseTimers[aPermit] = mTimers.Schedule(aDelay, [weak = weak_from_this(), aPermit] {
    const std::shared_ptr<FingerprintGate> self = weak.lock();
    if (self) {
      self->mReleaseTimers.erase(aPermit);
      self->mHooks.releasePermit(aPermit);
    }
  });
}

} // namespace skylarkwing::upstream
