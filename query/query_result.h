#pragma once

#include "core/timer_service.h"
#include "upstream/part.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkwing::query {

enum class QueryStatus
{
  Answered,
  Refused,
};

/** Reason why a query was refused. */
enum class QueryRefusal
{
  None,
  /** No replica can answer a shard of any snapshot of the index. */
  NoSnapshot,
  /** Too little time before the deadline to query replicas. */
  DeadlineTooClose,
  /** At least half of the failed parts were refused because of load. */
  Overloaded,
  /** No replica answered. */
  Unavailable,
  /** Fewer shards answered than the profile requires. */
  TooLittleCoverage,
  /** The query's fingerprint has crashed replicas. */
  Quarantined,
};

/** @return the name of a refusal, for messages and metric labels. */
std::string_view
NameOf(QueryRefusal aRefusal);

/** Whether a refused query may have had effects. */
enum class Executed
{
  /** No part of it ran or will run. */
  No,
  /** A part of it may have run. */
  Unknown,
};

/** @return the name of a value, as used in messages. */
std::string_view
NameOf(Executed aExecuted);

/** The shards that an answer covers, out of all shards of its snapshot. */
struct Coverage
{
  std::uint32_t answered = 0;
  std::uint32_t total = 0;
  /** Shards without a complete answer, in ascending order. */
  std::vector<std::uint32_t> missing;
};

/** Result of one query. */
struct QueryResult
{
  QueryStatus status = QueryStatus::Refused;
  /** Sorted by descending score. */
  std::vector<upstream::Hit> hits;
  /** The snapshot that all hits come from. */
  std::uint64_t snapshot = 0;
  Coverage coverage;
  bool complete = false;
  QueryRefusal refusal = QueryRefusal::None;
  /** Only used when refused. */
  Executed executed = Executed::No;
  /** Delay before a refused query may be retried; zero if a retry cannot help. */
  core::Duration retryAfter{};
};

} // namespace skylarkwing::query
