#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace skylarkwing::standin {

/** Violations of system properties that the stand-ins observed. Every count should be 0. */
struct PropertyCounts
{
  /** Searches over the limit of a cold replica, after its cold state was reported. */
  std::uint64_t coldOverfull = 0;
  /** Connections over a replica's limit. */
  std::uint64_t connectionsOverLimit = 0;
  /** Searches that arrived too long after the replica's failure domain was taken out of service. */
  std::uint64_t workWhileOut = 0;
  /** Searches that arrived too long after the replica reported that it is draining. */
  std::uint64_t workWhileDraining = 0;
  /** Non-idempotent requests that ran more than once. */
  std::uint64_t runTwice = 0;
  /** Crashes beyond the allowed number of replicas for one search fingerprint. */
  std::uint64_t crashedTooMany = 0;

  /** Adds the counts of another stand-in. */
  PropertyCounts& operator+=(const PropertyCounts& aOther);

  /** @return the sum of all counts. */
  std::uint64_t Total() const;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PropertyCounts,
                                   coldOverfull,
                                   connectionsOverLimit,
                                   workWhileOut,
                                   workWhileDraining,
                                   runTwice,
                                   crashedTooMany)

/** Load on one upstream; the sum over all upstreams is the load that the system generated. */
struct UpstreamLoad
{
  /** Searches that arrived. */
  std::uint64_t received = 0;
  /** Searches that started to run. */
  std::uint64_t started = 0;
  /** Searches that were refused without running. */
  std::uint64_t shed = 0;
  /** Searches that were cancelled while they ran. */
  std::uint64_t cancelled = 0;
  /** Connections that carried at least one request. */
  std::uint64_t connections = 0;
  /** Process crashes. */
  std::uint64_t crashes = 0;

  /** Adds the load of another stand-in. */
  UpstreamLoad& operator+=(const UpstreamLoad& aOther);
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UpstreamLoad,
                                   received,
                                   started,
                                   shed,
                                   cancelled,
                                   connections,
                                   crashes)

} // namespace skylarkwing::standin
