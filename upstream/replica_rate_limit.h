#pragma once

#include "core/timer_service.h"

#include <optional>
#include <string_view>

namespace skylarkwing::upstream {

/** What an answer changes in the rate limit of its replica. */
enum class RateLimitChange
{
  None,
  Began,
  Changed,
  Ended,
};

/** @return the name of a change, for logs. */
std::string_view
NameOf(RateLimitChange aChange);

/**
 * The limit that a replica sets on the requests per second from all daemons together, as its
 * answers tell it.
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
   */
  RateLimitChange Apply(std::optional<double> aMaxRate,
                        core::TimePoint aSentAt,
                        core::TimePoint aNow);

  /** @return requests per second from all daemons together; nothing when there is no limit. */
  std::optional<double> MaxRate() const { return mMaxRate; }

private:
  std::optional<double> mMaxRate;
  /** When an answer last told the present limit. */
  core::TimePoint mReceivedAt{};
};

} // namespace skylarkwing::upstream
