#include "caller/stop_admission.h"

namespace skylarkwing::caller {

namespace {

/** Time to write an answer that is made at the deadline. */
constexpr core::Duration kAnswerTime = std::chrono::milliseconds{ 100 };

/** Other daemons take the request at once. */
constexpr core::Duration kRetryAfter = std::chrono::milliseconds{ 10 };

} // namespace

void
StopAdmission::Begin(core::TimePoint aNow, core::TimePoint aExit)
{
  mLateFrom = aNow + (aExit - aNow) / 2;
  mExit = aExit;
}

std::optional<core::Duration>
StopAdmission::Refuse(core::TimePoint aNow, core::TimePoint aDeadline) const
{
  const bool isLate = mLateFrom && aNow >= *mLateFrom;
  if (!isLate || aDeadline + kAnswerTime <= mExit) {
    return std::nullopt;
  }
  return kRetryAfter;
}

} // namespace skylarkwing::caller
