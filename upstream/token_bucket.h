#pragma once

#include "core/timer_service.h"

namespace skylarkwing::upstream {

/** A token bucket whose rate and size may differ from call to call. Does no I/O. */
class TokenBucket
{
public:
  /** Wait for a token that never comes. */
  static constexpr core::Duration kNever = std::chrono::hours{ 1 };

  /** @param aTokens what it holds at a time. */
  TokenBucket(double aTokens, core::TimePoint aNow)
    : mTokens(aTokens)
    , mRefilledAt(aNow)
  {
  }

  /**
   * Takes one token, if there is one.
   *
   * @param aRate tokens per second.
   * @param aSize most tokens that are saved up.
   */
  bool TryTake(double aRate, double aSize, core::TimePoint aNow);

  /**
   * Takes a number of tokens, whether they are there or not, so that the bucket may hold less than
   * none afterwards. A negative number gives tokens back.
   */
  void Charge(double aTokens, double aRate, double aSize, core::TimePoint aNow);

  /** @return the tokens that it holds at a time, also a part of one. */
  double Tokens(double aRate, double aSize, core::TimePoint aNow) const;

  /** @return the time until a number of tokens is there, at most kNever. */
  core::Duration TimeUntil(double aTokens, double aRate, double aSize, core::TimePoint aNow) const;

private:
  double mTokens;
  core::TimePoint mRefilledAt;
};

} // namespace skylarkwing::upstream
