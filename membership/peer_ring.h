#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwing::membership {

/** Up to this many members, every member sends its heartbeats to every other. */
constexpr std::size_t kMaxFullMeshMembers = 8;

/** Beyond that, how many members receive one member's heartbeats. */
constexpr std::size_t kMonitorCount = 7;

/**
 * The members in an order that all daemons share, which decides who watches whom.
 *
 * The order is by hash, so that the monitors of one member are spread over failure domains.
 */
class PeerRing
{
public:
  /** Replaces the members; self may be among them. */
  void Assign(const std::vector<std::string>& aVms, const std::string& aSelf);

  /** @return the members that receive self's heartbeats. */
  const std::vector<std::string>& Monitors() const { return mMonitors; }

  /** @return all members but self, in the ring's order from self on. */
  const std::vector<std::string>& Peers() const { return mPeers; }

  /** @return whether every member hears every other directly. */
  bool IsFullMesh() const { return mPeers.size() < kMaxFullMeshMembers; }

private:
  std::vector<std::string> mPeers;
  std::vector<std::string> mMonitors;
};

} // namespace skylarkwing::membership
