#include "membership/anti_entropy.h"

#include "membership/hash.h"
#include "membership/messages.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinPeriod{ 200 };
constexpr milliseconds kMaxPeriod{ 5000 };
/** With more new entries than this since the last run, the next one follows after kMinPeriod. */
constexpr std::size_t kManyNewEntries = 8;
constexpr std::size_t kMaxMembers = 128;
constexpr std::size_t kMaxFactBytes = std::size_t{ 16 } * 1024;

std::uint64_t
StableHashOf(const Member& aMember)
{
  // Suspicions are short-lived, so a suspect member counts as alive here.
  const bool isSuspect = aMember.state == MemberState::Suspect;
  const MemberState state = isSuspect ? MemberState::Alive : aMember.state;
  const auto process = CombineHashes(HashOf(aMember.incarnation), aMember.startOrder);
  return CombineHashes(process, static_cast<std::uint64_t>(state));
}

} // namespace

AntiEntropy::AntiEntropy(core::TimerService& aTimers,
                         core::RandomSource& aRandom,
                         const MemberTable& aMembers,
                         FactGossip& aFacts,
                         AntiEntropyHooks aHooks)
  : mMembers(aMembers)
  , mFacts(aFacts)
  , mHooks(std::move(aHooks))
  , mTimer(aTimers, aRandom)
{
}

void
AntiEntropy::Start()
{
  mPeriod = kMinPeriod;
  mTimer.Start(mPeriod, [this](core::Duration) { Run(); });
}

void
AntiEntropy::HandleMessage(const std::string& aVm, const nlohmann::json& aBody)
{
  if (!aBody.is_object()) {
    return;
  }
  if (aBody.contains("l")) {
    mNewEntries += mFacts.MergeFacts(aBody["l"]);
    return;
  }
  const auto members = Digest::FromJson(aBody.value("m", nlohmann::json()));
  const auto facts = Digest::FromJson(aBody.value("f", nlohmann::json()));
  const bool isComplete = aBody.contains("a") && aBody["a"].is_boolean();
  if (!members || !facts || !isComplete) {
    return;
  }
  const bool isSame = SummarizeMembers().Differences(*members).empty() &&
                      mFacts.Table().Summarize().Differences(*facts).empty();
  if (isSame) {
    return;
  }
  SendMembers(aVm, *members);
  SendFacts(aVm, *facts);
  if (!aBody["a"].get<bool>()) {
    SendDigests(aVm, true);
  }
}

void
AntiEntropy::Run()
{
  const bool hasManyNew = mNewEntries > kManyNewEntries;
  mNewEntries = 0;
  mPeriod =
    hasManyNew ? core::Duration(kMinPeriod) : std::min<core::Duration>(2 * mPeriod, kMaxPeriod);
  mTimer.SetPeriod(mPeriod);
  const auto peer = mHooks.randomPeer();
  if (peer) {
    SendDigests(*peer, false);
  }
}

void
AntiEntropy::SendDigests(const std::string& aVm, bool aIsAnswer)
{
  const nlohmann::json body{ { "m", SummarizeMembers().ToJson() },
                             { "f", mFacts.Table().Summarize().ToJson() },
                             { "a", aIsAnswer } };
  mHooks.send(aVm, kDigestKind, body);
}

void
AntiEntropy::SendMembers(const std::string& aVm, const Digest& aTheirs)
{
  const auto buckets = SummarizeMembers().Differences(aTheirs);
  MembersReport report{ ReportReason::AntiEntropy, {} };
  for (auto& member : mMembers.Members()) {
    const std::size_t bucket = Digest::BucketOf(member.vm);
    const bool isDifferent = std::find(buckets.begin(), buckets.end(), bucket) != buckets.end();
    const bool isConfirmed = member.state != MemberState::Joining;
    if (isDifferent && isConfirmed && report.members.size() < kMaxMembers) {
      report.members.push_back(std::move(member));
    }
  }
  if (!report.members.empty()) {
    mHooks.send(aVm, kMembersKind, MembersReportToJson(report));
  }
}

void
AntiEntropy::SendFacts(const std::string& aVm, const Digest& aTheirs)
{
  const auto buckets = mFacts.Table().Summarize().Differences(aTheirs);
  const auto facts = mFacts.Table().EntriesIn(buckets, kMaxFactBytes);
  if (!facts.empty()) {
    mHooks.send(aVm, kDigestKind, { { "l", FactsToJson(facts) } });
  }
}

Digest
AntiEntropy::SummarizeMembers() const
{
  Digest digest;
  for (const auto& member : mMembers.Members()) {
    if (member.state != MemberState::Joining) {
      digest.Add(member.vm, StableHashOf(member));
    }
  }
  return digest;
}

} // namespace skylarkwing::membership
