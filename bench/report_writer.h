#pragma once

#include "bench/experiment.h"

#include <string>
#include <vector>

namespace skylarkwing::bench {

/** @return the results as a text table, one row per run. */
std::string
ToTable(const std::vector<ExperimentResult>& aResults);

/** @return the results as comma-separated values, one row per run. */
std::string
ToCsv(const std::vector<ExperimentResult>& aResults);

/** @return the results as one JSON document, with a data point per second. */
std::string
ToJsonText(const std::vector<ExperimentResult>& aResults);

/** @return a self-contained HTML page: the table, and plots over time that compare the policies. */
std::string
ToHtml(const std::vector<ExperimentResult>& aResults);

} // namespace skylarkwing::bench
