#pragma once

#include "caller/concurrency_limit.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "declaration/declaration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace skylarkwing::caller {

/** Whether a query may run. */
struct AdmissionDecision
{
  bool isAdmitted = false;
  /** Human-readable reason of a refusal. */
  std::string reason;
  /** Delay before a refused query may be retried. */
  core::Duration retryAfter{};
};

/** A query that requests admission. */
struct AdmissionRequest
{
  std::string index;
  std::shared_ptr<const declaration::ProfileDeclaration> profile;
  core::TimePoint deadline;
};

/**
 * Decides which queries run, which are queued, and which are refused before any part of them runs.
 *
 * Each index has an adaptive concurrency limit, and each profile has this daemon's share of its
 * configured limit. Queries are admitted by priority; only the most important ones may use the
 * whole limit of an index. The queue is bounded and accepts no query that would miss its deadline.
 */
class QueryAdmission
{
public:
  /** @param aLiveMemberCount returns the number of daemons that share profile limits, including
   * this one. */
  QueryAdmission(core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 core::Metrics& aMetrics,
                 std::function<std::size_t()> aLiveMemberCount);
  QueryAdmission(const QueryAdmission&) = delete;
  QueryAdmission& operator=(const QueryAdmission&) = delete;

  /** Waits for admission. An admitted query must call Leave() at its end. */
  core::Task<AdmissionDecision> Enter(AdmissionRequest aRequest);

  /** Ends an admitted query and admits waiting ones. */
  void Leave(const std::string& aIndex, const std::string& aProfile, const LoadSample& aSample);

  /** @return the number of queries of an index that may run concurrently. */
  std::uint32_t LimitOf(const std::string& aIndex) const;

private:
  using Waiter = core::Mailbox<bool>;
  /** Priority and order of arrival. */
  using Rank = std::pair<std::uint32_t, std::uint64_t>;

  struct Waiting
  {
    AdmissionRequest request;
    std::shared_ptr<Waiter> waiter;
  };

  struct IndexState
  {
    explicit IndexState(core::TimerService& aTimers)
      : limit(aTimers)
    {
    }

    ConcurrencyLimit limit;
    std::uint32_t running = 0;
    std::map<Rank, Waiting> queue;
    prometheus::Gauge* limitGauge = nullptr;
    prometheus::Gauge* runningGauge = nullptr;
    prometheus::Gauge* queuedGauge = nullptr;
  };

  IndexState& StateOf(const std::string& aIndex);
  bool HasProfileRoom(const declaration::ProfileDeclaration& aProfile) const;
  bool CanMakeDeadline(IndexState& aState, const Rank& aRank, core::TimePoint aDeadline) const;
  core::Duration ExpectedWait(IndexState& aState, const Rank& aRank) const;
  void Dispatch(IndexState& aState);
  void DropLowestRanked(IndexState& aState);
  AdmissionDecision Refuse(IndexState& aState, const Rank& aRank, std::string aReason);
  void PublishGauges(const IndexState& aState) const;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  core::Metrics& mMetrics;
  std::function<std::size_t()> mLiveMemberCount;
  prometheus::Counter& mAdmitted;
  prometheus::Counter& mRefused;
  std::uint64_t mLastArrival = 0;
  std::map<std::string, IndexState> mIndexes;
  std::map<std::string, std::uint32_t> mRunningByProfile;
};

} // namespace skylarkwing::caller
