#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"
#include "membership/digest.h"
#include "membership/fact_gossip.h"
#include "membership/member_table.h"
#include "membership/periodic_timer.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::membership {

/** Access to the peers for AntiEntropy. */
struct AntiEntropyHooks
{
  /** @return a random peer, or nothing when there is none. */
  std::function<std::optional<std::string>()> randomPeer;
  std::function<void(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)>
    send;
};

/**
 * Repairs what lost messages left out: periodically compares digests of all members and facts with
 * one random peer, and exchanges the entries of the buckets that differ.
 *
 * The period is short while exchanges bring many new entries, and doubles up to a maximum
 * otherwise. Not thread-safe: one instance belongs to one event loop.
 */
class AntiEntropy
{
public:
  AntiEntropy(core::TimerService& aTimers,
              core::RandomSource& aRandom,
              const MemberTable& aMembers,
              FactGossip& aFacts,
              AntiEntropyHooks aHooks);
  AntiEntropy(const AntiEntropy&) = delete;
  AntiEntropy& operator=(const AntiEntropy&) = delete;

  void Start();
  void Stop() { mTimer.Stop(); }

  /** Starts an exchange with a peer at once. */
  void ExchangeWith(const std::string& aVm) { SendDigests(aVm, false); }

  /** Handles a peer's message of kind kDigestKind. */
  void HandleMessage(const std::string& aVm, const nlohmann::json& aBody);

  /** Counts a member about whom an exchange brought something new. */
  void CountNewMember() { ++mNewEntries; }

private:
  void Run();
  void SendDigests(const std::string& aVm, bool aIsAnswer);
  void SendMembers(const std::string& aVm, const Digest& aTheirs);
  void SendFacts(const std::string& aVm, const Digest& aTheirs);
  Digest SummarizeMembers() const;

  const MemberTable& mMembers;
  FactGossip& mFacts;
  AntiEntropyHooks mHooks;
  PeriodicTimer mTimer;
  core::Duration mPeriod{};
  /** New members and facts since the last run. */
  std::size_t mNewEntries = 0;
};

} // namespace skylarkwing::membership
