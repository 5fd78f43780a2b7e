#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "net/http_message.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::console {

/** Bearer tokens of the operators' API; an empty token admits nobody. */
struct OperatorTokens
{
  /** Grants read access. */
  std::string read;
  /** Grants read access and changes. */
  std::string change;
};

/** The right that a request to the operators' API needs. */
enum class OperatorRight
{
  Read,
  Change,
};

/** Why a request to the operators' API was denied access. */
enum class AccessRefusal
{
  /** The token is missing or unknown. */
  Unauthorized,
  /** The token grants read access only. */
  Forbidden,
  /** The request was sent by a page of another site. */
  CrossSite,
  /** The body is not declared as JSON; HTML forms of other sites cannot declare it. */
  ContentType,
};

/** @return the name of a refusal, for answers, logs and metric labels. */
std::string_view
NameOf(AccessRefusal aRefusal);

/**
 * Compares a secret in a time that depends only on the length of the presented value.
 *
 * @return whether they are equal; an empty secret equals nothing.
 */
bool
MatchesSecret(std::string_view aPresented, std::string_view aSecret);

/**
 * Access control of the operators' API. Counts every refusal, and logs the first refusal of a
 * client for each reason.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class OperatorAccess
{
public:
  OperatorAccess(core::TimerService& aTimers, core::Metrics& aMetrics, OperatorTokens aTokens);

  /** @return why the request is refused, or nothing when it is allowed. */
  std::optional<AccessRefusal> Check(const net::HttpRequest& aRequest, OperatorRight aRight);

private:
  core::TimerService& mTimers;
  core::Metrics& mMetrics;
  OperatorTokens mTokens;
  /** When each client, by address and refusal, was last refused. */
  std::map<std::string, core::TimePoint> mRefusedClients;

  std::optional<AccessRefusal> Decide(const net::HttpRequest& aRequest, OperatorRight aRight) const;
  void RecordRefusal(const net::HttpRequest& aRequest, AccessRefusal aRefusal);
  void EvictRefusedClients();
};

} // namespace skylarkwing::console
