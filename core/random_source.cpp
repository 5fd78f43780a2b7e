#include "core/random_source.h"

#include "core/hex_text.h"

namespace skylarkwing::core {

RandomSource::RandomSource(std::uint64_t aSeed)
  : mEngine(aSeed)
{
}

double
RandomSource::Fraction()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
}

std::uint64_t
RandomSource::Below(std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
}

double
RandomSource::Jitter(double aCentre, double aRatio)
{
  return aCentre * (1.0 + aRatio * (2.0 * Fraction() - 1.0));
}

std::string
RandomSource::Token()
{
  return ToHex(mEngine());
}

} // namespace skylarkwing::core
