#pragma once

#include "declaration/declaration.h"

#include <string>
#include <vector>

namespace skylarkwing::declaration {

/** One change between two declarations, in operators' terms. */
struct Change
{
  /** The change, such as "failure domain Ikeja goes out". */
  std::string what;
  /** The traffic it affects, such as "new work for 30 replicas of 10 services". */
  std::string traffic;
};

/** @return the changes from one declaration to another, failure domains first. */
std::vector<Change>
DescribeChanges(const Declaration& aFrom, const Declaration& aTo);

/** @return one line of text for each change. */
std::vector<std::string>
ToLines(const std::vector<Change>& aChanges);

} // namespace skylarkwing::declaration
