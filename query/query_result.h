#pragma once

#include "core/timer_service.h"
#include "upstream/part.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkwing::query {

/** Whether a query has an answer. */
enum class QueryStatus
{
  Answered,
  Refused,
};

/** Why a query has no answer. */
enum class QueryRefusal
{
  None,
  /** No version of the index can answer any shard. */
  NoSnapshot,
  /** The deadline leaves no time to ask. */
  DeadlineTooClose,
  /** Every replica that was asked refused for load. */
  Overloaded,
  /** No replica answered. */
  Unavailable,
  /** Fewer shards answered than the profile demands. */
  TooLittleCoverage,
  /** The query's fingerprint has crashed replicas. */
  Quarantined,
};

/** @return the name of a refusal, for messages and metric labels. */
std::string_view
NameOf(QueryRefusal aRefusal);

/** What is known of a refused query's effects. */
enum class Executed
{
  /** Nothing of it ran and nothing will. */
  No,
  /** Some of it may have run. */
  Unknown,
};

/** @return the name of a value, as messages spell it. */
std::string_view
NameOf(Executed aExecuted);

/** Which shards an answer stands for, counted on its own version's shards. */
struct Coverage
{
  std::uint32_t answered = 0;
  std::uint32_t total = 0;
  /** Shards that did not answer, or only in part, in ascending order. */
  std::vector<std::uint32_t> missing;
};

/** What came of one query. */
struct QueryResult
{
  QueryStatus status = QueryStatus::Refused;
  /** The best hits, highest score first. */
  std::vector<upstream::Hit> hits;
  /** The version that every hit comes from. */
  std::uint64_t snapshot = 0;
  Coverage coverage;
  bool complete = false;
  QueryRefusal refusal = QueryRefusal::None;
  /** Meaningful when refused. */
  Executed executed = Executed::No;
  /** When a refused query may come back; zero when waiting does not help. */
  core::Duration retryAfter{};
};

} // namespace skylarkwing::query
