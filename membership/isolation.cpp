#include "membership/isolation.h"

#include "core/log.h"
#include "core/name_table.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

constexpr core::NameTable<Contact, 4> kContactNames{ { "store", "peers", "minority", "nobody" } };

/** How long a confirmation by the store lasts. */
constexpr milliseconds kStoreConfirmation{ 3000 };

/**
 * How long the agreement of a majority lasts. Members turn suspect a second after they were heard
 * last, so that new work ends within three seconds of it.
 */
constexpr milliseconds kMajorityAgreement{ 1500 };

/** A heartbeat that arrived within this time shows that its sender is heard. */
constexpr milliseconds kFreshness{ 1000 };

} // namespace

std::string_view
NameOf(Contact aContact)
{
  return kContactNames.NameOf(aContact);
}

Isolation::Isolation(core::TimerService& aTimers,
                     core::Metrics& aMetrics,
                     MembershipService& aMembership,
                     IsolationHooks aHooks)
  : mTimers(aTimers)
  , mMembership(aMembership)
  , mHooks(std::move(aHooks))
  , mMayTake(aMetrics.Gauge("skylarkwing_membership_may_take_new_work",
                            "1 while this daemon may begin new work."))
  , mChanges(aMetrics.Counter("skylarkwing_membership_contact_changes_total",
                              "Changes between reaching the store, peers, few or nobody."))
{
  mMembership.OnJudged([this] { Judge(); });
}

bool
Isolation::MayTakeNewWork() const
{
  if (mMembership.IsSuperseded()) {
    return false;
  }
  const bool isMajorityRecent =
    mMajorityAt && mTimers.Now() - *mMajorityAt <= core::Duration(kMajorityAgreement);
  return isMajorityRecent || IsStoreRecent();
}

void
Isolation::Judge()
{
  // After a pause of its own the table shows a time that is over.
  if (!mMembership.IsRelearning() && IsMajorityAgreed()) {
    mMajorityAt = mTimers.Now();
  }
  mMayTake.Set(MayTakeNewWork() ? 1.0 : 0.0);
  const Contact contact = Choose();
  if (contact == mContact) {
    return;
  }
  mChanges.Increment();
  const bool wasReached = mContact == Contact::Store || mContact == Contact::Peers;
  const bool isCutOff = wasReached && (contact == Contact::Minority || contact == Contact::Nobody);
  core::LogChange(
    isCutOff ? core::LogLevel::Error : core::LogLevel::Info,
    "membership",
    "contact_changed",
    { { "from", std::string(NameOf(mContact)) }, { "to", std::string(NameOf(contact)) } });
  mContact = contact;
}

bool
Isolation::IsMajorityAgreed() const
{
  const MemberTable& table = mMembership.Table();
  std::size_t agreeing = 1;
  std::size_t heard = 1;
  for (const auto& [vm, entry] : table.Entries()) {
    const bool isFresh =
      entry.heardDirectly && mTimers.Now() - *entry.heardDirectly < core::Duration(kFreshness);
    heard += isFresh ? 1 : 0;
    const MemberState state = entry.member.state;
    const bool isHeard = state == MemberState::Alive || state == MemberState::Leaving;
    agreeing += isHeard && entry.member.generation <= table.Self().generation ? 1 : 0;
  }
  // In a fleet most members are known by hearsay only, and hearsay says nothing when it stops; the
  // heartbeats that come here are the sample that shows it.
  const std::size_t sample = std::min(table.KnownCount(), kMonitors + 1);
  return 2 * agreeing > table.KnownCount() && 2 * heard > sample;
}

bool
Isolation::IsAnyoneHeard() const
{
  const auto& entries = mMembership.Table().Entries();
  return std::any_of(entries.begin(), entries.end(), [](const auto& aEntry) {
    const MemberState state = aEntry.second.member.state;
    return state == MemberState::Alive || state == MemberState::Leaving;
  });
}

bool
Isolation::IsStoreRecent() const
{
  const auto confirmed = mHooks.storeConfirmedAt ? mHooks.storeConfirmedAt() : std::nullopt;
  return confirmed && mTimers.Now() - *confirmed <= core::Duration(kStoreConfirmation);
}

Contact
Isolation::Choose() const
{
  if (IsStoreRecent()) {
    return Contact::Store;
  }
  const bool isMajorityRecent =
    mMajorityAt && mTimers.Now() - *mMajorityAt <= core::Duration(kMajorityAgreement);
  if (isMajorityRecent) {
    return Contact::Peers;
  }
  return IsAnyoneHeard() ? Contact::Minority : Contact::Nobody;
}

} // namespace skylarkwing::membership
