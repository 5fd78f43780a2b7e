#pragma once

#include "bench/experiment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::bench {

/** @return the whole number in a text, or nothing when it is none or is out of bounds. */
std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText, std::uint64_t aMin, std::uint64_t aMax);

/** Reports a usage error of a command on standard error. @return the exit code for it. */
int
FailUsage(std::string_view aCommand, const std::string& aError);

/** @return a function that shows the progress of a run when standard error is a terminal, or none.
 */
ExperimentProgress
TerminalProgress(const std::string& aTitle, std::chrono::seconds aLength);

/** Ends the progress line of TerminalProgress(). */
void
EndProgress();

} // namespace skylarkwing::bench
