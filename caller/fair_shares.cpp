#include "caller/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace skylarkwing::caller {

namespace {

/** Time constant of the average use. */
constexpr std::chrono::duration<double> kMemory{ 1.0 };

/** A customer with less use than this is forgotten. */
constexpr double kNegligibleUse = 0.02;

/** Least weight, so that uses stay finite. */
constexpr double kMinWeight = 1e-6;

} // namespace

void
FairShares::Usage::Update(core::TimePoint aNow)
{
  const double decay = std::exp(-((aNow - averageAt) / kMemory));
  average = static_cast<double>(running) + (average - static_cast<double>(running)) * decay;
  averageAt = aNow;
}

double
FairShares::Usage::Value() const
{
  // A customer with few requests has either none running or many times its average.
  return std::max(static_cast<double>(running) - 1.0, average);
}

void
FairShares::Begin(const std::string& aCustomer, double aWeight, core::TimePoint aNow)
{
  const auto [it, isNew] = mUsages.try_emplace(aCustomer);
  Usage& usage = it->second;
  if (isNew) {
    usage.averageAt = aNow;
  }
  usage.Update(aNow);
  usage.weight = std::max(aWeight, kMinWeight);
  ++usage.running;
}

void
FairShares::End(std::string_view aCustomer, core::TimePoint aNow)
{
  const auto it = mUsages.find(aCustomer);
  if (it != mUsages.end() && it->second.running > 0) {
    it->second.Update(aNow);
    --it->second.running;
  }
}

double
FairShares::UseOf(std::string_view aCustomer, double aWeight, core::TimePoint aNow)
{
  double weights = 0.0;
  double uses = 0.0;
  double own = 0.0;
  for (auto it = mUsages.begin(); it != mUsages.end();) {
    Usage& usage = it->second;
    usage.Update(aNow);
    if (usage.running == 0 && usage.average < kNegligibleUse) {
      it = mUsages.erase(it);
      continue;
    }
    if (it->first == aCustomer) {
      own = usage.Value();
    } else {
      weights += usage.weight;
      uses += usage.Value();
    }
    ++it;
  }
  if (weights <= 0.0) {
    return 1.0;
  }
  const double weight = std::max(aWeight, kMinWeight);
  const double mean = (uses + own) / (weights + weight);
  return own / weight / mean;
}

} // namespace skylarkwing::caller
