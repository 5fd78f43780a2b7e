#pragma once

#include "caller/caller_frontend.h"
#include "caller/home_forwarder.h"
#include "caller/query_admission.h"
#include "caller/run_table.h"

#include <map>

namespace skylarkwing::caller {

/** What came of one query, and whether the same identity may be run again. */
struct RunOutcome
{
  net::HttpResponse response;
  bool mayHaveRun = false;
};

/** How a query reached this daemon. */
struct QueryOrigin
{
  bool isForwarded = false;
  /** Time left to a forwarded query; a caller's own says it in a header. */
  core::Duration remaining{};
};

/** The state of a caller front and the steps of its tasks. */
struct CallerFrontend::State
{
  State(core::TimerService& aTimers,
        core::RandomSource& aRandom,
        core::Metrics& aMetrics,
        CallerHooks aHooks,
        CallerSettings aSettings);

  /** Answers `GET /v1/entry-points`. */
  net::HttpResponse EntryPoints(const net::HttpRequest& aRequest);

  /** Answers one query, of a caller or passed on by another daemon. */
  core::Task<net::HttpResponse> Query(net::HttpRequest aRequest, QueryOrigin aArrival);

  /** Runs a query that another daemon passed on, and replies. */
  core::Task<void> ServeHomeRequest(std::string aVm, HomeRequest aRequest, core::Duration aAge);

  /** Runs a query of this home at most once, or tells what became of it. */
  core::Task<net::HttpResponse> RunOnce(CallerQuery aQuery, core::TimePoint aDeadline);

  /** Passes a query on to its home. */
  core::Task<net::HttpResponse> ForwardToHome(CallerQuery aQuery,
                                              core::TimePoint aDeadline,
                                              QueryOrigin aArrival);

  /** Waits for the outcome of a run that another task has under way. */
  core::Task<net::HttpResponse> AwaitOutcome(std::shared_ptr<RunTable::Waiter> aWaiter,
                                             core::TimePoint aDeadline);

  /** Admits and runs a query. */
  core::Task<RunOutcome> RunAdmitted(CallerQuery aQuery, core::TimePoint aDeadline);

  /** Reports how a query ended; a null result means that it was refused before it ran. */
  void Report(const CallerQuery& aQuery, core::TimePoint aStart, const query::QueryResult* aResult);

  /** Runs an admitted query. */
  core::Task<query::QueryResult> Run(CallerQuery aQuery, core::TimePoint aDeadline);

  /** @return why no new work is begun now, nothing while it is. */
  std::optional<Refusal> ClosedReason() const;

  /** @return the response for an identity that the run table does not let run. */
  net::HttpResponse RefuseState(RunState aState);

  /** @return what can be said of effects of a request that is refused before it is looked up. */
  query::Executed ExecutedOf(const net::HttpRequest& aRequest) const;

  /** @return whether a request's profile is known to be idempotent. */
  bool IsIdempotent(const net::HttpRequest& aRequest) const;

  /** @return whether this process handed the identity out. */
  bool IsHome(const RequestIdentity& aIdentity) const;

  /** Counts and renders a refusal. */
  net::HttpResponse Refuse(const Refusal& aRefusal);

  core::TimerService& timers;
  core::RandomSource& random;
  CallerHooks hooks;
  CallerSettings settings;
  QueryAdmission admission;
  RunTable table;
  HomeForwarder forwarder;
  std::map<RefusalKind, prometheus::Counter*> refusals;
  prometheus::Counter& answers;
  prometheus::Counter& forwarded;
  prometheus::Counter& repeated;
  std::size_t running = 0;
};

} // namespace skylarkwing::caller
