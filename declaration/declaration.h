#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::declaration {

/** A process that serves search requests for the shards that it announces. */
struct ReplicaDeclaration
{
  /** Unique in the whole declaration. */
  std::string name;
  /** "IP:port". */
  std::string address;
  std::string failureDomain;
};

/** Replicas that hold the same shards. */
struct ServiceDeclaration
{
  std::string name;
  std::vector<ReplicaDeclaration> replicas;
};

/** Load limits of one replica. */
struct UpstreamLimits
{
  /** Concurrent requests to a warm replica. */
  std::uint32_t slots = 1;
  /** Concurrent requests to a cold replica, over all daemons. */
  std::uint32_t coldSlots = 1;
  /** Connections to a replica, over all daemons. */
  std::uint32_t connections = 8;
  /** Processing time that a new connection costs a replica. */
  std::chrono::milliseconds connectTime{ 1 };
};

/** An index. Its services together hold all shards. */
struct IndexDeclaration
{
  std::string name;
  UpstreamLimits limits;
  std::vector<ServiceDeclaration> services;
};

/** A failure domain, and whether operators have taken it out of service. */
struct FailureDomainDeclaration
{
  std::string name;
  std::string region;
  bool out = false;
  /** The operator's reason for taking it out of service. */
  std::string reason;
};

/** Service level objective of a profile; the error budget report is based on it. */
struct Objective
{
  /** A later answer counts against the error budget. */
  std::chrono::milliseconds latency{ 100 };
  /** Ratio of answers that must arrive within `latency`, 0 to 1. */
  double latencyShare = 0.99;
  /** Ratio of answers that must be complete, 0 to 1. */
  double completeShare = 0.999;
};

/** Settings for one class of queries. */
struct ProfileDeclaration
{
  std::string name;
  /** Indexes that queries of this profile may use. */
  std::vector<std::string> indexes;
  /** 0 is the highest priority. */
  std::uint32_t priority = 1;
  /** Concurrent queries over all daemons. */
  std::uint32_t concurrency = 64;
  /** Whether a query may safely run twice; only such queries are retried or hedged. */
  bool idempotent = true;
  std::chrono::milliseconds defaultDeadline{ 500 };
  std::chrono::milliseconds longestDeadline{ 5000 };
  /** Minimum ratio of shards for an answer; below it the query is refused. 0 to 1. */
  double leastCoverage = 0.0;
  /** A part that takes longer than this latency quantile is hedged, 0 to 1. */
  double hedgeQuantile = 0.95;
  /** Hedges allowed per first attempt, 0 to 1. */
  double hedgeBudget = 0.04;
  /** Retries allowed per first attempt, 0 to 1. */
  double retryBudget = 0.1;
  Objective objective;
};

/** Desired configuration of a deployment, as operators keep it in version control. */
struct Declaration
{
  std::string deployment;
  std::vector<FailureDomainDeclaration> failureDomains;
  std::vector<IndexDeclaration> indexes;
  std::vector<ProfileDeclaration> profiles;
};

/** Audit record of one configuration change. */
struct ChangeRecord
{
  std::uint64_t generation = 0;
  std::string author;
  std::string reason;
  /** The changes, one line each. */
  std::vector<std::string> changes;
  /** Milliseconds since the Unix epoch. */
  std::int64_t writtenAt = 0;
  /** The `writeId` of the configuration of that generation. */
  std::string writeId;
};

/** A declaration as kept in the store, with its generation number and change history. */
struct Configuration
{
  /** Increases by one with every accepted change; 0 means none. */
  std::uint64_t generation = 0;
  /** Identifies the write; if the store's response is lost, the writer can find out by it whether
   * the write took effect. */
  std::string writeId;
  Declaration declaration;
  /** The most recent changes, oldest first. */
  std::vector<ChangeRecord> history;
};

} // namespace skylarkwing::declaration
