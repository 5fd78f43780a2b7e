#include "caller/weighted_choice.h"

#include <algorithm>

namespace skylarkwing::caller {

std::size_t
ChooseByWeight(const std::vector<double>& aWeights, double aFraction)
{
  double total = 0.0;
  for (const double weight : aWeights) {
    total += std::max(0.0, weight);
  }
  double remaining = aFraction * total;
  std::size_t chosen = 0;
  for (std::size_t n = 0; n < aWeights.size(); ++n) {
    const double weight = std::max(0.0, aWeights[n]);
    if (weight <= 0.0) {
      continue;
    }
    chosen = n;
    if (remaining < weight) {
      break;
    }
    remaining -= weight;
  }
  return chosen;
}

std::size_t
ChooseByWeight(const std::vector<declaration::WeightedService>& aServices, double aFraction)
{
  std::vector<double> weights;
  weights.reserve(aServices.size());
  for (const declaration::WeightedService& service : aServices) {
    weights.push_back(service.weight);
  }
  return ChooseByWeight(weights, aFraction);
}

} // namespace skylarkwing::caller
