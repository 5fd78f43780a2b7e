#pragma once

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** One VM in the platform's list, which lags behind the actual state. */
struct VmRecord
{
  std::string vm;
  std::string failureDomain;
  std::string region;
  /** "IP:port" for callers. */
  std::string callerAddress;
  /** "IP:port" for other daemons. */
  std::string peerAddress;
  /** Whether the platform is about to stop it. */
  bool isLeaving = false;
};

/**
 * Parses the answer to `GET /vms`.
 *
 * @param aBody the response body.
 * @return the VMs, or nothing when any entry is malformed: with a partial list, VMs that still run
 *         would look removed.
 */
std::optional<std::vector<VmRecord>>
ParseVmList(const std::string& aBody);

} // namespace skylarkwing::membership
