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

/** What comparisons need from their daemon. */
struct AntiEntropyHooks
{
  /** A random peer, or nothing when there is none. */
  std::function<std::optional<std::string>()> randomPeer;
  std::function<void(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)>
    send;
};

/**
 * Repairs what messages that were lost left out: now and then compares all that this daemon knows
 * with what one random peer knows, by digests, and exchanges the parts that differ.
 *
 * A comparison that brings much is followed by another one soon; otherwise they get seldom. Not
 * thread-safe: one instance belongs to one event loop.
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

  /** Compares with one peer now. */
  void Begin(const std::string& aVm) { SendDigests(aVm, false); }

  /** Takes a peer's message of kind kDigestKind. */
  void Hear(const std::string& aVm, const nlohmann::json& aBody);

  /** Counts a member about whom a comparison brought something new. */
  void CountNewMember() { ++mNew; }

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
  std::size_t mNew = 0;
};

} // namespace skylarkwing::membership
