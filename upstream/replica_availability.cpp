#include "upstream/replica_availability.h"

#include "core/name_table.h"

#include <algorithm>
#include <limits>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<AvailabilityChange, 3> kChangeNames{ { "none", "leaving", "resting" } };

constexpr std::size_t kRampStartInFlight = 1;

} // namespace

std::string_view
NameOf(AvailabilityChange aChange)
{
  return kChangeNames.NameOf(aChange);
}

AvailabilityChange
ReplicaAvailability::Apply(const ReplicaNotice& aNotice, double aJitter, core::TimePoint aNow)
{
  AvailabilityChange change = AvailabilityChange::None;
  if (aNotice.backoff && *aNotice.backoff > core::Duration::zero()) {
    const core::Duration backoff = std::min<core::Duration>(*aNotice.backoff, kMaxBackoff);
    const auto jitter =
      std::chrono::duration_cast<core::Duration>(backoff * kBackoffJitter * aJitter);
    change = IsBackingOff(aNow) ? AvailabilityChange::None : AvailabilityChange::Backoff;
    mBackoffEnd = std::max(mBackoffEnd, aNow + backoff + jitter);
    mRampLimit = kRampStartInFlight;
  }
  if (aNotice.isLeaving && !mIsLeaving) {
    mIsLeaving = true;
    change = AvailabilityChange::Leaving;
  }
  return change;
}

void
ReplicaAvailability::RecordAnswer(core::TimePoint aNow)
{
  // Answers to requests sent before the backoff say nothing about the time after it.
  if (!mRampLimit || IsBackingOff(aNow)) {
    return;
  }
  *mRampLimit *= 2;
  if (*mRampLimit >= kRampEndInFlight) {
    mRampLimit.reset();
  }
}

std::size_t
ReplicaAvailability::MaxInFlight(core::TimePoint aNow) const
{
  if (mIsLeaving || IsBackingOff(aNow)) {
    return 0;
  }
  return mRampLimit.value_or(std::numeric_limits<std::size_t>::max());
}

void
RemovedReplicas::Keep(const AnnouncedReplica& aReplica,
                      const ReplicaAvailability& aAvailability,
                      core::TimePoint aNow)
{
  if (!aAvailability.IsLeaving() && !aAvailability.IsBackingOff(aNow) &&
      !aAvailability.RateLimit().MaxRate()) {
    return;
  }
  const auto known = mRemoved.find(aReplica.id);
  if (known != mRemoved.end()) {
    Erase(known);
  }
  mRemoved.emplace(aReplica.id, RemovedReplica{ aReplica, aAvailability, ++mLastOrder });
  mByOrder.emplace(mLastOrder, aReplica.id);
  if (mRemoved.size() > kMaxReplicas) {
    Erase(mRemoved.find(mByOrder.begin()->second));
  }
}

ReplicaAvailability
RemovedReplicas::Take(const AnnouncedReplica& aReplica)
{
  const auto it = mRemoved.find(aReplica.id);
  if (it == mRemoved.end()) {
    return {};
  }
  const bool isNewer = IsNewerProcess(aReplica, it->second.replica);
  const ReplicaAvailability availability = it->second.availability;
  Erase(it);
  return isNewer ? ReplicaAvailability() : availability;
}

void
RemovedReplicas::Erase(std::map<std::string, RemovedReplica>::iterator aEntry)
{
  mByOrder.erase(aEntry->second.order);
  mRemoved.erase(aEntry);
}

} // namespace skylarkwing::upstream
