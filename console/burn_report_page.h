#pragma once

#include "console/burn_report.h"

#include <string>

namespace skylarkwing::console {

/** @return the report as one self-contained HTML page with plots. */
std::string
ToHtml(const BurnReport& aReport);

} // namespace skylarkwing::console
