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

/** The secrets of the operators' API; an empty one admits nobody. */
struct OperatorTokens
{
  /** Admits to everything that shows the present state. */
  std::string read;
  /** Admits to changes, and to everything that the other admits to. */
  std::string change;
};

/** What a request to the operators' API wants to do. */
enum class OperatorRight
{
  Read,
  Change,
};

/** Why a request to the operators' API was refused before it was looked at. */
enum class AccessRefusal
{
  /** No token, or none that is known. */
  Unauthorized,
  /** The token admits to reading only. */
  Forbidden,
  /** A page of another site sent it. */
  CrossSite,
  /** The body is not declared as JSON, as a form of another site would do. */
  ContentType,
};

/** @return the name of a refusal, for answers, logs and metric labels. */
std::string_view
NameOf(AccessRefusal aRefusal);

/**
 * Compares a secret in a time that depends only on the length of what a client presented.
 *
 * @return whether they are equal; an empty secret equals nothing.
 */
bool
EqualsSecret(std::string_view aPresented, std::string_view aSecret);

/**
 * Decides who may use the operators' API, counts every refusal and logs when a client begins to be
 * refused.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class OperatorAccess
{
public:
  OperatorAccess(core::TimerService& aTimers, core::Metrics& aMetrics, OperatorTokens aTokens);

  /** @return why the request is refused, or nothing when it may go on. */
  std::optional<AccessRefusal> Check(const net::HttpRequest& aRequest, OperatorRight aRight);

private:
  core::TimerService& mTimers;
  core::Metrics& mMetrics;
  OperatorTokens mTokens;
  /** When each client, by address and refusal, was last refused. */
  std::map<std::string, core::TimePoint> mRefusedClients;

  std::optional<AccessRefusal> Decide(const net::HttpRequest& aRequest, OperatorRight aRight) const;
  void RecordRefusal(const net::HttpRequest& aRequest, AccessRefusal aRefusal);
  void ForgetQuietClients();
};

} // namespace skylarkwing::console
