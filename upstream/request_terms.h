#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/** For whom a request is served, and under which constraints; the same for all its parts. */
struct RequestTerms
{
  /** Name of the customer; empty for callers without a key. */
  std::string customer;
  /** 0 is the most important. */
  std::uint32_t priority = 0;
  /** Regions in which the request may be processed; empty means all. */
  std::vector<std::string> regions;
  /** The customer's part of scarce capacity, in proportion to those of other customers. */
  double weight = 1.0;
};

} // namespace skylarkwing::upstream
