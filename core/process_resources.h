#pragma once

#include "core/json_reader.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>

namespace skylarkwing::core {

/** Resources of the process; what it uses beyond them ends it, or fails. */
struct ProcessResources
{
  std::size_t memoryBytes = 0;
  std::uint32_t maxDescriptors = 0;
};

/** Reads "memoryMegabytes" and "descriptors" from an object of the settings. */
void
ReadResources(JsonReader& aReader, ProcessResources& aTarget);

/**
 * @return the resources that the system grants this process: the least of the machine's memory,
 *         the limit on the address space and those of its control groups; and the limit on
 *         descriptors.
 */
ProcessResources
DetectResources();

/**
 * @param aMembership file that names the process's control group, as /proc/self/cgroup.
 * @param aRoot folder in which the control groups are mounted.
 * @return the least memory limit of the group and those above it, in bytes; 0 if there is none.
 */
std::size_t
ReadGroupMemoryLimit(const std::filesystem::path& aMembership, const std::filesystem::path& aRoot);

} // namespace skylarkwing::core
