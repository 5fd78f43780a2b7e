#pragma once

#include "caller/caller_frontend.h"
#include "caller/home_forwarder.h"
#include "caller/query_admission.h"
#include "caller/run_table.h"

#include <map>

namespace skylarkwing::caller {

/** Response to one query. */
struct RunOutcome
{
  net::HttpResponse response;
  /** If false, the same identity may run again. */
  bool mayHaveRun = false;
};

/** How a query reached this daemon. */
struct QueryOrigin
{
  bool isForwarded = false;
  /** Time left for a forwarded query; callers send their deadline in a header. */
  core::Duration remaining{};
};

/** State of a caller frontend and the steps of its tasks. */
struct CallerFrontend::State
{
  State(core::TimerService& aTimers,
        core::RandomSource& aRandom,
        core::Metrics& aMetrics,
        CallerHooks aHooks,
        CallerSettings aSettings);

  /** Answers `GET /v1/entry-points`. */
  net::HttpResponse EntryPoints(const net::HttpRequest& aRequest);

  /** Answers one query from a caller or forwarded by another daemon. */
  core::Task<net::HttpResponse> Query(net::HttpRequest aRequest, QueryOrigin aOrigin);

  /** Runs a query that another daemon forwarded, and replies. */
  core::Task<void> ServeHomeRequest(std::string aVm, HomeRequest aRequest, core::Duration aAge);

  /** Runs a query whose home is this daemon at most once, or returns its earlier outcome. */
  core::Task<net::HttpResponse> RunOnce(CallerQuery aQuery, core::TimePoint aDeadline);

  /** Forwards a query to its home daemon. */
  core::Task<net::HttpResponse> ForwardToHome(CallerQuery aQuery,
                                              core::TimePoint aDeadline,
                                              QueryOrigin aOrigin);

  /** Waits for the outcome of a query that another task runs. */
  core::Task<net::HttpResponse> AwaitOutcome(std::shared_ptr<RunTable::Waiter> aWaiter,
                                             core::TimePoint aDeadline);

  /** Admits and runs a query. */
  core::Task<RunOutcome> RunAdmitted(CallerQuery aQuery, core::TimePoint aDeadline);

  /** Reports the outcome of a query; a null result means that it was refused before it ran. */
  void Report(const CallerQuery& aQuery, core::TimePoint aStart, const query::QueryResult* aResult);

  /** Runs an admitted query. */
  core::Task<query::QueryResult> Run(CallerQuery aQuery, core::TimePoint aDeadline);

  /** @return the reason why no new work is accepted, nothing when it is accepted. */
  std::optional<Refusal> NotAcceptingReason() const;

  /** @return the refusal for an identity that the run table does not allow to run. */
  net::HttpResponse RefuseRunState(RunState aState);

  /** @return whether a request may have run that is refused before its run table lookup. */
  query::Executed ExecutedOf(const net::HttpRequest& aRequest) const;

  /** @return whether the profile of a request is known to be idempotent. */
  bool IsIdempotent(const net::HttpRequest& aRequest) const;

  /** @return whether this process issued the identity. */
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
