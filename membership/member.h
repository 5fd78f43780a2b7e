#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkwing::membership {

/** The state of a VM's daemon as another daemon knows it. */
enum class MemberState
{
  /** Known from the VM list, but not heard from yet. */
  Joining,
  Alive,
  /** No sign of life for longer than its silence timeout. */
  Suspect,
  /** It announced that it is stopping: it finishes its work and accepts no more. */
  Leaving,
  Gone,
};

/** @return the name of a state, for messages, logs and screens. */
std::string_view
NameOf(MemberState aState);

/** One VM's daemon. */
struct Member
{
  std::string vm;
  /** Identifies the process, since processes may follow one another at the same address. */
  std::string incarnation;
  /**
   * Orders the incarnations of one VM: the start time of the process, in ms since the Unix epoch,
   * raised above that of any earlier incarnation that it learns of.
   */
  std::uint64_t startOrder = 0;
  /** Number of heartbeats of the process; of two reports, the one with the higher count is newer.
   */
  std::uint64_t heartbeatCount = 0;
  std::string failureDomain;
  std::string region;
  /** "IP:port" for callers. */
  std::string callerAddress;
  /** "IP:port" for other daemons. */
  std::string peerAddress;
  MemberState state = MemberState::Joining;
  /** The configuration generation in force there. */
  std::uint64_t generation = 0;
  /** Load from 0 to 1; the selection of entry points leaves out the most loaded members. */
  double load = 0.0;
  /** Increases slowly; part of the request identities that the member issues now. */
  std::uint64_t identityEpoch = 0;
};

} // namespace skylarkwing::membership
