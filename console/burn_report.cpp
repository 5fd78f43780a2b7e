#include "console/burn_report.h"

#include "console/burn_tracker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace skylarkwing::console {

namespace {

using nlohmann::json;

constexpr std::size_t kMinutes = 60;
constexpr std::size_t kHours = 72;
constexpr std::size_t kMaxWorstShards = 10;
constexpr double kTailQuantile = 0.99;

void
AddSeries(std::vector<BurnCounts>& aSum, const std::vector<BurnCounts>& aOther)
{
  for (std::size_t n = 0; n < aSum.size() && n < aOther.size(); ++n) {
    aSum[n] += aOther[n];
  }
}

std::vector<BurnCounts>
ReadSeries(const json& aSnapshot, const char* aName, std::size_t aLength)
{
  std::vector<BurnCounts> series(aLength);
  const auto it = aSnapshot.find(aName);
  if (it == aSnapshot.end()) {
    return series;
  }
  for (const json& bucket : *it) {
    const auto age = bucket.at(0).get<std::size_t>();
    if (age < aLength) {
      series[age] += bucket.at(1).get<BurnCounts>();
    }
  }
  return series;
}

std::vector<DomainFaultCount>
SumByDomain(const std::map<ShardLocation, ShardFaultCount>& aFaults)
{
  std::map<std::string, DomainFaultCount> sums;
  for (const auto& [place, fault] : aFaults) {
    DomainFaultCount& sum = sums[place.failureDomain];
    sum.failureDomain = place.failureDomain;
    sum.missing += fault.missing;
    sum.slow += fault.slow;
  }
  std::vector<DomainFaultCount> domains;
  domains.reserve(sums.size());
  for (auto& [name, sum] : sums) {
    domains.push_back(std::move(sum));
  }
  std::stable_sort(domains.begin(),
                   domains.end(),
                   [](const DomainFaultCount& aLeft, const DomainFaultCount& aRight) {
                     return aLeft.missing + aLeft.slow > aRight.missing + aRight.slow;
                   });
  return domains;
}

} // namespace

void
BurnMerger::ProfileSum::Add(const ProfileSum& aOther)
{
  for (std::size_t n = 0; n < kBurnWindowCount; ++n) {
    windows[n] += aOther.windows[n];
  }
  latencies.Merge(aOther.latencies);
  minutes.resize(kMinutes);
  hours.resize(kHours);
  AddSeries(minutes, aOther.minutes);
  AddSeries(hours, aOther.hours);
}

BurnMerger::BurnMerger(const std::vector<declaration::ProfileDeclaration>& aProfiles)
  : mProfiles(aProfiles)
{
}

bool
BurnMerger::Merge(const std::string& aVm, const json& aSnapshot)
{
  const bool isKnown = std::any_of(
    mVms.begin(), mVms.end(), [&aVm](const BurnHistory& aHistory) { return aHistory.vm == aVm; });
  if (isKnown) {
    return true;
  }
  std::map<std::string, ProfileSum> sums;
  std::vector<ShardFaultCount> faults;
  BurnHistory history{ aVm, 0 };
  try {
    if (aSnapshot.at("version").get<int>() != kBurnSnapshotVersion) {
      return false;
    }
    history.seconds = aSnapshot.at("historySeconds").get<std::uint64_t>();
    for (const json& profile : aSnapshot.at("profiles")) {
      sums[profile.at("profile").get<std::string>()].Add(ReadProfile(profile));
    }
    for (const json& fault : aSnapshot.value("shardFaults", json::array())) {
      faults.push_back(ReadFault(fault));
    }
  } catch (const json::exception&) {
    return false;
  }
  mVms.push_back(std::move(history));
  for (const auto& [name, sum] : sums) {
    mSums[name].Add(sum);
  }
  for (const ShardFaultCount& fault : faults) {
    ShardFaultCount& sum = mFaults[fault.place];
    sum.place = fault.place;
    sum.missing += fault.missing;
    sum.slow += fault.slow;
  }
  return true;
}

BurnMerger::ProfileSum
BurnMerger::ReadProfile(const json& aProfile)
{
  ProfileSum sum;
  for (std::size_t n = 0; n < kBurnWindowCount; ++n) {
    sum.windows[n] = aProfile.at("windows").at(n).get<BurnCounts>();
  }
  sum.latencies.MergeJson(aProfile.at("latencies"));
  sum.minutes = ReadSeries(aProfile, "minutes", kMinutes);
  sum.hours = ReadSeries(aProfile, "hours", kHours);
  return sum;
}

ShardFaultCount
BurnMerger::ReadFault(const json& aFault)
{
  ShardFaultCount fault;
  fault.place.index = aFault.at("index").get<std::string>();
  fault.place.shard = aFault.at("shard").get<std::uint32_t>();
  fault.place.failureDomain = aFault.at("failureDomain").get<std::string>();
  fault.missing = aFault.at("missing").get<std::uint64_t>();
  fault.slow = aFault.at("slow").get<std::uint64_t>();
  return fault;
}

BurnReport
BurnMerger::Report(std::string aDeployment,
                   std::int64_t aMadeAt,
                   std::vector<std::string> aMissingVms) const
{
  BurnReport report;
  report.deployment = std::move(aDeployment);
  report.madeAt = aMadeAt;
  report.vms = mVms;
  report.missingVms = std::move(aMissingVms);
  for (const declaration::ProfileDeclaration& profile : mProfiles) {
    report.profiles.push_back(ReportProfile(profile));
  }
  for (const auto& [place, fault] : mFaults) {
    report.worstShards.push_back(fault);
  }
  KeepWorstFaults(report.worstShards, kMaxWorstShards);
  report.worstDomains = SumByDomain(mFaults);
  return report;
}

ProfileReport
BurnMerger::ReportProfile(const declaration::ProfileDeclaration& aProfile) const
{
  const auto it = mSums.find(aProfile.name);
  const ProfileSum sum = it == mSums.end() ? ProfileSum() : it->second;
  ProfileReport report;
  report.profile = aProfile.name;
  report.latencyMilliseconds = aProfile.objective.latency.count();
  report.latencyShare = aProfile.objective.latencyShare;
  report.completeShare = aProfile.objective.completeShare;
  report.p99Milliseconds = sum.latencies.Quantile(kTailQuantile);
  report.minutes = sum.minutes;
  report.hours = sum.hours;
  BurnRates latencyRates{};
  BurnRates coverageRates{};
  for (std::size_t n = 0; n < kBurnWindowCount; ++n) {
    const BurnCounts& counts = sum.windows[n];
    const double latencyBurn = BurnRate(counts.slow, counts.total, report.latencyShare);
    const double coverageBurn = BurnRate(counts.incomplete, counts.total, report.completeShare);
    const BurnWindow window = kBurnWindows[n];
    const double known = CoveredShare(window);
    report.windows.push_back(
      { std::string(NameOf(window)), counts, latencyBurn, coverageBurn, known });
    // A short history cannot have spent the budget of a long window, whatever its burn rate.
    latencyRates[n] = latencyBurn * known;
    coverageRates[n] = coverageBurn * known;
  }
  report.latencyUrgency = NameOf(UrgencyOf(latencyRates));
  report.coverageUrgency = NameOf(UrgencyOf(coverageRates));
  report.latencyBudgetLeft = 1.0 - latencyRates.back();
  report.coverageBudgetLeft = 1.0 - coverageRates.back();
  return report;
}

double
BurnMerger::CoveredShare(BurnWindow aWindow) const
{
  if (mVms.empty()) {
    return 0.0;
  }
  const auto span = static_cast<double>(SpanOf(aWindow).count());
  double sum = 0.0;
  for (const BurnHistory& history : mVms) {
    sum += std::min(static_cast<double>(history.seconds) / span, 1.0);
  }
  return sum / static_cast<double>(mVms.size());
}

} // namespace skylarkwing::console
