#include "caller/weighted_choice.h"

#include <algorithm>

namespace skylarkwing::caller {

std::size_t
ChooseByWeight(const std::vector<declaration::WeightedService>& aServices, double aFraction)
{
  double total = 0.0;
  for (const declaration::WeightedService& service : aServices) {
    total += std::max(0.0, service.weight);
  }
  double remaining = aFraction * total;
  std::size_t chosen = 0;
  for (std::size_t n = 0; n < aServices.size(); ++n) {
    const double weight = std::max(0.0, aServices[n].weight);
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

} // namespace skylarkwing::caller
