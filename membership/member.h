#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkwing::membership {

/** Whether a VM's daemon takes part. */
enum class MemberState
{
  /** Heard of, and not yet heard. */
  Joining,
  Alive,
  /** Silent for longer than heartbeats explain. */
  Suspect,
  /** It said that it is stopping: it finishes its work and takes no more. */
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
  /** Tells two processes at the same address apart. */
  std::string incarnation;
  /**
   * Orders the incarnations of one VM: the time of the process's start, in ms since the Unix epoch,
   * raised above that of any earlier incarnation that it hears of.
   */
  std::uint64_t startOrder = 0;
  /** Counts the process's heartbeats; the higher of two reports about it is the newer. */
  std::uint64_t heartbeatCount = 0;
  std::string failureDomain;
  std::string region;
  /** "IP:port" for callers. */
  std::string callerAddress;
  /** "IP:port" for other daemons. */
  std::string peerAddress;
  MemberState state = MemberState::Joining;
  /** The configuration in force there. */
  std::uint64_t generation = 0;
  /** How busy it is, 0 to 1; entry points leave out the busiest. */
  double load = 0.0;
  /** Counts up slowly; part of the request identities that it hands out now. */
  std::uint64_t identityEpoch = 0;
};

} // namespace skylarkwing::membership
