#pragma once

#include "bench/experiment.h"

#include <string>
#include <vector>

namespace skylarkwing::bench {

/** @return the results as text for a terminal, a row for each run. */
std::string
ToTable(const std::vector<ExperimentResult>& aResults);

/** @return the results as comma-separated values, a row for each run. */
std::string
ToCsv(const std::vector<ExperimentResult>& aResults);

/** @return the results as one JSON document, with a point for each second. */
std::string
ToJsonText(const std::vector<ExperimentResult>& aResults);

/** @return one self-contained page: the table, and plots over time with both policies in each. */
std::string
ToHtml(const std::vector<ExperimentResult>& aResults);

} // namespace skylarkwing::bench
