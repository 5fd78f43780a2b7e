#include "membership/entry_lease.h"

#include "core/log.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

using store::StoreStatus;

/** Spreads the renewals of daemons that started at the same time. */
constexpr double kJitterShare = 0.1;

} // namespace

EntryLease::EntryLease(store::KeyValueStore& aStore,
                       core::TimerService& aTimers,
                       core::RandomSource& aRandom,
                       EntryLeaseSettings aSettings)
  : mStore(aStore)
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mSettings(std::move(aSettings))
{
}

core::Task<void>
EntryLease::Run()
{
  const auto self = shared_from_this();
  while (!mIsRevoked) {
    co_await Renew();
    const double jitter = mRandom.Jitter(1.0, kJitterShare);
    co_await core::Sleep(
      mTimers, std::chrono::duration_cast<core::Duration>(mSettings.renewalPeriod * jitter));
  }
}

core::Task<void>
EntryLease::Renew()
{
  if (mLease != 0 && mIsWritten) {
    const StoreStatus kept = co_await mStore.KeepLeaseAlive(mLease);
    if (kept != StoreStatus::Absent) {
      co_return;
    }
    core::LogEvent(core::LogLevel::Warning,
                   "membership",
                   "entry_lease_ended",
                   { { "lease", std::to_string(mLease) } });
    mLease = 0;
  }
  if (mLease == 0) {
    const store::LeaseGrant grant = co_await mStore.GrantLease(mSettings.ttl);
    if (grant.status != StoreStatus::Done) {
      core::LogEvent(core::LogLevel::Warning,
                     "membership",
                     "entry_lease_failed",
                     { { "status", std::string(store::NameOf(grant.status)) } });
      co_return;
    }
    mLease = grant.lease;
  }
  if (mIsRevoked) {
    co_return;
  }
  const StoreStatus put = co_await mStore.Put(mSettings.key, mSettings.value, mLease);
  mIsWritten = put == StoreStatus::Done;
  if (put == StoreStatus::Absent) {
    mLease = 0;
  }
  core::LogEvent(
    mIsWritten ? core::LogLevel::Info : core::LogLevel::Warning,
    "membership",
    "entry_written",
    { { "status", std::string(store::NameOf(put)) }, { "lease", std::to_string(mLease) } });
}

void
EntryLease::SetValue(std::string aValue)
{
  mSettings.value = std::move(aValue);
  mIsWritten = false;
}

void
EntryLease::OnStoreRestored()
{
  mLease = 0;
  mIsWritten = false;
}

core::Task<void>
EntryLease::Revoke()
{
  mIsRevoked = true;
  if (mLease != 0) {
    co_await mStore.RevokeLease(mLease);
  }
}

} // namespace skylarkwing::membership
