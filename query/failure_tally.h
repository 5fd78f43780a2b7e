#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"
#include "query/query_result.h"
#include "upstream/part.h"

#include <cstdint>
#include <map>

namespace skylarkwing::query {

/** Counts why parts failed, to say why their query has no answer. */
class FailureTally
{
public:
  /** Counts one part that was not answered. */
  void Record(upstream::PartRefusal aRefusal);

  /** @return whether no part failed. */
  bool IsEmpty() const { return mTotal == 0; }

  /** @return what kept most of the parts from being answered. */
  QueryRefusal Reason() const;

private:
  std::uint32_t CountOf(upstream::PartRefusal aRefusal) const;

  std::map<upstream::PartRefusal, std::uint32_t> mCounts;
  std::uint32_t mTotal = 0;
};

/** @return when a query that is refused for that reason may come back, with jitter. */
core::Duration
RetryAfterOf(QueryRefusal aRefusal, core::RandomSource& aRandom);

} // namespace skylarkwing::query
