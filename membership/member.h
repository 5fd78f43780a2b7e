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
