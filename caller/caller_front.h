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

/** How one query of a caller ended, for whoever counts service levels. */
struct QueryOutcome
{
  std::string profile;
  std::string index;
  /** From the time that the query was understood to its answer or refusal. */
  core::Duration latency{};
  bool isRefused = false;
  /** The result of the run; null when it was refused before. */
  const query::QueryResult* result = nullptr;
};

/** What a caller front needs of the rest of the daemon. */
struct CallerHooks
{
  /** @return the configuration in force, nullptr while there is none. */
  std::function<std::shared_ptr<const declaration::Configuration>()> configuration;
  std::function<core::Task<query::QueryResult>(query::QueryRequest)> runQuery;
  /** @return the daemons to hand out, those of one failure domain first when it is named. */
  std::function<EntryPointList(const std::optional<std::string>& aFailureDomain)> entryPoints;
  /** @return false while the daemon is cut off and must not begin anything. */
  std::function<bool()> mayTakeNewWork;
  /** @return whether the daemon is stopping. */
  std::function<bool()> isLeaving;
  /** @return how many daemons share each profile's limit, this one included. */
  std::function<std::size_t()> liveMembers;
  /** @return the incarnation of a VM's daemon, nothing while it is not a member. */
  std::function<std::optional<std::string>(const std::string& aVm)> incarnationOf;
  /** @return the epoch that this daemon's identities carry now; it never falls. */
  std::function<std::uint64_t()> identityEpoch;
  /** Sends a message to another daemon; false when it was certainly not sent. */
  std::function<bool(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)>
    sendToPeer;
  /** Optional: one-way time to another VM. */
  std::function<core::Duration(const std::string& aVm)> wayTo;
  /** Starts a task that nobody waits for, on the daemon's loop. */
  std::function<void(core::Task<void>)> start;
  /** Optional: hears how each query ended that was a caller's right to ask. */
  std::function<void(const QueryOutcome&)> onOutcome;
};

/** Who this daemon is. */
struct CallerSettings
{
  std::string vm;
  std::string incarnation;
  RunTableSettings runTable;
  /** Kept back from a caller's deadline for the ways to and from the caller, a part of it at most.
   */
  core::Duration answerReserve = std::chrono::milliseconds{ 8 };
};

/**
 * The callers' side of a daemon: reads their requests, admits them, sees to it that a request that
 * is not idempotent runs at most once, and writes answers and refusals.
 *
 * Not thread-safe: one instance belongs to one event loop. It must outlive its tasks.
 */
class CallerFront
{
public:
  CallerFront(core::TimerService& aTimers,
              core::RandomSource& aRandom,
              core::Metrics& aMetrics,
              CallerHooks aHooks,
              CallerSettings aSettings = {});
  CallerFront(const CallerFront&) = delete;
  CallerFront& operator=(const CallerFront&) = delete;
  ~CallerFront();

  /** Answers one request of a caller; it never throws and always has a typed response. */
  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);

  /** @return the refusal of a request that could not be read; nothing of it ran. */
  net::HttpResponse RefuseUnread(net::HttpRequestError aFault);

  /** Takes the messages of other daemons' caller fronts. */
  void ListenOn(net::PeerBus& aBus);

  /** @return how many queries are under way here, waiting and forwarded ones included. */
  std::size_t Running() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::caller
