#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace skylarkwing::standin {

/** How often the stand-ins saw a property of the system broken. Every count should be 0. */
struct PropertyCounts
{
  /** Searches beyond what a replica bears while cold, after it was known to be cold. */
  std::uint64_t coldOverfull = 0;
  /** Connections beyond a replica's limit. */
  std::uint64_t connectionsOverLimit = 0;
  /** Searches that came too long after the replica's failure domain was taken out. */
  std::uint64_t workWhileOut = 0;
  /** Searches that came too long after the replica announced that it drains. */
  std::uint64_t workWhileDraining = 0;
  /** Requests that are not idempotent and ran more than once. */
  std::uint64_t runTwice = 0;
  /** Fingerprints that crashed more replicas than allowed. */
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

/** What one upstream was asked to do; the sum over all gives the load that the system made. */
struct UpstreamLoad
{
  /** Searches that arrived. */
  std::uint64_t received = 0;
  /** Searches that began to run. */
  std::uint64_t started = 0;
  /** Searches that were refused as not run. */
  std::uint64_t shed = 0;
  /** Searches that were cancelled while they ran. */
  std::uint64_t cancelled = 0;
  /** Connections that carried at least one request. */
  std::uint64_t connections = 0;
  /** How often the process crashed. */
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
