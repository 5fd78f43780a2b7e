#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** How many upstreams or VMs are in one state. */
struct StateCount
{
  /** The name of an upstream::ReplicaState or a membership::MemberState. */
  std::string state;
  std::uint32_t count = 0;
};

/** One VM's daemon, as seen by the daemon that answers. */
struct VmStatus
{
  std::string vm;
  /** The name of a membership::MemberState. */
  std::string state;
  /** Generation of the configuration in force there; 0 for none. */
  std::uint64_t generation = 0;
  /** Load of the daemon, 0 to 1. */
  double load = 0.0;
};

/** One failure domain with its VMs and upstreams. */
struct FailureDomainStatus
{
  std::string name;
  std::string region;
  /** Whether operators have taken it out. */
  bool out = false;
  /** Why it was taken out, in the operator's words. */
  std::string reason;
  std::vector<VmStatus> vms;
  /** How many VMs it has; exceeds the length of the list when it was truncated. */
  std::uint32_t vmCount = 0;
  std::vector<StateCount> upstreams;
  /** Requests in flight on its upstreams. */
  std::uint32_t inFlight = 0;
};

/** One service of an index. */
struct ServiceStatus
{
  std::string index;
  std::string service;
  /** The snapshot that new queries use; 0 for none. */
  std::uint64_t snapshot = 0;
  /** Shards of that snapshot that this service should answer for. */
  std::uint32_t shards = 0;
  /** Number of these shards that at least one usable replica holds. */
  std::uint32_t shardsHeld = 0;
  /** The first few shards that no usable replica holds. */
  std::vector<std::uint32_t> missingShards;
  std::vector<StateCount> replicas;
  /** 99th percentile latency of a part, in milliseconds; 0 without traffic. */
  double p99Milliseconds = 0.0;
  /** Requests in flight, concurrency limit and queue length, summed over its replicas. */
  std::uint32_t inFlight = 0;
  std::uint32_t allowance = 0;
  std::uint32_t queued = 0;
};

/** Who changed the configuration, when and why. */
struct ChangeStatus
{
  std::uint64_t generation = 0;
  std::string author;
  std::string reason;
  /** One line per change. */
  std::vector<std::string> changes;
  /** Milliseconds since the Unix epoch. */
  std::int64_t writtenAt = 0;
};

/** A request that crashed upstreams and is refused everywhere. */
struct QuarantineStatus
{
  /** Hash of index and search, 16 hexadecimal digits. */
  std::string fingerprint;
  std::string index;
  /** The replicas that crashed while running it. */
  std::vector<std::string> crashedReplicas;
  /** Milliseconds since the Unix epoch. */
  std::int64_t since = 0;
};

/** Service level and burn rates of one profile. */
struct ProfileStatus
{
  std::string profile;
  /** Queries per second over the last 5 minutes. */
  double queriesPerSecond = 0.0;
  /** Burn rates; at 1 the budget lasts exactly its period. */
  double latencyBurn5m = 0.0;
  double latencyBurn1h = 0.0;
  double coverageBurn5m = 0.0;
  double coverageBurn1h = 0.0;
  /** The names of a BurnUrgency. */
  std::string latencyUrgency;
  std::string coverageUrgency;
  /** 99th percentile latency of answers, in milliseconds; 0 without traffic. */
  double p99Milliseconds = 0.0;
};

/** The content of the shared screens, as seen by one daemon. */
struct ClusterStatus
{
  std::string deployment;
  /** The VM that answers. */
  std::string vm;
  std::uint64_t generation = 0;
  /** VMs where that generation is in force, and all VMs that are members. */
  std::uint32_t inForce = 0;
  std::uint32_t members = 0;
  /** The first few VMs where it is not in force. */
  std::vector<std::string> missingVms;
  /** Whether this daemon reaches the platform's store. */
  bool storeReachable = false;
  /** Whether this daemon takes no new work because neither store nor peers confirm it. */
  bool isolated = false;
  std::vector<FailureDomainStatus> failureDomains;
  std::vector<ServiceStatus> services;
  /** How many services there are; exceeds the length of the list when it was truncated. */
  std::uint32_t serviceCount = 0;
  std::vector<ProfileStatus> profiles;
  std::vector<QuarantineStatus> quarantine;
  /** The latest changes, newest first. */
  std::vector<ChangeStatus> history;
};

/** Maximum list lengths of a status that is sent to a screen. */
struct StatusBounds
{
  std::size_t vmsPerFailureDomain = 24;
  std::size_t services = 120;
  std::size_t missingVms = 16;
  std::size_t missingShards = 16;
  std::size_t quarantine = 32;
  std::size_t history = 30;
};

/** @return whether the service cannot answer for all of its shards. */
bool
LacksShards(const ServiceStatus& aService);

/**
 * Sorts unhealthy VMs and services first and truncates every list to its bound, so that the size of
 * a status does not grow with the fleet. Counts such as serviceCount keep the full number.
 */
void
BoundStatus(ClusterStatus& aStatus, const StatusBounds& aBounds = {});

/** @return the status as the operators' API sends it. */
nlohmann::json
ToJson(const ClusterStatus& aStatus);

/** @return the status parsed from JSON, or nothing when the JSON has another layout. */
std::optional<ClusterStatus>
ClusterStatusFromJson(const nlohmann::json& aJson);

/** @return the change records as the operators' API sends them. */
nlohmann::json
ToJson(const std::vector<ChangeStatus>& aHistory);

/** @return the quarantined requests as the operators' API sends them. */
nlohmann::json
ToJson(const std::vector<QuarantineStatus>& aQuarantine);

} // namespace skylarkwing::console
