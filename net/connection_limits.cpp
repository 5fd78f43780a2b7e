#include "net/connection_limits.h"

#include <algorithm>

namespace skylarkwing::net {

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;

/** Descriptors of the platform's files and of what libraries open. */
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kParts = 16;
constexpr std::size_t kCallerParts = 10;
constexpr std::size_t kPeerParts = 2;
constexpr std::size_t kMaxReadiness = 32;
constexpr std::size_t kMinConnections = 2;

/** Memory of a process without clients: 15 to 20 MB measured, and what its own calls need. */
constexpr std::size_t kOwnBytes = 24 * kMegabyte;

/** The budget of a process that has hardly more memory than it needs itself. */
constexpr std::size_t kMinClientBytes = 2 * kMegabyte;

} // namespace

ConnectionLimits
DeriveConnectionLimits(std::size_t aMemoryBytes, std::size_t aDescriptors)
{
  ConnectionLimits limits;
  limits.isDerived = true;
  const std::size_t sockets = aDescriptors > kFileDescriptors ? aDescriptors - kFileDescriptors : 0;
  const auto share = [sockets](std::size_t aParts) {
    return std::max(sockets * aParts / kParts, kMinConnections);
  };
  limits.callers = share(kCallerParts);
  limits.peers = share(kPeerParts);
  limits.directory = share(1);
  limits.readiness = std::min(share(1), kMaxReadiness);
  // Half of what is left: the allocator keeps freed blocks, and growing buffers exist twice.
  const std::size_t left = aMemoryBytes > kOwnBytes ? aMemoryBytes - kOwnBytes : 0;
  limits.clientBytes = std::max({ left / 2, aMemoryBytes / 4, kMinClientBytes });
  limits.peers = std::min(limits.peers,
                          std::max(limits.clientBytes / 2 / kPeerConnectionBytes, kMinConnections));
  limits.callers = std::min(limits.callers, limits.clientBytes / 2 / kConnectionBytes);
  return limits;
}

std::shared_ptr<MemoryBudget>
MakeBudget(const ConnectionLimits& aLimits)
{
  return aLimits.isDerived ? std::make_shared<MemoryBudget>(aLimits.clientBytes) : nullptr;
}

} // namespace skylarkwing::net
