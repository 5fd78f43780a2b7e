#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"
#include "query/query_result.h"
#include "upstream/part.h"

#include <cstdint>
#include <map>

namespace skylarkwing::query {

/** Counts the reasons why parts failed, to derive the refusal reason of their query. */
class FailureTally
{
public:
  /** Counts one failed part. */
  void Record(upstream::PartRefusal aRefusal);

  bool IsEmpty() const { return mTotal == 0; }

  /** @return the reason behind at least half of the failures, or Unavailable. */
  QueryRefusal MainReason() const;

private:
  std::uint32_t CountOf(upstream::PartRefusal aRefusal) const;

  std::map<upstream::PartRefusal, std::uint32_t> mCounts;
  std::uint32_t mTotal = 0;
};

/** @return the jittered delay before a refused query may be retried, zero if a retry cannot help.
 */
core::Duration
RetryAfterOf(QueryRefusal aRefusal, core::RandomSource& aRandom);

} // namespace skylarkwing::query
