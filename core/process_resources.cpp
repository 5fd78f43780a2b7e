#include "core/process_resources.h"

#include "core/parse_unsigned.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace skylarkwing::core {

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/** An idle process needs 11 MB, and its own calls as much again. */
constexpr IntegerRange kMegabytes{ 32, 1024UL * 1024 };
constexpr IntegerRange kDescriptors{ 256, 10UL * 1000 * 1000 };

/** @return a limit of the system, or the greatest value if there is none. */
std::uint64_t
ReadLimit(int aResource)
{
  rlimit limit{};
  return getrlimit(static_cast<__rlimit_resource>(aResource), &limit) == 0 &&
             limit.rlim_cur != RLIM_INFINITY
           ? limit.rlim_cur
           : std::numeric_limits<std::uint64_t>::max();
}

} // namespace

void
ReadResources(JsonReader& aReader, ProcessResources& aTarget)
{
  std::uint32_t megabytes = 0;
  aReader.Integer("memoryMegabytes", megabytes, kMegabytes, Presence::Required);
  aReader.Integer("descriptors", aTarget.maxDescriptors, kDescriptors, Presence::Required);
  aTarget.memoryBytes = megabytes * kMegabyte;
}

std::size_t
ReadGroupMemoryLimit(const std::filesystem::path& aMembership, const std::filesystem::path& aRoot)
{
  // The unified hierarchy is listed as "0::/path".
  const std::string prefix = "0::/";
  std::ifstream membership(aMembership);
  std::string line;
  while (std::getline(membership, line) && line.compare(0, prefix.size(), prefix) != 0) {
  }
  if (line.compare(0, prefix.size(), prefix) != 0) {
    return 0;
  }
  std::size_t least = 0;
  std::filesystem::path group = aRoot / line.substr(prefix.size());
  while (true) {
    std::ifstream file(group / "memory.max");
    std::string text;
    file >> text;
    // A group without a limit says "max".
    const auto limit = ParseUnsigned(text);
    if (limit && (least == 0 || *limit < least)) {
      least = *limit;
    }
    const std::filesystem::path relative = group.lexically_relative(aRoot);
    if (relative.empty() || relative == "." || *relative.begin() == "..") {
      return least;
    }
    group = group.parent_path();
  }
}

ProcessResources
DetectResources()
{
  ProcessResources resources;
  const auto pages = static_cast<std::uint64_t>(std::max(0L, sysconf(_SC_PHYS_PAGES)));
  const auto pageBytes = static_cast<std::uint64_t>(std::max(0L, sysconf(_SC_PAGESIZE)));
  std::uint64_t memory = std::min(pages * pageBytes, ReadLimit(RLIMIT_AS));
  const std::size_t group = ReadGroupMemoryLimit("/proc/self/cgroup", "/sys/fs/cgroup");
  if (group > 0) {
    memory = std::min<std::uint64_t>(memory, group);
  }
  resources.memoryBytes = std::max<std::uint64_t>(memory, kMegabytes.min * kMegabyte);
  resources.maxDescriptors = static_cast<std::uint32_t>(
    std::clamp<std::uint64_t>(ReadLimit(RLIMIT_NOFILE), kDescriptors.min, kDescriptors.max));
  return resources;
}

} // namespace skylarkwing::core
