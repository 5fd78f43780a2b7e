#include "upstream/replica_standing.h"

#include "core/name_table.h"

#include <algorithm>
#include <limits>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<StandingChange, 3> kChangeNames{ { "none", "leaving", "resting" } };

constexpr std::size_t kFirstReturn = 1;

} // namespace

std::string_view
NameOf(StandingChange aChange)
{
  return kChangeNames.NameOf(aChange);
}

StandingChange
ReplicaStanding::Take(const ReplicaNotice& aNotice, double aSpread, core::TimePoint aNow)
{
  StandingChange change = StandingChange::None;
  if (aNotice.rest && *aNotice.rest > core::Duration::zero()) {
    const core::Duration rest = std::min<core::Duration>(*aNotice.rest, kMostRest);
    const auto longer = std::chrono::duration_cast<core::Duration>(rest * kReturnSpread * aSpread);
    change = IsResting(aNow) ? StandingChange::None : StandingChange::Resting;
    mRestEnd = std::max(mRestEnd, aNow + rest + longer);
    mReturnRoom = kFirstReturn;
  }
  if (aNotice.isLeaving && !mIsLeaving) {
    mIsLeaving = true;
    change = StandingChange::Leaving;
  }
  return change;
}

void
ReplicaStanding::RecordAnswer(core::TimePoint aNow)
{
  // Answers to requests that were sent before the rest say nothing of the time after it.
  if (!mReturnRoom || IsResting(aNow)) {
    return;
  }
  *mReturnRoom *= 2;
  if (*mReturnRoom >= kFullReturn) {
    mReturnRoom.reset();
  }
}

std::size_t
ReplicaStanding::MostInFlight(core::TimePoint aNow) const
{
  if (mIsLeaving || IsResting(aNow)) {
    return 0;
  }
  return mReturnRoom.value_or(std::numeric_limits<std::size_t>::max());
}

void
FormerStandings::Keep(const AnnouncedReplica& aReplica,
                      const ReplicaStanding& aStanding,
                      core::TimePoint aNow)
{
  if (!aStanding.IsLeaving() && !aStanding.IsResting(aNow)) {
    return;
  }
  const auto known = mFormer.find(aReplica.id);
  if (known != mFormer.end()) {
    Erase(known);
  }
  mFormer.emplace(aReplica.id, Former{ aReplica, aStanding, ++mLastOrder });
  mByOrder.emplace(mLastOrder, aReplica.id);
  if (mFormer.size() > kMostReplicas) {
    Erase(mFormer.find(mByOrder.begin()->second));
  }
}

ReplicaStanding
FormerStandings::Take(const AnnouncedReplica& aReplica)
{
  const auto it = mFormer.find(aReplica.id);
  if (it == mFormer.end()) {
    return {};
  }
  const bool isNewer = IsNewerProcess(aReplica, it->second.replica);
  const ReplicaStanding standing = it->second.standing;
  Erase(it);
  return isNewer ? ReplicaStanding() : standing;
}

void
FormerStandings::Erase(std::map<std::string, Former>::iterator aFormer)
{
  mByOrder.erase(aFormer->second.order);
  mFormer.erase(aFormer);
}

} // namespace skylarkwing::upstream
