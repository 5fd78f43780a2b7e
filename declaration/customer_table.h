#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::declaration {

/** A customer, as one version of the configuration describes it. */
struct Customer
{
  std::string name;
  /** Goes before the priority of the route; 0 is the highest. */
  std::optional<std::uint32_t> priority;
  /** Regions in which its requests may be processed; empty means all. */
  std::vector<std::string> regions;
  /** Requests per second over all daemons; 0 means no limit. */
  double ratePerSecond = 0.0;
  /** Requests beyond the rate that may come at once. */
  double burst = 0.0;
};

/** The customers of one version of the configuration, found by API key. */
class CustomerTable
{
public:
  /**
   * Adds a customer with its keys.
   *
   * @return false when the name or one of the keys is taken; the table is unchanged then.
   */
  bool Add(Customer aCustomer, const std::vector<std::string>& aKeys);

  /** @return the customer that holds a key, null when no customer does. */
  const Customer* FindByKey(std::string_view aKey) const;

  /** @return the customer with a name, null when there is none. */
  const Customer* FindByName(std::string_view aName) const;

  /** @return the customers by name. */
  const std::map<std::string, Customer, std::less<>>& Customers() const { return mCustomers; }

private:
  std::map<std::string, Customer, std::less<>> mCustomers;
  /** The names of the customers by key. Keys must not be logged or passed on. */
  std::map<std::string, std::string, std::less<>> mNamesByKey;
};

} // namespace skylarkwing::declaration
