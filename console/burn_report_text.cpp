#include "console/burn_report_text.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace skylarkwing::console {

namespace {

constexpr std::size_t kMaxListedVms = 16;
constexpr double kPercent = 100.0;

std::string
Percent(double aShare, int aDecimals)
{
  return Fixed(aShare * kPercent, aDecimals) + "%";
}

void
WriteProfile(std::ostream& aOut, const ProfileReport& aProfile)
{
  aOut << "\nprofile " << aProfile.profile << ": " << Percent(aProfile.latencyShare, 3)
       << " within " << aProfile.latencyMilliseconds << " ms, "
       << Percent(aProfile.completeShare, 3) << " complete; p99 "
       << Fixed(aProfile.p99Milliseconds, 0) << " ms\n";
  aOut << "  latency:  urgency " << aProfile.latencyUrgency << ", budget left "
       << Percent(aProfile.latencyBudgetLeft, 1) << '\n';
  aOut << "  coverage: urgency " << aProfile.coverageUrgency << ", budget left "
       << Percent(aProfile.coverageBudgetLeft, 1) << '\n';
  aOut << "  window     answers        late  incomplete  latency burn  coverage burn  known\n";
  for (const WindowReport& window : aProfile.windows) {
    aOut << "  " << std::left << std::setw(6) << window.window << std::right << std::setw(12)
         << window.counts.total << std::setw(12) << window.counts.slow << std::setw(12)
         << window.counts.incomplete << std::setw(14) << Fixed(window.latencyBurn, 2)
         << std::setw(15) << Fixed(window.coverageBurn, 2) << std::setw(7)
         << Percent(window.known, 0) << '\n';
  }
}

void
WriteFaults(std::ostream& aOut, const BurnReport& aReport)
{
  if (aReport.worstShards.empty()) {
    aOut << "\nno shard degraded an answer in the last hours\n";
    return;
  }
  aOut << "\nshards that degraded the most answers of the last hours\n";
  for (const ShardFaultCount& fault : aReport.worstShards) {
    const std::string& domain = fault.place.failureDomain;
    aOut << "  " << fault.place.index << " shard " << fault.place.shard << " in "
         << (domain.empty() ? "no failure domain" : domain) << ": missing " << fault.missing
         << ", slow " << fault.slow << '\n';
  }
  aOut << "failure domains that degraded the most answers\n";
  for (const DomainFaultCount& fault : aReport.worstDomains) {
    aOut << "  " << (fault.failureDomain.empty() ? "none left" : fault.failureDomain)
         << ": missing " << fault.missing << ", slow " << fault.slow << '\n';
  }
}

} // namespace

std::string
Fixed(double aValue, int aDecimals)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(aDecimals) << aValue;
  return out.str();
}

std::string
FormatUtc(std::int64_t aMilliseconds)
{
  const std::time_t seconds = aMilliseconds / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream out;
  out << std::put_time(&utc, "%Y-%m-%d %H:%M:%SZ");
  return out.str();
}

std::string
FormatSpan(std::uint64_t aSeconds)
{
  constexpr std::uint64_t kMinute = 60;
  constexpr std::uint64_t kHour = 60 * kMinute;
  constexpr std::uint64_t kDay = 24 * kHour;
  const auto seconds = static_cast<double>(aSeconds);
  if (aSeconds >= kDay) {
    return Fixed(seconds / kDay, 1) + " d";
  }
  if (aSeconds >= kHour) {
    return Fixed(seconds / kHour, 1) + " h";
  }
  if (aSeconds >= kMinute) {
    return Fixed(seconds / kMinute, 1) + " min";
  }
  return std::to_string(aSeconds) + " s";
}

std::string
DescribeHistory(const BurnReport& aReport)
{
  if (aReport.vms.empty()) {
    return "It is based on no VM: no counts are known.";
  }
  std::vector<BurnHistory> vms = aReport.vms;
  std::sort(vms.begin(), vms.end(), [](const BurnHistory& aLeft, const BurnHistory& aRight) {
    return aLeft.seconds < aRight.seconds;
  });
  std::ostringstream out;
  out << "It is based on " << vms.size() << (vms.size() == 1 ? " VM" : " VMs")
      << ", shortest first:";
  for (std::size_t n = 0; n < vms.size() && n < kMaxListedVms; ++n) {
    out << (n == 0 ? " " : ", ") << vms[n].vm << ' ' << FormatSpan(vms[n].seconds);
  }
  if (vms.size() > kMaxListedVms) {
    out << " and " << vms.size() - kMaxListedVms << " more up to "
        << FormatSpan(vms.back().seconds);
  }
  out << ". What VMs counted before they were replaced is lost.";
  if (!aReport.missingVms.empty()) {
    out << " No counts came from " << aReport.missingVms.size() << ":";
    for (std::size_t n = 0; n < aReport.missingVms.size() && n < kMaxListedVms; ++n) {
      out << ' ' << aReport.missingVms[n];
    }
    out << '.';
  }
  return out.str();
}

std::string
ToText(const BurnReport& aReport)
{
  std::ostringstream out;
  out << "service-level burn of " << aReport.deployment << " at " << FormatUtc(aReport.madeAt)
      << '\n'
      << DescribeHistory(aReport) << '\n';
  for (const ProfileReport& profile : aReport.profiles) {
    WriteProfile(out, profile);
  }
  WriteFaults(out, aReport);
  return out.str();
}

} // namespace skylarkwing::console
