#pragma once

#include "declaration/declaration.h"

#include <string>
#include <vector>

namespace skylarkwing::declaration {

/** One change between two declarations, in an operator's words. */
struct Change
{
  /** What changes, such as "failure domain Ikeja goes out". */
  std::string what;
  /** The traffic that it touches, such as "new work for 30 replicas of 10 services". */
  std::string traffic;
};

/** @return everything that changes from one declaration to another, failure domains first. */
std::vector<Change>
DescribeChanges(const Declaration& aFrom, const Declaration& aTo);

/** @return the changes as lines of one text each. */
std::vector<std::string>
ToLines(const std::vector<Change>& aChanges);

} // namespace skylarkwing::declaration
