#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace skylarkwing::upstream {

/** The callbacks for permits; one daemon holds a permit at a time. */
struct PermitHooks
{
  /** Requests the permit of that name; false when it can't be had now. */
  std::function<core::Task<bool>(std::string)> acquire;
  /** Whether the permit is certainly held at this moment. */
  std::function<bool(const std::string&)> isHeld;
  std::function<void(const std::string&)> release;
};

/** Acquires and releases one replica's permit for its worker. */
class PermitKeeper
{
public:
  PermitKeeper(core::TimerService& aTimers,
               core::RandomSource& aRandom,
               std::string aName,
               PermitHooks aHooks);

  /** @return whether this worker acquired the permit and it is still held. */
  bool IsHeld() const;

  /** Time for which a part may wait for the permit. */
  static constexpr std::chrono::milliseconds kMaxWait{ 100 };

  /**
   * @return whether no part should wait for the permit: it was refused recently, or the request
   *         takes long.
   */
  bool IsRefused() const;

  /**
   * @return whether the permit may be requested now: no request is running, and none was refused
   *         recently.
   */
  bool MayRequest() const;

  /** Requests the permit; the caller keeps this object alive. @return whether it was granted. */
  core::Task<bool> Acquire();

  /** Releases the permit if this worker acquired it. */
  void Release();

private:
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  std::string mName;
  PermitHooks mHooks;
  bool mIsRequesting = false;
  bool mIsAcquired = false;
  core::TimePoint mRequestedAt;
  core::TimePoint mNextRequest;
};

} // namespace skylarkwing::upstream
