#include "declaration/customer_table.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::declaration {

bool
CustomerTable::Add(Customer aCustomer, const std::vector<std::string>& aKeys)
{
  const auto isTaken = [this](const std::string& aKey) { return mNamesByKey.count(aKey) > 0; };
  if (mCustomers.count(aCustomer.name) > 0 || std::any_of(aKeys.begin(), aKeys.end(), isTaken)) {
    return false;
  }
  for (const std::string& key : aKeys) {
    mNamesByKey.emplace(key, aCustomer.name);
  }
  std::string name = aCustomer.name;
  mCustomers.emplace(std::move(name), std::move(aCustomer));
  return true;
}

const Customer*
CustomerTable::FindByKey(std::string_view aKey) const
{
  const auto it = mNamesByKey.find(aKey);
  return it == mNamesByKey.end() ? nullptr : FindByName(it->second);
}

const Customer*
CustomerTable::FindByName(std::string_view aName) const
{
  const auto it = mCustomers.find(aName);
  return it == mCustomers.end() ? nullptr : &it->second;
}

} // namespace skylarkwing::declaration
