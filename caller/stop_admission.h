#pragma once

#include "core/timer_service.h"

#include <optional>

namespace skylarkwing::caller {

/**
 * Decides which requests a daemon still accepts while it shuts down.
 *
 * Callers keep its address for seconds after it has left the directory. In the first half of the
 * grace period all of their requests are accepted; most end long before their deadlines. In the
 * second half only those whose deadline lies before the daemon exits, so that none is cut off.
 */
class StopAdmission
{
public:
  /** Begins the shutdown. @param aExit when the process exits. */
  void Begin(core::TimePoint aNow, core::TimePoint aExit);

  /** @return when the second half begins, nothing while the daemon doesn't shut down. */
  std::optional<core::TimePoint> LateFrom() const { return mLateFrom; }

  /**
   * @param aDeadline when the request ends at the latest.
   * @return nothing when the request is accepted, otherwise the delay before its caller may retry.
   */
  std::optional<core::Duration> Refuse(core::TimePoint aNow, core::TimePoint aDeadline) const;

private:
  std::optional<core::TimePoint> mLateFrom;
  core::TimePoint mExit{};
};

} // namespace skylarkwing::caller
