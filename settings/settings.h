#pragma once

#include "core/json_reader.h"
#include "core/log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::settings {

/** What one process must know before it can ask anybody: where it is and whom to ask. */
struct Settings
{
  /** Name of the VM, unique over the deployment. */
  std::string vm;
  std::string failureDomain;
  std::string region;
  /** Daemons take messages only from daemons of the same cluster name. */
  std::string clusterName;
  /** "IP:port" where callers reach this process. */
  std::string callerAddress;
  /** "IP:port" where other daemons reach this process. */
  std::string peerAddress;
  /** "IP:port" where operators reach this process. */
  std::string operatorAddress;
  /** "IP:port" of each server of the platform's store. */
  std::vector<std::string> storeEndpoints;
  /** "IP:port" of the platform's VM list. */
  std::string vmListAddress;
  /** File with the token that lets operators read. */
  std::string readTokenFile;
  /** File with the token that lets operators change. */
  std::string changeTokenFile;
  core::LogLevel logLevel = core::LogLevel::Info;
  core::LogFormat logFormat = core::LogFormat::Plain;
  /** Longest time that a graceful shutdown waits for running work. */
  std::uint32_t stopGraceSeconds = 60;
  /** Makes the process's random decisions repeatable; drawn from the system if absent. */
  std::optional<std::uint64_t> randomSeed;
};

/** Settings, or every fault that keeps a file from being some. */
struct LoadResult
{
  std::optional<Settings> settings;
  /** Each names the file, the path inside it, what was expected and what was found. */
  std::vector<std::string> faults;
};

/** Reads and checks the settings in a file. */
LoadResult
LoadSettings(const std::string& aPath);

/** The same for text that was read already; a fault then names the path inside it only. */
LoadResult
ParseSettings(std::string_view aText);

} // namespace skylarkwing::settings
