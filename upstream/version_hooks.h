#pragma once

#include "core/timer_service.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::upstream {

/** The versions of a service that may get requests. */
struct VersionRule
{
  /** Gets all requests that are not chosen for the candidate. */
  std::string serving;
  /** Gets the requests for which VersionHooks::takesCandidate says so; nothing when there is none.
   */
  std::optional<std::string> candidate;
};

/** An attempt at a replica that has ended, as evidence about its version. */
struct VersionSample
{
  std::string service;
  std::string route;
  std::string version;
  /** Of the replica. */
  std::string failureDomain;
  bool hasFailed = false;
  /** Time since the request was sent, without opening a connection and without the round trip. */
  core::Duration workTime{};
};

/** Which versions get requests. Without these hooks a replica's version has no effect. */
struct VersionHooks
{
  /** @return the rule of a service, null when all versions may be used. */
  std::function<const VersionRule*(std::string_view aService)> ruleOf;
  /** Called for the first attempt of each request that reaches a service. */
  std::function<void(std::string_view aService)> onRequest;
  /** @return whether the next first attempt goes to the candidate if one of its replicas is free.
   */
  std::function<bool(std::string_view aService)> takesCandidate;
  /** Called for each attempt that is sent, whatever its kind. */
  std::function<void(std::string_view aService, const std::string& aVersion)> onSent;
  std::function<void(const VersionSample&)> onSample;
};

} // namespace skylarkwing::upstream
