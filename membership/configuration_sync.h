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

/** Conversion between configurations and their JSON documents. */
struct ConfigurationSyncHooks
{
  /** @return a configuration as a JSON document. */
  std::function<nlohmann::json(const declaration::Configuration&)> toDocument;
  /** Validates a peer's document and offers it to the keeper. @return whether it was valid. */
  std::function<bool(const nlohmann::json& aDocument, const std::string& aVm)> offer;
};

/** Which members have a generation in force. */
struct RolloutStatus
{
  /** Participants that have this generation or a higher one. */
  std::size_t applied = 0;
  /** Members that are neither joining nor gone, including self. */
  std::size_t participants = 0;
  /** Participants that have an older generation. */
  std::vector<std::string> outdated;
  /** Members considered gone that did not announce that they were leaving. */
  std::vector<std::string> unreachable;
};

/**
 * Fetches the newest configuration from peers and serves it to them.
 *
 * Heartbeats carry the generation in force. A daemon that learns of a higher one fetches it from a
 * random peer that has it, one fetch at a time. The answer has JSON patches from the requester's
 * generation, or the full document. Not thread-safe: one instance belongs to one event loop.
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

  /** @return which members have a generation or a higher one in force, as known to this daemon. */
  RolloutStatus RolloutOf(std::uint64_t aGeneration) const;

private:
  /** The JSON patch from one generation to a later one. */
  struct Patch
  {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    nlohmann::json patch;
  };

  void SetDocument(const declaration::Configuration& aConfiguration);
  void HandleHigherGeneration(const std::string& aVm, std::uint64_t aGeneration);
  void ScheduleFetch(core::Duration aDelay);
  void Fetch();
  void HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  std::optional<nlohmann::json> ApplyPatches(const nlohmann::json& aPatches) const;
  nlohmann::json PatchesFrom(std::uint64_t aGeneration) const;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  MembershipService& mMembership;
  declaration::ConfigurationKeeper& mKeeper;
  ConfigurationSyncHooks mHooks;
  nlohmann::json mDocument;
  std::uint64_t mHash = 0;
  std::deque<Patch> mPatches;
  /** Peers that announced a higher generation, by VM. */
  std::map<std::string, std::uint64_t> mNewerPeers;
  core::TimerId mFetchTimer = 0;
  /** The last generation whose document was invalid, and until when it is not fetched again. */
  std::uint64_t mRejectedGeneration = 0;
  core::TimePoint mRejectedUntil;
  /** Set when patches led to a document with the wrong hash, until a full document arrives. */
  bool mNeedsFullDocument = false;
  prometheus::Counter& mFetches;
  prometheus::Counter& mFullAnswers;
  prometheus::Counter& mPatchAnswers;
  prometheus::Counter& mRejected;
};

} // namespace skylarkwing::membership
