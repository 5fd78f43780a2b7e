#include "membership/connectivity_monitor.h"

#include "core/log.h"
#include "core/name_table.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

constexpr core::NameTable<Connectivity, 4> kConnectivityNames{
  { "store", "peers", "minority", "nobody" }
};

/** How long a confirmation by the store lasts. */
constexpr milliseconds kStoreConfirmation{ 3000 };

/**
 * How long the agreement of a majority lasts. Members turn suspect a second after they were heard
 * last, so that new work ends within three seconds of it.
 */
constexpr milliseconds kMajorityAgreement{ 1500 };

} // namespace

std::string_view
NameOf(Connectivity aConnectivity)
{
  return kConnectivityNames.NameOf(aConnectivity);
}

ConnectivityMonitor::ConnectivityMonitor(core::TimerService& aTimers,
                                         core::Metrics& aMetrics,
                                         MembershipService& aMembership,
                                         ConnectivityHooks aHooks)
  : mTimers(aTimers)
  , mMembership(aMembership)
  , mHooks(std::move(aHooks))
  , mMayTakeNewWork(aMetrics.Gauge("skylarkwing_membership_may_take_new_work",
                                   "1 while this daemon may begin new work."))
  , mChanges(aMetrics.Counter("skylarkwing_membership_contact_changes_total",
                              "Changes between reaching the store, peers, few or nobody."))
{
  mMembership.OnEvaluated([this] { Evaluate(); });
}

bool
ConnectivityMonitor::MayTakeNewWork() const
{
  if (mMembership.IsSuperseded()) {
    return false;
  }
  const bool isMajorityRecent =
    mMajorityAt && mTimers.Now() - *mMajorityAt <= core::Duration(kMajorityAgreement);
  return isMajorityRecent || IsStoreRecent();
}

bool
ConnectivityMonitor::NeedsStore() const
{
  return !mMajorityAt || mTimers.Now() - *mMajorityAt > core::Duration(kMajorityAgreement) / 3;
}

void
ConnectivityMonitor::Evaluate()
{
  // After a pause of its own the table shows a time that is over.
  if (!mMembership.IsRecovering() && IsMajorityAgreed()) {
    mMajorityAt = mTimers.Now();
  }
  mMayTakeNewWork.Set(MayTakeNewWork() ? 1.0 : 0.0);
  const Connectivity contact = Choose();
  if (contact == mConnectivity) {
    return;
  }
  mChanges.Increment();
  const bool wasReached =
    mConnectivity == Connectivity::Store || mConnectivity == Connectivity::Peers;
  const bool isCutOff =
    wasReached && (contact == Connectivity::Minority || contact == Connectivity::None);
  core::LogEvent(
    isCutOff ? core::LogLevel::Error : core::LogLevel::Info,
    "membership",
    "contact_changed",
    { { "from", std::string(NameOf(mConnectivity)) }, { "to", std::string(NameOf(contact)) } });
  mConnectivity = contact;
}

bool
ConnectivityMonitor::IsMajorityAgreed() const
{
  const MemberCounts& counts = mMembership.Table().Counts();
  // In a fleet most members are known by hearsay only, and hearsay says nothing when it stops; the
  // heartbeats that come here are the sample that shows it.
  const std::size_t sample = std::min(counts.known, kMonitorCount + 1);
  return 2 * counts.agreeing > counts.known && 2 * counts.heard > sample;
}

bool
ConnectivityMonitor::IsAnyoneHeard() const
{
  const auto& byState = mMembership.Table().Counts().byState;
  const std::size_t alive = byState[static_cast<std::size_t>(MemberState::Alive)];
  const std::size_t leaving = byState[static_cast<std::size_t>(MemberState::Leaving)];
  return alive + leaving > 1;
}

bool
ConnectivityMonitor::IsStoreRecent() const
{
  const auto confirmed = mHooks.storeConfirmedAt ? mHooks.storeConfirmedAt() : std::nullopt;
  return confirmed && mTimers.Now() - *confirmed <= core::Duration(kStoreConfirmation);
}

Connectivity
ConnectivityMonitor::Choose() const
{
  if (IsStoreRecent()) {
    return Connectivity::Store;
  }
  const bool isMajorityRecent =
    mMajorityAt && mTimers.Now() - *mMajorityAt <= core::Duration(kMajorityAgreement);
  if (isMajorityRecent) {
    return Connectivity::Peers;
  }
  return IsAnyoneHeard() ? Connectivity::Minority : Connectivity::None;
}

} // namespace skylarkwing::membership
