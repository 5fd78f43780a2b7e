#pragma once

#include "caller/caller_query.h"
#include "caller/caller_response.h"
#include "caller/refusal.h"
#include "caller/run_table.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "declaration/declaration.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/peer_bus.h"
#include "query/query_request.h"
#include "query/query_result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylarkwing::caller {

/** Outcome of one query of a caller, for service level accounting. */
struct QueryOutcome
{
  std::string profile;
  std::string index;
  /** Time from the parsed query to its answer or refusal. */
  core::Duration latency{};
  bool isRefused = false;
  /** Null when the query was refused before it ran. */
  const query::QueryResult* result = nullptr;
};

/** Functions of the daemon that a caller frontend uses. */
struct CallerHooks
{
  /** @return the active configuration, nullptr when there is none. */
  std::function<std::shared_ptr<const declaration::Configuration>()> configuration;
  std::function<core::Task<query::QueryResult>(query::QueryRequest)> runQuery;
  /** @return the daemons that callers should use, those close to the failure domain first. */
  std::function<EntryPointsResponse(const std::optional<std::string>& aFailureDomain)> entryPoints;
  /** @return false while the daemon is isolated and must not start new work. */
  std::function<bool()> mayTakeNewWork;
  /** @return whether the daemon is stopping. */
  std::function<bool()> isLeaving;
  /** @return the number of daemons that share the profile limits, including this one. */
  std::function<std::size_t()> liveMemberCount;
  /** @return the incarnation of the daemon on a VM, nothing when it is not a member. */
  std::function<std::optional<std::string>(const std::string& aVm)> incarnationOf;
  /** @return the epoch of the request identities that this daemon issues now; never decreases. */
  std::function<std::uint64_t()> identityEpoch;
  /** Sends a message to another daemon. @return false when it was certainly not sent. */
  std::function<bool(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)>
    sendToPeer;
  /** Optional. @return the one-way network latency to another VM. */
  std::function<core::Duration(const std::string& aVm)> oneWayLatency;
  /** Starts a detached task on the daemon's event loop. */
  std::function<void(core::Task<void>)> start;
  /** Optional. Called at the end of each valid query. */
  std::function<void(const QueryOutcome&)> onOutcome;
};

/** Settings of a caller frontend. */
struct CallerSettings
{
  std::string vm;
  std::string incarnation;
  RunTableSettings runTable;
  /** Subtracted from a caller's deadline for network transfer; limited to a share of the deadline.
   */
  core::Duration answerReserve = std::chrono::milliseconds{ 8 };
};

/**
 * Handles HTTP requests of callers: parses and admits queries, runs non-idempotent ones at most
 * once, and renders answers and refusals.
 *
 * Not thread-safe: one instance belongs to one event loop. It must outlive its tasks.
 */
class CallerFrontend
{
public:
  CallerFrontend(core::TimerService& aTimers,
                 core::RandomSource& aRandom,
                 core::Metrics& aMetrics,
                 CallerHooks aHooks,
                 CallerSettings aSettings = {});
  CallerFrontend(const CallerFrontend&) = delete;
  CallerFrontend& operator=(const CallerFrontend&) = delete;
  ~CallerFrontend();

  /** Handles one request; never throws. @return an answer or a refusal. */
  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);

  /** @return the refusal of a request that could not be read and was not run. */
  net::HttpResponse RefuseUnreadable(net::HttpRequestError aFault);

  /** Registers the handlers of messages from the caller frontends of other daemons. */
  void RegisterHandlers(net::PeerBus& aBus);

  /** @return the number of queries in progress, including queued and forwarded ones. */
  std::size_t Running() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::caller
