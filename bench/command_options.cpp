#include "bench/command_options.h"

#include "core/exit_code.h"

#include <charconv>
#include <iomanip>
#include <iostream>

#include <unistd.h>

namespace skylarkwing::bench {

std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText, std::uint64_t aMin, std::uint64_t aMax)
{
  std::uint64_t n = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  const bool isWhole = result.ec == std::errc{} && result.ptr == aText.data() + aText.size();
  if (!isWhole || n < aMin || n > aMax) {
    return std::nullopt;
  }
  return n;
}

int
FailUsage(std::string_view aCommand, const std::string& aError)
{
  std::cerr << "skylarkwing " << aCommand << ": " << aError << "; see skylarkwing " << aCommand
            << " --help\n";
  return core::kExitUsage;
}

ExperimentProgress
TerminalProgress(const std::string& aTitle, std::chrono::seconds aLength)
{
  if (isatty(STDERR_FILENO) == 0) {
    return {};
  }
  return [aTitle, aLength](std::chrono::seconds aElapsed, const LoadResult& aSoFar) {
    constexpr double kP99 = 0.99;
    constexpr double kPercent = 100.0;
    std::cerr << '\r' << aTitle << "  " << aElapsed.count() << '/' << aLength.count() << " s  "
              << aSoFar.answered << '/' << aSoFar.sent << " answered  p99 " << std::fixed
              << std::setprecision(1) << aSoFar.LatencyMs(kP99) << " ms  coverage "
              << kPercent * aSoFar.Coverage() << " %   " << std::flush;
  };
}

void
EndProgress()
{
  if (isatty(STDERR_FILENO) != 0) {
    std::cerr << '\n';
  }
}

} // namespace skylarkwing::bench
