#include "membership/configuration_sync.h"

#include "core/log.h"
#include "membership/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

constexpr const char* kRequestKind = "configuration-request";
constexpr const char* kAnswerKind = "configuration";

/** A random delay up to this spreads fetches, so that the first daemons can serve the others. */
constexpr double kMaxFetchDelayMs = 30.0;
constexpr milliseconds kFetchTimeout{ 500 };
/** How long an invalid generation is not fetched again: its document may be large. */
constexpr std::chrono::seconds kRejectionBackoff{ 10 };
constexpr std::size_t kMaxPatches = 32;

std::optional<std::uint64_t>
ReadNumber(const nlohmann::json& aBody, const char* aKey)
{
  if (!aBody.is_object()) {
    return std::nullopt;
  }
  const auto it = aBody.find(aKey);
  if (it == aBody.end() || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  return it->get<std::uint64_t>();
}

} // namespace

ConfigurationSync::ConfigurationSync(core::TimerService& aTimers,
                                     core::RandomSource& aRandom,
                                     core::Metrics& aMetrics,
                                     MembershipService& aMembership,
                                     declaration::ConfigurationKeeper& aKeeper,
                                     ConfigurationSyncHooks aHooks)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mMembership(aMembership)
  , mKeeper(aKeeper)
  , mHooks(std::move(aHooks))
  , mFetches(aMetrics.Counter("skylarkwing_membership_configuration_fetches_total",
                              "Configurations asked for at peers."))
  , mFullAnswers(aMetrics.Counter("skylarkwing_membership_configuration_answers_total",
                                  "Configurations given to peers.",
                                  { { "form", "whole" } }))
  , mPatchAnswers(aMetrics.Counter("skylarkwing_membership_configuration_answers_total",
                                   "Configurations given to peers.",
                                   { { "form", "changes" } }))
  , mRejected(aMetrics.Counter("skylarkwing_membership_configuration_refused_total",
                               "Configurations from peers that were not understood."))
{
  if (mKeeper.InForce()) {
    SetDocument(*mKeeper.InForce());
  }
  mKeeper.Subscribe(
    [this](const declaration::Configuration& aConfiguration) { SetDocument(aConfiguration); });
  mMembership.OnHigherGeneration([this](const std::string& aVm, std::uint64_t aGeneration) {
    HandleHigherGeneration(aVm, aGeneration);
  });
  using Origin = net::PeerMessageOrigin;
  mMembership.OnMessage(kRequestKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleRequest(aOrigin, aBody);
  });
  mMembership.OnMessage(kAnswerKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleAnswer(aOrigin, aBody);
  });
}

ConfigurationSync::~ConfigurationSync()
{
  mTimers.Cancel(mFetchTimer);
}

RolloutStatus
ConfigurationSync::RolloutOf(std::uint64_t aGeneration) const
{
  RolloutStatus rollout;
  for (const auto& member : mMembership.Members()) {
    if (member.state == MemberState::Joining) {
      continue;
    }
    if (member.state == MemberState::Gone) {
      const MemberEntry* entry = mMembership.Table().Find(member.vm);
      if (!entry->hasLeft) {
        rollout.unreachable.push_back(member.vm);
      }
      continue;
    }
    ++rollout.participants;
    if (member.generation >= aGeneration) {
      ++rollout.applied;
    } else {
      rollout.outdated.push_back(member.vm);
    }
  }
  return rollout;
}

void
ConfigurationSync::SetDocument(const declaration::Configuration& aConfiguration)
{
  nlohmann::json document = mHooks.toDocument(aConfiguration);
  const std::uint64_t previous = mMembership.Self().generation;
  if (!mDocument.is_null()) {
    nlohmann::json patch = nlohmann::json::diff(mDocument, document);
    mPatches.push_back({ previous, aConfiguration.generation, std::move(patch) });
  }
  if (mPatches.size() > kMaxPatches) {
    mPatches.pop_front();
  }
  mDocument = std::move(document);
  mHash = HashOf(mDocument.dump());
  mNeedsFullDocument = false;
  mMembership.SetGeneration(aConfiguration.generation);
}

void
ConfigurationSync::HandleHigherGeneration(const std::string& aVm, std::uint64_t aGeneration)
{
  const bool isRejected = aGeneration == mRejectedGeneration && mTimers.Now() < mRejectedUntil;
  if (isRejected) {
    return;
  }
  mNewerPeers[aVm] = aGeneration;
  if (mFetchTimer == 0) {
    const double ms = mRandom.Fraction() * kMaxFetchDelayMs;
    ScheduleFetch(
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>(ms)));
  }
}

void
ConfigurationSync::ScheduleFetch(core::Duration aDelay)
{
  mTimers.Cancel(mFetchTimer);
  mFetchTimer = mTimers.Schedule(aDelay, [this] {
    mFetchTimer = 0;
    Fetch();
  });
}

void
ConfigurationSync::Fetch()
{
  const std::uint64_t own = mMembership.Self().generation;
  std::erase_if(mNewerPeers, [own](const auto& aPeer) { return aPeer.second <= own; });
  if (mNewerPeers.empty()) {
    return;
  }
  auto peer = mNewerPeers.begin();
  std::advance(peer, static_cast<std::ptrdiff_t>(mRandom.Below(mNewerPeers.size())));
  const std::string vm = peer->first;
  // A peer that does not answer is asked again only after its next heartbeat.
  mNewerPeers.erase(peer);
  mFetches.Increment();
  mMembership.Send(vm, kRequestKind, { { "have", mNeedsFullDocument ? 0 : own } });
  ScheduleFetch(kFetchTimeout);
}

void
ConfigurationSync::HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto have = ReadNumber(aBody, "have");
  const std::uint64_t own = mMembership.Self().generation;
  if (!have || *have >= own || mDocument.is_null()) {
    return;
  }
  nlohmann::json answer{ { "generation", own }, { "hash", mHash } };
  nlohmann::json patches = PatchesFrom(*have);
  if (patches.is_null()) {
    answer["document"] = mDocument;
    mFullAnswers.Increment();
  } else {
    answer["from"] = *have;
    answer["steps"] = std::move(patches);
    mPatchAnswers.Increment();
  }
  mMembership.Send(aOrigin.vm, kAnswerKind, answer);
}

nlohmann::json
ConfigurationSync::PatchesFrom(std::uint64_t aGeneration) const
{
  const auto first =
    std::find_if(mPatches.begin(), mPatches.end(), [aGeneration](const Patch& aPatch) {
      return aPatch.from == aGeneration;
    });
  if (aGeneration == 0 || first == mPatches.end()) {
    return nullptr;
  }
  auto patches = nlohmann::json::array();
  for (auto it = first; it != mPatches.end(); ++it) {
    patches.push_back(it->patch);
  }
  return patches;
}

void
ConfigurationSync::HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto generation = ReadNumber(aBody, "generation");
  const auto hash = ReadNumber(aBody, "hash");
  if (!generation || !hash || *generation <= mMembership.Self().generation) {
    return;
  }
  std::optional<nlohmann::json> document;
  if (aBody.contains("document")) {
    document = aBody["document"];
  } else if (ReadNumber(aBody, "from") == mMembership.Self().generation) {
    document = ApplyPatches(aBody.value("steps", nlohmann::json()));
  }
  const bool isIntact = document && HashOf(document->dump()) == *hash;
  if (!isIntact) {
    mNeedsFullDocument = true;
    HandleHigherGeneration(aOrigin.vm, *generation);
    return;
  }
  if (!mHooks.offer(*document, aOrigin.vm)) {
    mRejected.Increment();
    mRejectedGeneration = *generation;
    mRejectedUntil = mTimers.Now() + kRejectionBackoff;
    core::LogEvent(core::LogLevel::Error,
                   "membership",
                   "configuration_refused",
                   { { "from", aOrigin.vm }, { "generation", std::to_string(*generation) } });
    return;
  }
  if (!mNewerPeers.empty()) {
    ScheduleFetch(core::Duration::zero());
  }
}

std::optional<nlohmann::json>
ConfigurationSync::ApplyPatches(const nlohmann::json& aPatches) const
{
  if (!aPatches.is_array() || mDocument.is_null()) {
    return std::nullopt;
  }
  // nlohmann::json reports a patch that does not apply only by an exception.
  try {
    nlohmann::json document = mDocument;
    for (const auto& patch : aPatches) {
      document = document.patch(patch);
    }
    return document;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace skylarkwing::membership
