#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"

#include <map>
#include <string>
#include <vector>

namespace skylarkwing::caller {

/** Another daemon that may serve a request which this one can't. */
struct ForwardPeer
{
  /** Name of its VM. */
  std::string vm;
  /** "IP:port" where other daemons connect. */
  std::string address;
  std::string region;
  /** Share of the work, for instance its processor cores. */
  double weight = 1.0;
  /** Whether it is listed as cut off from the replicas; it may have a path again. */
  bool isPartitioned = false;
};

/** Why a peer did not serve a request; determines how long it is avoided. */
enum class PeerFailure
{
  /** No connection, or the connection was lost. */
  Unreachable,
  /** It is itself cut off from the replicas. */
  Partitioned,
  /** It refused because of its load, or found no replica with room. */
  Overloaded,
  /** It shuts down. */
  Stopping,
  /** It has an older configuration. */
  Outdated,
  /** It runs a build that doesn't serve other daemons' requests. */
  Unsupported,
};

/**
 * Chooses the daemon that serves the requests of a partitioned one.
 *
 * Spreads them by weight over the daemons in its region, because bytes between regions cost time
 * and money, and over the others when none of these is left; those that are listed as cut off come
 * last. A peer that did not serve a request gets no more for a while, so that the few that can
 * don't wait behind those that can't. Does no I/O.
 */
class PeerChoice
{
public:
  PeerChoice(core::TimerService& aTimers, core::RandomSource& aRandom, std::string aRegion);

  /**
   * @param aPeers daemons that are listed as able to serve requests.
   * @param aTried VMs that did not serve this request.
   * @param aRegions regions to which the request may be sent; empty means all.
   * @return the peer to ask next, null when there is none.
   */
  const ForwardPeer* Choose(const std::vector<ForwardPeer>& aPeers,
                            const std::vector<std::string>& aTried,
                            const std::vector<std::string>& aRegions);

  /** Records that a peer did not serve a request. */
  void RecordFailure(const std::string& aVm, PeerFailure aFailure);

private:
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  std::string mRegion;
  std::map<std::string, core::TimePoint> mAvoidedUntil;

  bool IsAvoided(const std::string& aVm) const;
};

} // namespace skylarkwing::caller
