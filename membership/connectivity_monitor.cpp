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

/** How long a confirmation by the store is valid. */
constexpr milliseconds kStoreConfirmationTtl{ 3000 };

/**
 * How long a majority is valid. Members become suspect a second after their last heartbeat, so new
 * work ends within three seconds of it.
 */
constexpr milliseconds kMajorityTtl{ 1500 };

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
    mMajorityAt && mTimers.Now() - *mMajorityAt <= core::Duration(kMajorityTtl);
  return isMajorityRecent || IsStoreRecent();
}

bool
ConnectivityMonitor::NeedsStore() const
{
  return !mMajorityAt || mTimers.Now() - *mMajorityAt > core::Duration(kMajorityTtl) / 3;
}

void
ConnectivityMonitor::Evaluate()
{
  // After a pause of this process the member table is outdated.
  if (!mMembership.IsRecovering() && HasMajority()) {
    mMajorityAt = mTimers.Now();
  }
  mMayTakeNewWork.Set(MayTakeNewWork() ? 1.0 : 0.0);
  const Connectivity connectivity = Determine();
  if (connectivity == mConnectivity) {
    return;
  }
  mChanges.Increment();
  const bool wasConnected =
    mConnectivity == Connectivity::Store || mConnectivity == Connectivity::Peers;
  const bool isCutOff =
    wasConnected && (connectivity == Connectivity::Minority || connectivity == Connectivity::None);
  core::LogEvent(isCutOff ? core::LogLevel::Error : core::LogLevel::Info,
                 "membership",
                 "contact_changed",
                 { { "from", std::string(NameOf(mConnectivity)) },
                   { "to", std::string(NameOf(connectivity)) } });
  mConnectivity = connectivity;
}

bool
ConnectivityMonitor::HasMajority() const
{
  const MemberCounts& counts = mMembership.Table().Counts();
  // In a large fleet most members are known only from reports of others, whose absence proves
  // nothing. The members that send their heartbeats to this daemon are a sample that shows a cut.
  const std::size_t sample = std::min(counts.expected, kMonitorCount + 1);
  return 2 * counts.agreeing > counts.expected && 2 * counts.heardDirectly > sample;
}

bool
ConnectivityMonitor::HasHeardAnyone() const
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
  return confirmed && mTimers.Now() - *confirmed <= core::Duration(kStoreConfirmationTtl);
}

Connectivity
ConnectivityMonitor::Determine() const
{
  if (IsStoreRecent()) {
    return Connectivity::Store;
  }
  const bool isMajorityRecent =
    mMajorityAt && mTimers.Now() - *mMajorityAt <= core::Duration(kMajorityTtl);
  if (isMajorityRecent) {
    return Connectivity::Peers;
  }
  return HasHeardAnyone() ? Connectivity::Minority : Connectivity::None;
}

} // namespace skylarkwing::membership
