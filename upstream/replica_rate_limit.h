#pragma once

#include "core/timer_service.h"
#include "upstream/token_bucket.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkwing::upstream {

/** What an answer changes in the rate limit of its replica. */
enum class RateLimitChange
{
  None,
  Began,
  Changed,
  Ended,
  /** The answer names a limit that can't be read; the known one stays. */
  Unreadable,
};

/** @return the name of a change, for logs. */
std::string_view
NameOf(RateLimitChange aChange);

/** This daemon's share of a rate that all daemons keep together. */
struct RateShare
{
  /** 0 to 1. */
  double fraction = 0.0;
  /** Number of daemons that have a share. */
  std::size_t senders = 1;
};

/**
 * The limit that a replica sets on the requests per second from all daemons together, as its
 * answers tell it.
 *
 * The daemons split the limit without any messages: each takes its share from a bucket of its own.
 * The buckets together hold at most what the replica takes in one second, and a few requests.
 *
 * Answers overtake each other. A lower limit counts at once; a higher one, or the end of the limit,
 * only by an answer to a request that was sent after the present limit was received. Does no I/O.
 */
class ReplicaRateLimit
{
public:
  /**
   * Applies the state that an answer tells.
   *
   * @param aMaxRate requests per second, nothing for no limit.
   * @param aSentAt when the request was sent that the answer belongs to.
   * @param aJitter a random number from 0 to 1 that spreads the daemons' first requests.
   */
  RateLimitChange Apply(std::optional<double> aMaxRate,
                        core::TimePoint aSentAt,
                        double aJitter,
                        core::TimePoint aNow);

  /** Ends a limit that was last told before another daemon saw that there is none. */
  RateLimitChange ApplyEnd(core::TimePoint aEndedAt);

  /** @return when an answer told that there is no limit any more; nothing while there is one. */
  std::optional<core::TimePoint> EndedAt() const { return mEndedAt; }

  /** @return requests per second from all daemons together; nothing when there is no limit. */
  std::optional<double> MaxRate() const { return mMaxRate; }

  /**
   * @return how many daemons may share the limit: each may have one request saved up, and all of
   *         those may arrive together.
   */
  std::size_t MaxSenders() const;

  /**
   * Takes one request from this daemon's share of the limit.
   *
   * @return whether the request may be sent; true without a limit.
   */
  bool TryTake(const RateShare& aShare, core::TimePoint aNow);

  /**
   * @return whether this daemon has used so little of its share that it can spare a request for
   *         one that is under way elsewhere; true without a limit.
   */
  bool HasSpare(const RateShare& aShare, core::TimePoint aNow) const;

  /**
   * @return whether nothing has been sent for so long that the limit may have ended unnoticed,
   *         since other replicas were preferred.
   */
  bool IsOutdated(core::TimePoint aNow) const;

  /** @return requests that this daemon may send now, also a part of one. */
  double Available(const RateShare& aShare, core::TimePoint aNow) const;

  /** @return the time until this daemon may send a request, at most TokenBucket::kNever. */
  core::Duration TimeUntilNext(const RateShare& aShare, core::TimePoint aNow) const;

  /** @return requests per second that are this daemon's share. */
  double RateOf(const RateShare& aShare) const;

private:
  std::optional<double> mMaxRate;
  TokenBucket mBucket{ 0.0, {} };
  /** When an answer last told the present limit. */
  core::TimePoint mReceivedAt{};
  std::optional<core::TimePoint> mEndedAt;
  core::TimePoint mLastSentAt{};

  double BurstOf(const RateShare& aShare) const;
};

/** What this daemon may send to one replica. */
struct RateSource
{
  /** Requests that may be sent now, also a part of one. */
  double available = 0.0;
  /** Requests per second that are added. */
  double rate = 0.0;
};

/**
 * @param aAhead requests that are sent before this one.
 * @return the time until a request may be sent to one of several replicas, at most
 *         TokenBucket::kNever.
 */
core::Duration
WaitInQueue(std::vector<RateSource> aSources, std::size_t aAhead);

} // namespace skylarkwing::upstream
