#pragma once

#include "core/timer_service.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace skylarkwing::caller {

/** What a daemon tells the coordinator of the quotas. */
struct QuotaReport
{
  /** VM of the daemon. */
  std::string vm;
  /** Whether the daemon reports to another coordinator from now on. */
  bool isLast = false;
  /** Requests by customer that were admitted without a token since the last report; negative when
   * more of them turned out not to run than were admitted. */
  std::map<std::string, std::int64_t> used;
  /** Requests by customer that wait for a token. */
  std::map<std::string, std::uint32_t> asked;
};

/** The coordinator's answer to a report. */
struct QuotaReply
{
  /** Tokens for the requests that wait, by customer; fewer than asked for when it is short. */
  std::map<std::string, std::uint32_t> granted;
  /** When the next token is expected for a customer that got fewer than it asked for. */
  std::map<std::string, core::Duration> nextToken;
  /** Customers whose requests need a token before they are admitted. */
  std::set<std::string, std::less<>> shortCustomers;
};

} // namespace skylarkwing::caller
