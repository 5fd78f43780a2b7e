#pragma once

#include "bench/experiment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::bench {

/** @return the whole number that a text is, when it lies within the bounds. */
std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText, std::uint64_t aLeast, std::uint64_t aMost);

/** Reports wrong usage of a command on standard error. @return the exit code for it. */
int
FailUsage(std::string_view aCommand, const std::string& aWhat);

/** @return a function that shows on a terminal how far a run is, and nothing elsewhere. */
ExperimentProgress
TerminalProgress(const std::string& aTitle, std::chrono::seconds aLength);

/** Ends the line that TerminalProgress() wrote. */
void
EndProgress();

} // namespace skylarkwing::bench
