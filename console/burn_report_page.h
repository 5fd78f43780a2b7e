#pragma once

#include "console/burn_report.h"

#include <string>

namespace skylarkwing::console {

/** @return the report as one HTML page with plots, which needs nothing from elsewhere. */
std::string
ToHtml(const BurnReport& aReport);

} // namespace skylarkwing::console
