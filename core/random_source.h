#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace skylarkwing::core {

/**
 * Seeded random number generator. It is passed to each component explicitly, so that a run can be
 * reproduced from its seed.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class RandomSource
{
public:
  /** @param aSeed equal seeds give equal sequences. */
  explicit RandomSource(std::uint64_t aSeed);

  /** @return a uniformly distributed number in [0, 1). */
  double Fraction();

  /** @return a uniformly distributed integer in [0, aBound); 0 when the bound is 0. */
  std::uint64_t Below(std::uint64_t aBound);

  /** @return a uniformly distributed number in aCentre * (1 - aRatio) to aCentre * (1 + aRatio). */
  double Jitter(double aCentre, double aRatio);

  /** @return 16 random hexadecimal digits, for incarnations and request IDs. */
  std::string Token();

private:
  std::mt19937_64 mEngine;
};

} // namespace skylarkwing::core
