#include "caller/customer_terms.h"

#include <algorithm>
#include <iterator>

namespace skylarkwing::caller {

std::optional<upstream::RequestTerms>
MakeRequestTerms(const declaration::Route& aRoute, const declaration::Customer* aCustomer)
{
  upstream::RequestTerms terms{ {}, aRoute.priority, aRoute.regions };
  if (aCustomer == nullptr) {
    return terms;
  }
  terms.customer = aCustomer->name;
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
