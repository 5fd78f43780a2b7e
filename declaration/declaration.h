#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::declaration {

/** One process that answers searches for the shards it announces. */
struct ReplicaDeclaration
{
  /** Unique over the whole declaration. */
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

/** What one replica bears. */
struct UpstreamLimits
{
  /** Requests that a warm replica runs at a time. */
  std::uint32_t slots = 1;
  /** Requests that a cold replica bears at a time, over all daemons together. */
  std::uint32_t coldSlots = 1;
  /** Connections that a replica accepts, over all daemons together. */
  std::uint32_t connections = 8;
  /** What a new connection costs a replica. */
  std::chrono::milliseconds connectTime{ 1 };
};

/** One index: its services together hold every shard. */
struct IndexDeclaration
{
  std::string name;
  UpstreamLimits limits;
  std::vector<ServiceDeclaration> services;
};

/** A failure domain, and whether operators have taken it out. */
struct FailureDomainDeclaration
{
  std::string name;
  std::string region;
  bool out = false;
  /** Why it was taken out, in the operator's words. */
  std::string reason;
};

/** What a profile promises its callers; the burn report is counted against it. */
struct Objective
{
  /** An answer later than this is bad. */
  std::chrono::milliseconds latency{ 100 };
  /** Share of answers that must be in time, 0 to 1. */
  double latencyShare = 0.99;
  /** Share of answers that must be complete, 0 to 1. */
  double completeShare = 0.999;
};

/** How one class of queries is served. */
struct ProfileDeclaration
{
  std::string name;
  /** The indexes that it may query. */
  std::vector<std::string> indexes;
  /** 0 is the most important. */
  std::uint32_t priority = 1;
  /** Queries that run at a time over all daemons together. */
  std::uint32_t concurrency = 64;
  /** Whether running a query twice does no harm; only such queries are retried or hedged. */
  bool idempotent = true;
  std::chrono::milliseconds defaultDeadline{ 500 };
  std::chrono::milliseconds longestDeadline{ 5000 };
  /** Share of shards below which the answer is a refusal, 0 to 1. */
  double leastCoverage = 0.0;
  /** A part slower than this quantile of its kind is hedged, 0 to 1. */
  double hedgeQuantile = 0.95;
  /** Hedges allowed for each first attempt, 0 to 1. */
  double hedgeBudget = 0.04;
  /** Retries allowed for each first attempt, 0 to 1. */
  double retryBudget = 0.1;
  Objective objective;
};

/** The deployment's configuration, as operators keep it in version control. */
struct Declaration
{
  std::string deployment;
  std::vector<FailureDomainDeclaration> failureDomains;
  std::vector<IndexDeclaration> indexes;
  std::vector<ProfileDeclaration> profiles;
};

/** Who changed the configuration, when and why. */
struct ChangeRecord
{
  std::uint64_t generation = 0;
  std::string author;
  std::string reason;
  /** What changed, a line for each change. */
  std::vector<std::string> changes;
  /** Milliseconds since the Unix epoch. */
  std::int64_t writtenAt = 0;
  /** The configuration's `writeId` of that generation. */
  std::string writeId;
};

/** A declaration as it stands in the store: numbered, and with the changes that led to it. */
struct Configuration
{
  /** Counts up by one with every accepted change; 0 is none. */
  std::uint64_t generation = 0;
  /** Identifies the write, so that its writer can tell after a lost answer whether it took effect.
   */
  std::string writeId;
  Declaration declaration;
  /** The latest changes, oldest first. */
  std::vector<ChangeRecord> history;
};

} // namespace skylarkwing::declaration
