#pragma once

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** One VM in the platform's list, which lags behind the truth. */
struct VmRecord
{
  std::string vm;
  std::string failureDomain;
  std::string region;
  /** "IP:port" for callers. */
  std::string callerAddress;
  /** "IP:port" for other daemons. */
  std::string peerAddress;
  /** The platform is about to stop it. */
  bool isLeaving = false;
};

/**
 * Reads the answer of `GET /vms`.
 *
 * @param aBody the answer's body.
 * @return the VMs, or nothing when any part of it is not understood: half a list would make live
 *         VMs look gone.
 */
std::optional<std::vector<VmRecord>>
ParseVmList(const std::string& aBody);

} // namespace skylarkwing::membership
