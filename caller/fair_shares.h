#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwing::caller {

/**
 * How much of this daemon each customer uses, in proportion to its weight.
 *
 * Answers the load at which one customer sends many times its usual rate: its requests fill the
 * daemon, and all customers would be refused alike. A customer's use is the number of its running
 * requests but one, or its average over about a second, whichever is greater, so that bursts count
 * at once, a single request doesn't count as one, and short gaps don't reset it. Does no I/O.
 */
class FairShares
{
public:
  /** Records the start of a request. */
  void Begin(const std::string& aCustomer, double aWeight, core::TimePoint aNow);

  /** Records the end of a request. */
  void End(std::string_view aCustomer, core::TimePoint aNow);

  /**
   * @return the customer's use for its weight, divided by that of all customers with any use; 1 is
   *         its fair share. 1 as well for the only customer, also when it has many requests.
   */
  double UseOf(std::string_view aCustomer, double aWeight, core::TimePoint aNow);

private:
  struct Usage
  {
    double weight = 1.0;
    std::size_t running = 0;
    /** Average number of running requests, at a time. */
    double average = 0.0;
    core::TimePoint averageAt{};

    void Update(core::TimePoint aNow);
    double Value() const;
  };

  std::map<std::string, Usage, std::less<>> mUsages;
};

} // namespace skylarkwing::caller
