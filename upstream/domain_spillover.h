#pragma once

#include "upstream/replica_choice.h"

#include <optional>
#include <vector>

namespace skylarkwing::upstream {

/** When requests may leave their failure domain. */
struct SpilloverSettings
{
  /** Price of a request to another failure domain of the region, as time. */
  core::Duration ownRegionPrice{};
  /** Price of a request to another region, as time. */
  core::Duration otherRegionPrice{};
  /** A replica elsewhere that uses a greater share of its slots keeps the rest for its own domain.
   */
  double maxUse = 0.7;
};

/** A service's requests begin to leave the failure domain, or have all returned. */
struct SpilloverChange
{
  bool isLeaving = false;
  double share = 0.0;
  /** Least expected times with price; nothing when no replica had room. */
  std::optional<core::Duration> own;
  std::optional<core::Duration> away;
  /** Ages of the load reports of those replicas. */
  std::optional<core::Duration> ownAge;
  std::optional<core::Duration> awayAge;
};

/**
 * Decides for one service which share of the requests may leave the own failure domain.
 *
 * The share rises while the own domain's replicas, with their queues, are expected to take longer
 * than those elsewhere with the price, and falls when they no longer do. In effect only among
 * replicas that report their speed. Not thread-safe.
 */
class DomainSpillover
{
public:
  /**
   * Greatest share: the rest stays, so that the times in the own domain remain known and the return
   * is noticed.
   */
  static constexpr double kMaxShare = 0.9;

  /** The share rises by this much per second when the own domain takes 2.7 times as long. */
  static constexpr double kRisePerSecond = 0.5;

  /** Slower than the rise, so that the share settles where both sides take equally long. */
  static constexpr double kFallPerSecond = 0.15;

  /** Logarithm of the ratio of the times that must be exceeded before the share rises. */
  static constexpr double kMargin = 0.1;

  /** @return whether spillover is in effect: a replica reports its speed. */
  static bool IsInEffect(const std::vector<ReplicaCandidate>& aReplicas);

  /**
   * Updates the share and applies it to the choice for one request.
   *
   * Sets the prices, and defers replicas elsewhere unless the request may leave. Nothing is
   * deferred when the own domain has no replica that answers.
   *
   * @param aReplicas the candidates, only those that the request may use.
   * @param aFraction a random number in [0, 1).
   * @return whether the own domain has a replica that answers.
   */
  bool Apply(std::vector<ReplicaCandidate>& aReplicas,
             const SpilloverSettings& aSettings,
             double aFraction,
             core::TimePoint aNow);

  /** @return the share of the requests that may leave. */
  double Share() const { return mShare; }

  /** @return the change since the last call; nothing when there is none. */
  std::optional<SpilloverChange> TakeChange();

private:
  double mShare = 0.0;
  /** Smoothed logarithm of the ratio of the own domain's time to that elsewhere. */
  double mExcess = 0.0;
  core::TimePoint mUpdatedAt{};
  /** Least measured work time at usual speed, smoothed; assumed for replicas without measured
   * times. */
  core::Duration mUsualWork{};
  bool mIsLeaving = false;
  std::optional<SpilloverChange> mChange;

  void AssumeWork(std::vector<ReplicaCandidate>& aReplicas, core::Duration aElapsed);
  void Update(const SpilloverChange& aTimes, core::Duration aElapsed);
};

} // namespace skylarkwing::upstream
