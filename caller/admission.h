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
struct AdmissionVerdict
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
class Admission
{
public:
  /** @param aLiveMembers how many daemons share the profiles' limits, this one included. */
  Admission(core::TimerService& aTimers,
            core::RandomSource& aRandom,
            core::Metrics& aMetrics,
            std::function<std::size_t()> aLiveMembers);
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  /** Waits for admission; whoever is admitted calls Leave() when it is done. */
  core::Task<AdmissionVerdict> Enter(AdmissionRequest aRequest);

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

  struct IndexGate
  {
    explicit IndexGate(core::TimerService& aTimers)
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

  IndexGate& GateOf(const std::string& aIndex);
  bool HasProfileRoom(const declaration::ProfileDeclaration& aProfile) const;
  bool CanMakeDeadline(IndexGate& aGate, const Rank& aRank, core::TimePoint aDeadline) const;
  core::Duration ExpectedWait(IndexGate& aGate, const Rank& aRank) const;
  void Dispatch(IndexGate& aGate);
  void DropLast(IndexGate& aGate);
  AdmissionVerdict Refuse(IndexGate& aGate, const Rank& aRank, std::string aReason);
  void Publish(const IndexGate& aGate) const;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  core::Metrics& mMetrics;
  std::function<std::size_t()> mLiveMembers;
  prometheus::Counter& mAdmitted;
  prometheus::Counter& mRefused;
  std::uint64_t mLastArrival = 0;
  std::map<std::string, IndexGate> mGates;
  std::map<std::string, std::uint32_t> mRunningByProfile;
};

} // namespace skylarkwing::caller
