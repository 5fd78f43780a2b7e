#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwing::membership {

/** Up to this many members, including self, all send their heartbeats to each other. */
constexpr std::size_t kMaxFullMeshMembers = 8;

/** The number of monitors that receive a member's heartbeats when there is no full mesh. */
constexpr std::size_t kMonitorCount = 7;

/**
 * The members in an order that all daemons share, which determines the monitors of each member.
 *
 * Members are ordered by hash, so that a member's monitors are spread over failure domains.
 */
class PeerRing
{
public:
  /** Replaces the members; aVms may include self. */
  void Assign(const std::vector<std::string>& aVms, const std::string& aSelf);

  /** @return the members that receive self's heartbeats. */
  const std::vector<std::string>& Monitors() const { return mMonitors; }

  /** @return all members except self, in ring order starting after self. */
  const std::vector<std::string>& Peers() const { return mPeers; }

  /** @return whether every member sends its heartbeats to every other. */
  bool IsFullMesh() const { return mPeers.size() < kMaxFullMeshMembers; }

private:
  std::vector<std::string> mPeers;
  std::vector<std::string> mMonitors;
};

} // namespace skylarkwing::membership
