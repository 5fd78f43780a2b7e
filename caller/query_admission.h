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

/** Whether a query may run now. */
struct AdmissionDecision
{
  bool isAdmitted = false;
  /** Why not, for people. */
  std::string reason;
  /** When it is worth trying again. */
  core::Duration retryAfter{};
};

/** What asks for admission. */
struct AdmissionRequest
{
  std::string index;
  std::shared_ptr<const declaration::ProfileDeclaration> profile;
  core::TimePoint deadline;
};

/**
 * Decides which queries run, which wait, and which are refused before anything of them ran.
 *
 * Each index has a limit that adapts to how queries fare there, and each profile its share of the
 * limit that operators gave it. The most important queries go first and may use the whole limit,
 * others only a part of it. The queue is bounded and holds no query that could not make its
 * deadline.
 */
class QueryAdmission
{
public:
  /** @param aLiveMemberCount how many daemons share the profiles' limits, this one included. */
  QueryAdmission(core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 core::Metrics& aMetrics,
                 std::function<std::size_t()> aLiveMemberCount);
  QueryAdmission(const QueryAdmission&) = delete;
  QueryAdmission& operator=(const QueryAdmission&) = delete;

  /** Waits for admission; whoever is admitted calls Leave() when it is done. */
  core::Task<AdmissionDecision> Enter(AdmissionRequest aRequest);

  /** Ends an admitted query and admits whoever is next. */
  void Leave(const std::string& aIndex, const std::string& aProfile, const LoadSample& aSample);

  /** @return how many queries of an index may run at a time. */
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

  struct IndexQueue
  {
    explicit IndexQueue(core::TimerService& aTimers)
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

  IndexQueue& QueueOf(const std::string& aIndex);
  bool HasProfileRoom(const declaration::ProfileDeclaration& aProfile) const;
  bool CanMakeDeadline(IndexQueue& aQueue, const Rank& aRank, core::TimePoint aDeadline) const;
  core::Duration ExpectedWait(IndexQueue& aQueue, const Rank& aRank) const;
  void Dispatch(IndexQueue& aQueue);
  void DropLowestRanked(IndexQueue& aQueue);
  AdmissionDecision Refuse(IndexQueue& aQueue, const Rank& aRank, std::string aReason);
  void PublishGauges(const IndexQueue& aQueue) const;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  core::Metrics& mMetrics;
  std::function<std::size_t()> mLiveMemberCount;
  prometheus::Counter& mAdmitted;
  prometheus::Counter& mRefused;
  std::uint64_t mLastArrival = 0;
  std::map<std::string, IndexQueue> mQueues;
  std::map<std::string, std::uint32_t> mRunningByProfile;
};

} // namespace skylarkwing::caller
