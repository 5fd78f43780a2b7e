#pragma once

#include "console/burn_report.h"

#include <string>

namespace skylarkwing::console {

/** @return the report for a terminal, 100 columns wide. */
std::string
ToText(const BurnReport& aReport);

/** @return a number with a fixed count of decimals. */
std::string
Fixed(double aValue, int aDecimals);

/** @return a time of milliseconds since the Unix epoch, in UTC, such as "2026-12-04 03:00:00Z". */
std::string
FormatUtc(std::int64_t aMilliseconds);

/** @return a duration in the largest unit that is not longer than it, such as "2.5 h". */
std::string
FormatSpan(std::uint64_t aSeconds);

/** @return a text on the VMs and the length of history that the report is based on. */
std::string
DescribeHistory(const BurnReport& aReport);

} // namespace skylarkwing::console
