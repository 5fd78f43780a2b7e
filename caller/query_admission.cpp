#include "caller/query_admission.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace skylarkwing::caller {

namespace {

/** Share of an index's limit that queries of each priority may use, most important first. */
constexpr std::array<double, 4> kPriorityShares{ 1.0, 0.9, 0.75, 0.6 };

/** Minimum queue capacity of an index, independent of its limit. */
constexpr std::size_t kMinQueueCapacity = 8;

constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds{ 50 };
constexpr double kRetryAfterJitter = 0.5;

std::uint32_t
LimitForPriority(std::uint32_t aPriority, std::uint32_t aLimit)
{
  const std::size_t n = std::min<std::size_t>(aPriority, kPriorityShares.size() - 1);
  return std::max(1U, static_cast<std::uint32_t>(aLimit * kPriorityShares.at(n)));
}

} // namespace

QueryAdmission::QueryAdmission(core::TimerService& aTimers,
                               core::RandomSource& aRandom,
                               core::Metrics& aMetrics,
                               std::function<std::size_t()> aLiveMemberCount)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mMetrics(aMetrics)
  , mLiveMemberCount(std::move(aLiveMemberCount))
  , mAdmitted(aMetrics.Counter("skylarkwing_caller_admitted_total", "Queries admitted."))
  , mRefused(aMetrics.Counter("skylarkwing_caller_not_admitted_total",
                              "Queries refused for load before anything of them ran."))
{
}

core::Task<AdmissionDecision>
QueryAdmission::Enter(AdmissionRequest aRequest)
{
  IndexState& state = StateOf(aRequest.index);
  const Rank rank{ aRequest.profile->priority, ++mLastArrival };
  const core::TimePoint deadline = aRequest.deadline;
  if (!CanMakeDeadline(state, rank, deadline)) {
    co_return Refuse(state, rank, "the queue is longer than the deadline allows");
  }
  const auto waiter = std::make_shared<Waiter>(mTimers);
  state.queue.emplace(rank, Waiting{ std::move(aRequest), waiter });
  Dispatch(state);
  DropLowestRanked(state);
  PublishGauges(state);
  const std::optional<bool> isGranted = co_await waiter->Receive(deadline - state.limit.Median());
  state.queue.erase(rank);
  PublishGauges(state);
  if (!isGranted.value_or(false)) {
    co_return Refuse(state, rank, "the limit of concurrent queries is reached");
  }
  mAdmitted.Increment();
  AdmissionDecision decision;
  decision.isAdmitted = true;
  co_return decision;
}

void
QueryAdmission::Leave(const std::string& aIndex,
                      const std::string& aProfile,
                      const LoadSample& aSample)
{
  IndexState& state = StateOf(aIndex);
  --state.running;
  --mRunningByProfile[aProfile];
  state.limit.Record(aSample);
  Dispatch(state);
  // A profile limit spans indexes, so queries of other indexes may have been waiting for it.
  for (auto& [name, other] : mIndexes) {
    if (&other != &state && !other.queue.empty()) {
      Dispatch(other);
    }
  }
  PublishGauges(state);
}

std::uint32_t
QueryAdmission::LimitOf(const std::string& aIndex) const
{
  const auto it = mIndexes.find(aIndex);
  return it == mIndexes.end() ? 0 : it->second.limit.Limit();
}

QueryAdmission::IndexState&
QueryAdmission::StateOf(const std::string& aIndex)
{
  const auto it = mIndexes.find(aIndex);
  if (it != mIndexes.end()) {
    return it->second;
  }
  IndexState& state = mIndexes.try_emplace(aIndex, mTimers).first->second;
  const core::Metrics::Labels labels = { { "index", aIndex } };
  state.limitGauge = &mMetrics.Gauge("skylarkwing_caller_concurrency_limit_queries",
                                     "Queries of an index that may run at a time here.",
                                     labels);
  state.runningGauge =
    &mMetrics.Gauge("skylarkwing_caller_running_queries", "Queries of an index that run.", labels);
  state.queuedGauge =
    &mMetrics.Gauge("skylarkwing_caller_queued_queries", "Queries of an index that wait.", labels);
  return state;
}

bool
QueryAdmission::HasProfileRoom(const declaration::ProfileDeclaration& aProfile) const
{
  const std::size_t members = std::max<std::size_t>(mLiveMemberCount(), 1);
  const std::size_t share =
    std::max<std::size_t>((aProfile.concurrency + members - 1) / members, 1);
  const auto it = mRunningByProfile.find(aProfile.name);
  return it == mRunningByProfile.end() || it->second < share;
}

bool
QueryAdmission::CanMakeDeadline(IndexState& aState,
                                const Rank& aRank,
                                core::TimePoint aDeadline) const
{
  const core::Duration needed = ExpectedWait(aState, aRank) + aState.limit.Median();
  return mTimers.Now() + needed < aDeadline;
}

core::Duration
QueryAdmission::ExpectedWait(IndexState& aState, const Rank& aRank) const
{
  const auto ahead = std::distance(aState.queue.begin(), aState.queue.lower_bound(aRank));
  if (ahead == 0) {
    return {};
  }
  return aState.limit.Median() * ahead / aState.limit.Limit();
}

void
QueryAdmission::Dispatch(IndexState& aState)
{
  for (auto it = aState.queue.begin(); it != aState.queue.end();) {
    const AdmissionRequest& request = it->second.request;
    if (aState.running >= LimitForPriority(request.profile->priority, aState.limit.Limit())) {
      aState.limit.RecordQueued();
      break;
    }
    if (!HasProfileRoom(*request.profile)) {
      ++it;
      continue;
    }
    ++aState.running;
    ++mRunningByProfile[request.profile->name];
    const std::shared_ptr<Waiter> waiter = it->second.waiter;
    it = aState.queue.erase(it);
    waiter->Push(true);
  }
}

void
QueryAdmission::DropLowestRanked(IndexState& aState)
{
  const std::size_t maxQueued = std::max<std::size_t>(kMinQueueCapacity, aState.limit.Limit());
  while (aState.queue.size() > maxQueued) {
    const auto last = std::prev(aState.queue.end());
    const std::shared_ptr<Waiter> waiter = last->second.waiter;
    aState.queue.erase(last);
    waiter->Push(false);
  }
}

AdmissionDecision
QueryAdmission::Refuse(IndexState& aState, const Rank& aRank, std::string aReason)
{
  mRefused.Increment();
  AdmissionDecision decision;
  decision.reason = std::move(aReason);
  const core::Duration wait = std::max(ExpectedWait(aState, aRank), kMinRetryAfter);
  const double seconds = std::chrono::duration<double>(wait).count();
  const double jittered = mRandom.Jitter(seconds, kRetryAfterJitter);
  decision.retryAfter =
    std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(jittered));
  return decision;
}

void
QueryAdmission::PublishGauges(const IndexState& aState) const
{
  aState.limitGauge->Set(aState.limit.Limit());
  aState.runningGauge->Set(aState.running);
  aState.queuedGauge->Set(static_cast<double>(aState.queue.size()));
}

} // namespace skylarkwing::caller
