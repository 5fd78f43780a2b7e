#include "caller/customer_terms.h"

#include <algorithm>
#include <iterator>

namespace skylarkwing::caller {

namespace {

/**
 * Weight of a customer without a rate limit, and of callers without a key beside customers; the
 * others weigh as much as their rate. About the rate of a typical customer.
 */
constexpr double kWeightWithoutRate = 10.0;

} // namespace

std::optional<upstream::RequestTerms>
MakeRequestTerms(const declaration::Route& aRoute, const declaration::Customer* aCustomer)
{
  upstream::RequestTerms terms{ {}, aRoute.priority, aRoute.regions, kWeightWithoutRate };
  if (aCustomer == nullptr) {
    return terms;
  }
  terms.customer = aCustomer->name;
  if (aCustomer->ratePerSecond > 0.0) {
    terms.weight = aCustomer->ratePerSecond;
  }
  terms.priority = aCustomer->priority.value_or(aRoute.priority);
  const std::vector<std::string>& regions = aCustomer->regions;
  if (regions.empty()) {
    return terms;
  }
  if (aRoute.regions.empty()) {
    terms.regions = regions;
    return terms;
  }
  // An empty list would mean all regions.
  terms.regions.clear();
  std::copy_if(aRoute.regions.begin(),
               aRoute.regions.end(),
               std::back_inserter(terms.regions),
               [&regions](const std::string& aRegion) {
                 return std::find(regions.begin(), regions.end(), aRegion) != regions.end();
               });
  if (terms.regions.empty()) {
    return std::nullopt;
  }
  return terms;
}

} // namespace skylarkwing::caller
