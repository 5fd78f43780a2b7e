#include "caller/admission.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace skylarkwing::caller {

namespace {

/** Share of an index's limit that each priority may fill, the most important first. */
constexpr std::array<double, 4> kPriorityShares{ 1.0, 0.9, 0.75, 0.6 };

/** Queries that may wait for an index, whatever its limit. */
constexpr std::size_t kLeastQueue = 8;

constexpr core::Duration kLeastRetryAfter = std::chrono::milliseconds{ 50 };
constexpr double kRetryAfterJitter = 0.5;

std::uint32_t
AllowedFor(std::uint32_t aPriority, std::uint32_t aLimit)
{
  const std::size_t n = std::min<std::size_t>(aPriority, kPriorityShares.size() - 1);
  return std::max(1U, static_cast<std::uint32_t>(aLimit * kPriorityShares.at(n)));
}

} // namespace

Admission::Admission(core::TimerService& aTimers,
                     core::RandomSource& aRandom,
                     core::Metrics& aMetrics,
                     std::function<std::size_t()> aLiveMembers)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mMetrics(aMetrics)
  , mLiveMembers(std::move(aLiveMembers))
  , mAdmitted(aMetrics.Counter("skylarkwing_caller_admitted_total", "Queries admitted."))
  , mRefused(aMetrics.Counter("skylarkwing_caller_not_admitted_total",
                              "Queries refused for load before anything of them ran."))
{
}

core::Task<AdmissionVerdict>
Admission::Enter(AdmissionRequest aRequest)
{
  IndexGate& gate = GateOf(aRequest.index);
  const Rank rank{ aRequest.profile->priority, ++mLastArrival };
  const core::TimePoint deadline = aRequest.deadline;
  if (!CanMakeDeadline(gate, rank, deadline)) {
    co_return Refuse(gate, rank, "the queue is longer than the deadline allows");
  }
  const auto waiter = std::make_shared<Waiter>(mTimers);
  gate.queue.emplace(rank, Waiting{ std::move(aRequest), waiter });
  Dispatch(gate);
  DropLast(gate);
  Publish(gate);
  const std::optional<bool> isGranted = co_await waiter->Receive(deadline - gate.limit.Median());
  gate.queue.erase(rank);
  Publish(gate);
  if (!isGranted.value_or(false)) {
    co_return Refuse(gate, rank, "the limit of concurrent queries is reached");
  }
  mAdmitted.Increment();
  AdmissionVerdict verdict;
  verdict.isAdmitted = true;
  co_return verdict;
}

void
Admission::Leave(const std::string& aIndex, const std::string& aProfile, const LoadSample& aSample)
{
  IndexGate& gate = GateOf(aIndex);
  --gate.running;
  --mRunningByProfile[aProfile];
  gate.limit.Record(aSample);
  Dispatch(gate);
  // A profile's limit spans its indexes, so another index's queue may have waited for it.
  for (auto& [name, other] : mGates) {
    if (&other != &gate && !other.queue.empty()) {
      Dispatch(other);
    }
  }
  Publish(gate);
}

std::uint32_t
Admission::LimitOf(const std::string& aIndex) const
{
  const auto it = mGates.find(aIndex);
  return it == mGates.end() ? 0 : it->second.limit.Limit();
}

Admission::IndexGate&
Admission::GateOf(const std::string& aIndex)
{
  const auto it = mGates.find(aIndex);
  if (it != mGates.end()) {
    return it->second;
  }
  IndexGate& gate = mGates.try_emplace(aIndex, mTimers).first->second;
  const core::Metrics::Labels labels = { { "index", aIndex } };
  gate.limitGauge = &mMetrics.Gauge("skylarkwing_caller_concurrency_limit_queries",
                                    "Queries of an index that may run at a time here.",
                                    labels);
  gate.runningGauge =
    &mMetrics.Gauge("skylarkwing_caller_running_queries", "Queries of an index that run.", labels);
  gate.queuedGauge =
    &mMetrics.Gauge("skylarkwing_caller_queued_queries", "Queries of an index that wait.", labels);
  return gate;
}

bool
Admission::HasProfileRoom(const declaration::ProfileDeclaration& aProfile) const
{
  const std::size_t members = std::max<std::size_t>(mLiveMembers(), 1);
  const std::size_t share =
    std::max<std::size_t>((aProfile.concurrency + members - 1) / members, 1);
  const auto it = mRunningByProfile.find(aProfile.name);
  return it == mRunningByProfile.end() || it->second < share;
}

bool
Admission::CanMakeDeadline(IndexGate& aGate, const Rank& aRank, core::TimePoint aDeadline) const
{
  const core::Duration needed = ExpectedWait(aGate, aRank) + aGate.limit.Median();
  return mTimers.Now() + needed < aDeadline;
}

core::Duration
Admission::ExpectedWait(IndexGate& aGate, const Rank& aRank) const
{
  const auto ahead = std::distance(aGate.queue.begin(), aGate.queue.lower_bound(aRank));
  if (ahead == 0) {
    return {};
  }
  return aGate.limit.Median() * ahead / aGate.limit.Limit();
}

void
Admission::Dispatch(IndexGate& aGate)
{
  for (auto it = aGate.queue.begin(); it != aGate.queue.end();) {
    const AdmissionRequest& request = it->second.request;
    if (aGate.running >= AllowedFor(request.profile->priority, aGate.limit.Limit())) {
      aGate.limit.NoteHeldBack();
      break;
    }
    if (!HasProfileRoom(*request.profile)) {
      ++it;
      continue;
    }
    ++aGate.running;
    ++mRunningByProfile[request.profile->name];
    const std::shared_ptr<Waiter> waiter = it->second.waiter;
    it = aGate.queue.erase(it);
    waiter->Push(true);
  }
}

void
Admission::DropLast(IndexGate& aGate)
{
  const std::size_t most = std::max<std::size_t>(kLeastQueue, aGate.limit.Limit());
  while (aGate.queue.size() > most) {
    const auto last = std::prev(aGate.queue.end());
    const std::shared_ptr<Waiter> waiter = last->second.waiter;
    aGate.queue.erase(last);
    waiter->Push(false);
  }
}

AdmissionVerdict
Admission::Refuse(IndexGate& aGate, const Rank& aRank, std::string aReason)
{
  mRefused.Increment();
  AdmissionVerdict verdict;
  verdict.reason = std::move(aReason);
  const core::Duration wait = std::max(ExpectedWait(aGate, aRank), kLeastRetryAfter);
  const double seconds = std::chrono::duration<double>(wait).count();
  const double jittered = mRandom.Jitter(seconds, kRetryAfterJitter);
  verdict.retryAfter =
    std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(jittered));
  return verdict;
}

void
Admission::Publish(const IndexGate& aGate) const
{
  aGate.limitGauge->Set(aGate.limit.Limit());
  aGate.runningGauge->Set(aGate.running);
  aGate.queuedGauge->Set(static_cast<double>(aGate.queue.size()));
}

} // namespace skylarkwing::caller
