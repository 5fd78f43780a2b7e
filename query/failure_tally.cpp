#include "query/failure_tally.h"

namespace skylarkwing::query {

namespace {

using upstream::PartRefusal;

constexpr core::Duration kOverloadedRetryAfter = std::chrono::milliseconds{ 100 };
constexpr core::Duration kUnavailableRetryAfter = std::chrono::milliseconds{ 500 };
constexpr core::Duration kQuarantinedRetryAfter = std::chrono::seconds{ 60 };
constexpr double kRetryAfterJitter = 0.5;

core::Duration
MeanRetryAfter(QueryRefusal aRefusal)
{
  switch (aRefusal) {
    case QueryRefusal::Overloaded:
      return kOverloadedRetryAfter;
    case QueryRefusal::NoSnapshot:
    case QueryRefusal::Unavailable:
    case QueryRefusal::TooLittleCoverage:
      return kUnavailableRetryAfter;
    case QueryRefusal::Quarantined:
      return kQuarantinedRetryAfter;
    case QueryRefusal::None:
    case QueryRefusal::DeadlineTooClose:
      return {};
  }
  return {};
}

} // namespace

void
FailureTally::Record(PartRefusal aRefusal)
{
  ++mCounts[aRefusal];
  ++mTotal;
}

QueryRefusal
FailureTally::MainReason() const
{
  const std::uint32_t overloaded = CountOf(PartRefusal::Overloaded) + CountOf(PartRefusal::Cold);
  if (overloaded > 0 && 2 * overloaded >= mTotal) {
    return QueryRefusal::Overloaded;
  }
  const std::uint32_t late = CountOf(PartRefusal::DeadlineTooClose);
  if (late > 0 && 2 * late >= mTotal) {
    return QueryRefusal::DeadlineTooClose;
  }
  return QueryRefusal::Unavailable;
}

std::uint32_t
FailureTally::CountOf(PartRefusal aRefusal) const
{
  const auto it = mCounts.find(aRefusal);
  return it == mCounts.end() ? 0 : it->second;
}

core::Duration
RetryAfterOf(QueryRefusal aRefusal, core::RandomSource& aRandom)
{
  const double seconds = std::chrono::duration<double>(MeanRetryAfter(aRefusal)).count();
  const double jittered = aRandom.Jitter(seconds, kRetryAfterJitter);
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(jittered));
}

} // namespace skylarkwing::query
