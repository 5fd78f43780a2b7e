#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace skylarkwing::core {

/**
 * Seeded random numbers. Each part is given one, so that an experiment repeats from its seed.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class RandomSource
{
public:
  /** @param aSeed the whole state; equal seeds give equal sequences. */
  explicit RandomSource(std::uint64_t aSeed);

  /** @return a number from 0 to below 1. */
  double Fraction();

  /** @return a whole number from 0 to below the bound; 0 when the bound is 0. */
  std::uint64_t Below(std::uint64_t aBound);

  /** @return a number spread evenly around a centre, within a share of it. For jitter. */
  double Around(double aCentre, double aShare);

  /** @return 16 hexadecimal digits. For incarnations and request identities. */
  std::string Token();

private:
  std::mt19937_64 mEngine;
};

} // namespace skylarkwing::core
