#include "console/status_text.h"

#include "console/burn_report_text.h"

#include <sstream>

namespace skylarkwing::console {

namespace {

std::string
JoinCounts(const std::vector<StateCount>& aCounts)
{
  std::string text;
  for (const StateCount& entry : aCounts) {
    if (entry.count > 0) {
      text += (text.empty() ? "" : ", ") + std::to_string(entry.count) + " " + entry.state;
    }
  }
  return text.empty() ? "none" : text;
}

template<typename T>
std::string
Join(const std::vector<T>& aItems)
{
  std::ostringstream out;
  for (std::size_t n = 0; n < aItems.size(); ++n) {
    out << (n == 0 ? "" : ", ") << aItems[n];
  }
  return out.str();
}

void
WriteDomain(std::ostream& aOut, const FailureDomainStatus& aDomain, std::uint64_t aGeneration)
{
  aOut << "  " << aDomain.name << ": " << (aDomain.out ? "OUT" : "in");
  if (aDomain.out) {
    aOut << " (" << (aDomain.reason.empty() ? "no reason given" : aDomain.reason) << ')';
  }
  aOut << "; upstreams: " << JoinCounts(aDomain.upstreams) << "; " << aDomain.inFlight
       << " requests running; " << aDomain.vmCount << " VMs\n";
  for (const VmStatus& vm : aDomain.vms) {
    const bool isBehind = vm.generation < aGeneration;
    if (vm.state != "alive" || isBehind) {
      aOut << "    " << vm.vm << " is " << vm.state << ", at generation " << vm.generation << '\n';
    }
  }
}

void
WriteService(std::ostream& aOut, const ServiceStatus& aService)
{
  aOut << "  " << aService.index << '/' << aService.service << ": "
       << (LacksShards(aService) ? "LACKS SHARDS " : "") << aService.shardsHeld << " of "
       << aService.shards << " shards";
  if (!aService.missingShards.empty()) {
    aOut << " (missing " << Join(aService.missingShards) << ')';
  }
  aOut << "; replicas: " << JoinCounts(aService.replicas) << "; load " << aService.inFlight << '/'
       << aService.allowance << ", " << aService.queued << " waiting; p99 "
       << Fixed(aService.p99Milliseconds, 1) << " ms\n";
}

} // namespace

std::string
DescribeForce(const ClusterStatus& aStatus)
{
  std::ostringstream out;
  out << "generation " << aStatus.generation << " in force at " << aStatus.inForce << " of "
      << aStatus.members << " VMs";
  if (!aStatus.missingVms.empty()) {
    out << "; missing: " << Join(aStatus.missingVms);
  }
  return out.str();
}

std::string
ToText(const ClusterStatus& aStatus)
{
  std::ostringstream out;
  out << aStatus.deployment << ", as " << aStatus.vm << " sees it\n"
      << DescribeForce(aStatus) << "\nstore " << (aStatus.storeReachable ? "reachable" : "OUT")
      << (aStatus.isolated ? "; THIS DAEMON IS CUT OFF and takes no new work" : "")
      << "\nfailure domains\n";
  for (const FailureDomainStatus& domain : aStatus.failureDomains) {
    WriteDomain(out, domain, aStatus.generation);
  }
  out << "services (" << aStatus.services.size() << " of " << aStatus.serviceCount << ")\n";
  for (const ServiceStatus& service : aStatus.services) {
    WriteService(out, service);
  }
  out << "profiles (burn over 5 min and 1 h)\n";
  for (const ProfileStatus& profile : aStatus.profiles) {
    out << "  " << profile.profile << ": " << Fixed(profile.queriesPerSecond, 1)
        << " queries/s, p99 " << Fixed(profile.p99Milliseconds, 0) << " ms, latency "
        << Fixed(profile.latencyBurn5m, 2) << " and " << Fixed(profile.latencyBurn1h, 2)
        << ", coverage " << Fixed(profile.coverageBurn5m, 2) << " and "
        << Fixed(profile.coverageBurn1h, 2) << "; urgency " << profile.latencyUrgency << " and "
        << profile.coverageUrgency << '\n';
  }
  for (const QuarantineStatus& entry : aStatus.quarantine) {
    out << "quarantined " << entry.fingerprint << " on " << entry.index << ": crashed "
        << Join(entry.crashedReplicas) << '\n';
  }
  return out.str();
}

std::string
ToText(const declaration::ChangeRecord& aRecord)
{
  std::string text = FormatUtc(aRecord.writtenAt) + "  generation " +
                     std::to_string(aRecord.generation) + " by " + aRecord.author;
  text += aRecord.reason.empty() ? "\n" : ": " + aRecord.reason + "\n";
  for (const std::string& line : aRecord.changes) {
    text += "  " + line + "\n";
  }
  return text;
}

std::string
ToText(const ChangeOutcome& aOutcome)
{
  std::string text(NameOf(aOutcome.verdict));
  if (aOutcome.verdict == ChangeVerdict::Accepted) {
    return text + " as generation " + std::to_string(aOutcome.generation) + "\n";
  }
  text += aOutcome.reason.empty() ? "\n" : ": " + aOutcome.reason + "\n";
  for (const declaration::Fault& fault : aOutcome.faults) {
    text += core::ToText(fault) + "\n";
  }
  for (const std::string& harm : aOutcome.harms) {
    text += "harm: " + harm + "\n";
  }
  for (const declaration::ChangeRecord& record : aOutcome.conflicts) {
    text += ToText(record);
  }
  return text;
}

} // namespace skylarkwing::console
