#include "console/burn_tracker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace skylarkwing::console {

namespace {

using nlohmann::json;

constexpr core::Duration kLatencySpan = std::chrono::minutes{ 5 };
constexpr std::size_t kTenSecondBuckets = 30;
constexpr std::size_t kMinuteBuckets = 60;
constexpr std::size_t kFiveMinuteBuckets = 72;
constexpr std::size_t kHourBuckets = 72;
constexpr std::size_t kHalfHourInMinutes = 30;

json
SeriesToJson(const std::vector<AgedCounts>& aSeries)
{
  json series = json::array();
  for (const AgedCounts& bucket : aSeries) {
    series.push_back(json::array({ bucket.age, bucket.counts }));
  }
  return series;
}

json
FaultsToJson(const std::vector<ShardFaultCount>& aFaults)
{
  json faults = json::array();
  for (const ShardFaultCount& fault : aFaults) {
    faults.push_back({ { "index", fault.place.index },
                       { "shard", fault.place.shard },
                       { "failureDomain", fault.place.failureDomain },
                       { "missing", fault.missing },
                       { "slow", fault.slow } });
  }
  return faults;
}

} // namespace

BurnTracker::ProfileCounts::ProfileCounts()
  : tenSeconds(std::chrono::seconds{ 10 }, kTenSecondBuckets)
  , minutes(std::chrono::minutes{ 1 }, kMinuteBuckets)
  , fiveMinutes(std::chrono::minutes{ 5 }, kFiveMinuteBuckets)
  , hours(std::chrono::hours{ 1 }, kHourBuckets)
{
}

void
BurnTracker::ProfileCounts::Add(core::TimePoint aNow, const BurnCounts& aCounts)
{
  tenSeconds.Add(aNow, aCounts);
  minutes.Add(aNow, aCounts);
  fiveMinutes.Add(aNow, aCounts);
  hours.Add(aNow, aCounts);
  if (totalCounter != nullptr) {
    totalCounter->Increment(static_cast<double>(aCounts.total));
    slowCounter->Increment(static_cast<double>(aCounts.slow));
    incompleteCounter->Increment(static_cast<double>(aCounts.incomplete));
  }
}

void
BurnTracker::ProfileCounts::RotateLatencies(core::TimePoint aNow)
{
  const core::Duration age = aNow - currentSince;
  if (age < kLatencySpan) {
    return;
  }
  const bool isRecent = age < 2 * kLatencySpan;
  previousLatencies = isRecent ? currentLatencies : LatencyHistogram();
  currentLatencies = LatencyHistogram();
  currentSince = aNow;
}

BurnCounts
BurnTracker::ProfileCounts::Sum(core::TimePoint aNow, BurnWindow aWindow) const
{
  switch (aWindow) {
    case BurnWindow::FiveMinutes:
      return tenSeconds.Sum(aNow, kTenSecondBuckets);
    case BurnWindow::HalfHour:
      return minutes.Sum(aNow, kHalfHourInMinutes);
    case BurnWindow::OneHour:
      return minutes.Sum(aNow, kMinuteBuckets);
    case BurnWindow::SixHours:
      return fiveMinutes.Sum(aNow, kFiveMinuteBuckets);
    case BurnWindow::ThreeDays:
      break;
  }
  return hours.Sum(aNow, kHourBuckets);
}

BurnTracker::BurnTracker(core::TimerService& aTimers, core::Metrics* aMetrics)
  : mTimers(aTimers)
  , mMetrics(aMetrics)
  , mStartedAt(aTimers.Now())
{
}

void
BurnTracker::SetProfiles(const std::vector<declaration::ProfileDeclaration>& aProfiles)
{
  std::map<std::string, ProfileCounts> retained;
  for (const declaration::ProfileDeclaration& profile : aProfiles) {
    auto known = mProfiles.extract(profile.name);
    if (known.empty()) {
      retained[profile.name].currentSince = mTimers.Now();
      RegisterCounters(profile.name, retained[profile.name]);
    } else {
      retained.insert(std::move(known));
    }
    retained[profile.name].objective = profile.objective;
  }
  mProfiles = std::move(retained);
}

void
BurnTracker::Record(const AnswerOutcome& aOutcome)
{
  const auto it = mProfiles.find(aOutcome.profile);
  if (it == mProfiles.end()) {
    return;
  }
  ProfileCounts& profile = it->second;
  const core::TimePoint now = mTimers.Now();
  const bool isSlow = aOutcome.isRefused || aOutcome.latency > profile.objective.latency;
  const bool isIncomplete = aOutcome.isRefused || !aOutcome.isComplete;
  profile.Add(now, { 1, isSlow ? 1U : 0U, isIncomplete ? 1U : 0U });
  if (!aOutcome.isRefused) {
    profile.RotateLatencies(now);
    profile.currentLatencies.Record(aOutcome.latency);
  }
  for (const ShardFault& fault : aOutcome.faults) {
    mFaults.Add(now, fault);
  }
}

void
BurnTracker::RegisterCounters(const std::string& aName, ProfileCounts& aProfile) const
{
  if (mMetrics == nullptr) {
    return;
  }
  const core::Metrics::Labels labels{ { "profile", aName } };
  aProfile.totalCounter = &mMetrics->Counter("skylarkwing_console_answers_total",
                                             "Answers and refusals that callers got, by profile.",
                                             labels);
  aProfile.slowCounter =
    &mMetrics->Counter("skylarkwing_console_slow_answers_total",
                       "Answers later than the profile's objective, and refusals.",
                       labels);
  aProfile.incompleteCounter = &mMetrics->Counter("skylarkwing_console_incomplete_answers_total",
                                                  "Answers that lacked shards, and refusals.",
                                                  labels);
}

json
BurnTracker::Snapshot(BurnDetail aDetail)
{
  const core::TimePoint now = mTimers.Now();
  const auto history = std::chrono::duration_cast<std::chrono::seconds>(now - mStartedAt);
  json snapshot{ { "version", kBurnSnapshotVersion },
                 { "historySeconds", history.count() },
                 { "profiles", json::array() } };
  for (auto& [name, profile] : mProfiles) {
    snapshot["profiles"].push_back(ProfileSnapshot(name, profile, aDetail));
  }
  if (aDetail == BurnDetail::Full) {
    snapshot["shardFaults"] = FaultsToJson(mFaults.Worst(now));
  }
  return snapshot;
}

json
BurnTracker::ProfileSnapshot(const std::string& aName,
                             ProfileCounts& aProfile,
                             BurnDetail aDetail) const
{
  const core::TimePoint now = mTimers.Now();
  aProfile.RotateLatencies(now);
  LatencyHistogram latencies = aProfile.currentLatencies;
  latencies.Merge(aProfile.previousLatencies);
  json windows = json::array();
  for (const BurnWindow window : kBurnWindows) {
    windows.push_back(aProfile.Sum(now, window));
  }
  json snapshot{ { "profile", aName },
                 { "windows", std::move(windows) },
                 { "latencies", latencies.ToJson() } };
  if (aDetail == BurnDetail::Full) {
    snapshot["minutes"] = SeriesToJson(aProfile.minutes.Series(now));
    snapshot["hours"] = SeriesToJson(aProfile.hours.Series(now));
  }
  return snapshot;
}

} // namespace skylarkwing::console
