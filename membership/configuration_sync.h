#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/timer_service.h"
#include "declaration/configuration_keeper.h"
#include "membership/membership_service.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** Turns configurations to documents and back. */
struct ConfigurationSyncHooks
{
  /** @return a configuration as a JSON document. */
  std::function<nlohmann::json(const declaration::Configuration&)> toDocument;
  /** Checks a peer's document whole and offers it to the keeper. @return whether it was understood.
   */
  std::function<bool(const nlohmann::json& aDocument, const std::string& aVm)> offer;
};

/** At which members a generation is in force. */
struct RolloutStatus
{
  std::size_t applied = 0;
  /** Members that take part, with self. */
  std::size_t participants = 0;
  /** Members that take part and have an older one. */
  std::vector<std::string> outdated;
  /** Members that fell silent and may still be there. */
  std::vector<std::string> unreachable;
};

/**
 * Brings the newest configuration to every daemon by way of its peers.
 *
 * Heartbeats carry the generation in force. A daemon that hears of a higher one fetches it from a
 * random peer that has it, one fetch at a time; it gets the changes since its own generation, or
 * the whole document. Not thread-safe: one instance belongs to one event loop.
 */
class ConfigurationSync
{
public:
  ConfigurationSync(core::TimerService& aTimers,
                    core::RandomSource& aRandom,
                    core::Metrics& aMetrics,
                    MembershipService& aMembership,
                    declaration::ConfigurationKeeper& aKeeper,
                    ConfigurationSyncHooks aHooks);
  ConfigurationSync(const ConfigurationSync&) = delete;
  ConfigurationSync& operator=(const ConfigurationSync&) = delete;
  ~ConfigurationSync();

  /** @return where a generation or a higher one is in force, as far as is known here. */
  RolloutStatus RolloutOf(std::uint64_t aGeneration) const;

private:
  /** The change from one generation to a later one. */
  struct Step
  {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    nlohmann::json patch;
  };

  void TakeNew(const declaration::Configuration& aConfiguration);
  void HandleHigherGeneration(const std::string& aVm, std::uint64_t aGeneration);
  void ScheduleFetch(core::Duration aDelay);
  void Fetch();
  void HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  std::optional<nlohmann::json> ApplySteps(const nlohmann::json& aSteps) const;
  nlohmann::json StepsFrom(std::uint64_t aGeneration) const;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  MembershipService& mMembership;
  declaration::ConfigurationKeeper& mKeeper;
  ConfigurationSyncHooks mHooks;
  nlohmann::json mDocument;
  std::uint64_t mHash = 0;
  std::deque<Step> mSteps;
  std::map<std::string, std::uint64_t> mHigher;
  core::TimerId mFetchTimer = 0;
  std::uint64_t mRefusedGeneration = 0;
  core::TimePoint mRefusedUntil;
  /** Set when steps did not lead to the document that they should, until a whole one came. */
  bool mNeedsWhole = false;
  prometheus::Counter& mAsked;
  prometheus::Counter& mAnsweredWhole;
  prometheus::Counter& mAnsweredSteps;
  prometheus::Counter& mRefused;
};

} // namespace skylarkwing::membership
