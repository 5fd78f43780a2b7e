#pragma once

#include "core/timer_service.h"
#include "net/memory_budget.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace skylarkwing::net {

/** Memory of a connection without a request, rounded up: its task, its parser, a small buffer. */
inline constexpr std::size_t kConnectionBytes = std::size_t{ 12 } * 1024;

/** Memory of another daemon's connection that the clients of this one can't take. */
inline constexpr std::size_t kPeerConnectionBytes = std::size_t{ 64 } * 1024;

/**
 * Send buffer of a client's connection, which the kernel would let grow to 4 MB: with 200 slow
 * readers, all sockets of the machine took 185 MB, and 73 MB with this size. A VM of 200 Mbit/s and
 * a round trip of 2 ms need 50 kB.
 */
inline constexpr std::size_t kClientSendBufferBytes = std::size_t{ 128 } * 1024;

/**
 * Receive buffer of a connection: what a client sends while nothing is read of it. The kernel takes
 * twice the size for its own use, and would let it grow to 6 MB.
 */
inline constexpr std::size_t kClientReceiveBufferBytes = std::size_t{ 32 } * 1024;

/** How long the request of a refused client is awaited, so that it can tell what is refused. */
inline constexpr core::Duration kClientRefusalWait = std::chrono::milliseconds{ 20 };

/** How many connections a process accepts, and how much memory its clients get. */
struct ConnectionLimits
{
  /** Connections of callers, of other daemons, to the directory and to the readiness check. */
  std::size_t callers = 4096;
  std::size_t peers = 4096;
  std::size_t directory = 4096;
  std::size_t readiness = 4096;
  /** Size of the memory budget for clients; 0 for none. */
  std::size_t clientBytes = 0;
  /** Whether the limits come from the resources of the process. */
  bool isDerived = false;
};

/**
 * Divides the resources of a process.
 *
 * Of the descriptors, 200 are for files. Of the rest, callers get 10 of 16 parts, other daemons 2,
 * the directory 1 and the readiness check up to 32 descriptors; at least 2 parts are left for the
 * store and the replicas. Idle connections of callers take at most half of the memory for clients;
 * what the connections of other daemons take without being counted is at most as much again.
 *
 * @param aMemoryBytes memory of the process.
 * @param aDescriptors number of descriptors that the process may have open.
 */
ConnectionLimits
DeriveConnectionLimits(std::size_t aMemoryBytes, std::size_t aDescriptors);

/** @return the budget for the memory of clients; null if there is no limit. */
std::shared_ptr<MemoryBudget>
MakeBudget(const ConnectionLimits& aLimits);

} // namespace skylarkwing::net
