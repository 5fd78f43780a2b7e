#pragma once

#include "core/json_reader.h"
#include "core/log.h"
#include "core/process_resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::settings {

/** Local settings of one process: its identity, its addresses, and the services it depends on. */
struct Settings
{
  /** Name of the VM, unique in the deployment. */
  std::string vm;
  std::string failureDomain;
  std::string region;
  /** Daemons ignore messages of daemons with another cluster name. */
  std::string clusterName;
  /** "IP:port" on which callers reach this process. */
  std::string callerAddress;
  /** "IP:port" on which other daemons reach this process. */
  std::string peerAddress;
  /** "IP:port" on which operators reach this process. */
  std::string operatorAddress;
  /** "IP:port" of each server of the platform's store. */
  std::vector<std::string> storeEndpoints;
  /** "IP:port" of the platform's VM list. */
  std::string vmListAddress;
  /** File with the token for read access of operators. */
  std::string readTokenFile;
  /** File with the token for write access of operators. */
  std::string changeTokenFile;
  core::LogLevel logLevel = core::LogLevel::Info;
  core::LogFormat logFormat = core::LogFormat::Plain;
  /** Maximum time, in seconds, that a graceful shutdown waits for running work. */
  std::uint32_t stopGraceSeconds = 60;
  /** Nothing when the system's limits count. */
  std::optional<core::ProcessResources> resources;
  /** Seed for reproducible random decisions; taken from the system if absent. */
  std::optional<std::uint64_t> randomSeed;
};

/** Settings, or the faults that make the file invalid. */
struct LoadResult
{
  std::optional<Settings> settings;
  /** Each contains the file name, the path in it, and the expected and found values. */
  std::vector<std::string> faults;
};

/** Reads and validates a settings file. */
LoadResult
LoadSettings(const std::string& aPath);

/** Parses and validates settings; the faults do not contain a file name. */
LoadResult
ParseSettings(std::string_view aText);

} // namespace skylarkwing::settings
