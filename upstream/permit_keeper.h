#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace skylarkwing::upstream {

/** How permits are had; one daemon holds a permit at a time. */
struct PermitHooks
{
  /** Asks for the permit of that name; false when it can't be had now. */
  std::function<core::Task<bool>(std::string)> acquire;
  /** Whether the permit is certainly held at this moment. */
  std::function<bool(const std::string&)> isHeld;
  std::function<void(const std::string&)> release;
};

/** Acquires, judges and releases one replica's permit for its worker. */
class PermitKeeper
{
public:
  PermitKeeper(core::TimerService& aTimers,
               core::RandomSource& aRandom,
               std::string aName,
               PermitHooks aHooks);

  /** @return whether this worker acquired the permit and it is still held at this moment. */
  bool IsHeld() const;

  /** How long a part may wait for an answer about the permit. */
  static constexpr std::chrono::milliseconds kMaxWait{ 100 };

  /** @return whether nobody should wait for the permit: it was refused lately, or takes long. */
  bool IsRefused() const;

  /** @return whether it may be asked for now: it is not being asked for, nor just refused. */
  bool MayRequest() const;

  /** Asks for the permit; the caller keeps this alive. @return whether it was granted. */
  core::Task<bool> Acquire();

  /** Gives the permit back if this worker acquired it. */
  void Release();

private:
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  std::string mName;
  PermitHooks mHooks;
  bool mIsRequesting = false;
  bool mIsAcquired = false;
  core::TimePoint mRequestedAt;
  core::TimePoint mNextTry;
};

} // namespace skylarkwing::upstream
