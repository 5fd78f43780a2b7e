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

/** Spreads the fetches, so that those who have it first can serve those who come later. */
constexpr double kLongestFetchDelayMs = 30.0;
constexpr milliseconds kFetchTimeout{ 500 };
/** How long a generation that was not understood is left alone: its document may be large. */
constexpr std::chrono::seconds kRefusalMemory{ 10 };
constexpr std::size_t kKeptSteps = 32;

std::optional<std::uint64_t>
NumberIn(const nlohmann::json& aBody, const char* aKey)
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
  , mAsked(aMetrics.Counter("skylarkwing_membership_configuration_fetches_total",
                            "Configurations asked for at peers."))
  , mAnsweredWhole(aMetrics.Counter("skylarkwing_membership_configuration_answers_total",
                                    "Configurations given to peers.",
                                    { { "form", "whole" } }))
  , mAnsweredSteps(aMetrics.Counter("skylarkwing_membership_configuration_answers_total",
                                    "Configurations given to peers.",
                                    { { "form", "changes" } }))
  , mRefused(aMetrics.Counter("skylarkwing_membership_configuration_refused_total",
                              "Configurations from peers that were not understood."))
{
  if (mKeeper.InForce()) {
    TakeNew(*mKeeper.InForce());
  }
  mKeeper.Subscribe(
    [this](const declaration::Configuration& aConfiguration) { TakeNew(aConfiguration); });
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
ConfigurationSync::TakeNew(const declaration::Configuration& aConfiguration)
{
  nlohmann::json document = mHooks.toDocument(aConfiguration);
  const std::uint64_t before = mMembership.Self().generation;
  if (!mDocument.is_null()) {
    nlohmann::json patch = nlohmann::json::diff(mDocument, document);
    mSteps.push_back({ before, aConfiguration.generation, std::move(patch) });
  }
  if (mSteps.size() > kKeptSteps) {
    mSteps.pop_front();
  }
  mDocument = std::move(document);
  mHash = HashOf(mDocument.dump());
  mNeedsWhole = false;
  mMembership.SetGeneration(aConfiguration.generation);
}

void
ConfigurationSync::HandleHigherGeneration(const std::string& aVm, std::uint64_t aGeneration)
{
  const bool isRefused = aGeneration == mRefusedGeneration && mTimers.Now() < mRefusedUntil;
  if (isRefused) {
    return;
  }
  mHigher[aVm] = aGeneration;
  if (mFetchTimer == 0) {
    const double ms = mRandom.Fraction() * kLongestFetchDelayMs;
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
  std::erase_if(mHigher, [own](const auto& aPeer) { return aPeer.second <= own; });
  if (mHigher.empty()) {
    return;
  }
  auto peer = mHigher.begin();
  std::advance(peer, static_cast<std::ptrdiff_t>(mRandom.Below(mHigher.size())));
  const std::string vm = peer->first;
  // Whoever does not answer is asked again only after it was heard again.
  mHigher.erase(peer);
  mAsked.Increment();
  mMembership.Send(vm, kRequestKind, { { "have", mNeedsWhole ? 0 : own } });
  ScheduleFetch(kFetchTimeout);
}

void
ConfigurationSync::HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto have = NumberIn(aBody, "have");
  const std::uint64_t own = mMembership.Self().generation;
  if (!have || *have >= own || mDocument.is_null()) {
    return;
  }
  nlohmann::json answer{ { "generation", own }, { "hash", mHash } };
  nlohmann::json steps = StepsFrom(*have);
  if (steps.is_null()) {
    answer["document"] = mDocument;
    mAnsweredWhole.Increment();
  } else {
    answer["from"] = *have;
    answer["steps"] = std::move(steps);
    mAnsweredSteps.Increment();
  }
  mMembership.Send(aOrigin.vm, kAnswerKind, answer);
}

nlohmann::json
ConfigurationSync::StepsFrom(std::uint64_t aGeneration) const
{
  const auto first = std::find_if(mSteps.begin(), mSteps.end(), [aGeneration](const Step& aStep) {
    return aStep.from == aGeneration;
  });
  if (aGeneration == 0 || first == mSteps.end()) {
    return nullptr;
  }
  auto steps = nlohmann::json::array();
  for (auto it = first; it != mSteps.end(); ++it) {
    steps.push_back(it->patch);
  }
  return steps;
}

void
ConfigurationSync::HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto generation = NumberIn(aBody, "generation");
  const auto hash = NumberIn(aBody, "hash");
  if (!generation || !hash || *generation <= mMembership.Self().generation) {
    return;
  }
  std::optional<nlohmann::json> document;
  if (aBody.contains("document")) {
    document = aBody["document"];
  } else if (NumberIn(aBody, "from") == mMembership.Self().generation) {
    document = ApplySteps(aBody.value("steps", nlohmann::json()));
  }
  const bool isWhole = document && HashOf(document->dump()) == *hash;
  if (!isWhole) {
    mNeedsWhole = true;
    HandleHigherGeneration(aOrigin.vm, *generation);
    return;
  }
  if (!mHooks.offer(*document, aOrigin.vm)) {
    mRefused.Increment();
    mRefusedGeneration = *generation;
    mRefusedUntil = mTimers.Now() + kRefusalMemory;
    core::LogEvent(core::LogLevel::Error,
                   "membership",
                   "configuration_refused",
                   { { "from", aOrigin.vm }, { "generation", std::to_string(*generation) } });
    return;
  }
  if (!mHigher.empty()) {
    ScheduleFetch(core::Duration::zero());
  }
}

std::optional<nlohmann::json>
ConfigurationSync::ApplySteps(const nlohmann::json& aSteps) const
{
  if (!aSteps.is_array() || mDocument.is_null()) {
    return std::nullopt;
  }
  // The library reports a patch that does not fit by an exception only.
  try {
    nlohmann::json document = mDocument;
    for (const auto& step : aSteps) {
      document = document.patch(step);
    }
    return document;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace skylarkwing::membership
