#pragma once

#include "caller/entry_admission.h"
#include "caller/stop_admission.h"
#include "core/log_rate_limiter.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "declaration/routing_table.h"
#include "net/http_message.h"
#include "query/crash_guard.h"
#include "query/request_result.h"
#include "query/request_run.h"
#include "upstream/replica_balancer.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::caller {

/** Metadata that a caller sends with a request. */
struct RequestMetadata
{
  /** Identifies one attempt of the caller. */
  std::string id;
  /** Time that the caller waits, if given. */
  std::optional<core::Duration> deadline;
  /** Hash of the content and the caller, the same for each attempt at one request. */
  std::uint64_t fingerprint = 0;
};

/** Wire protocol between callers and the frontend. */
struct CallerProtocol
{
  std::function<RequestMetadata(const net::HttpRequest&)> readMetadata;

  /** @return the header fields that are forwarded to replicas. */
  std::function<std::vector<net::HttpHeader>(const net::HttpRequest&)> forwardHeaders;

  /** Creates the response to a query over shards. */
  std::function<net::HttpResponse(query::RequestResult)> makeGatherAnswer;

  /** Creates the response to a caller from the response of a replica. */
  std::function<net::HttpResponse(net::HttpResponse)> makeRelayedAnswer;
};

/** Routes the requests of callers, admits them and forwards them to replicas. */
class EntryFrontend
{
public:
  EntryFrontend(core::TimerService& aTimers,
                core::RandomSource& aRandom,
                core::Metrics& aMetrics,
                upstream::ReplicaBalancer& aReplicas,
                query::CrashGuard& aCrashGuard,
                CallerProtocol aProtocol,
                AdmissionLimits aLimits);

  /** Activates a routing table. @return false when it is not newer than the active one. */
  bool SetTable(std::shared_ptr<const declaration::RoutingTable> aTable);

  /** @return the active routing table, null when there is none. */
  const std::shared_ptr<const declaration::RoutingTable>& Table() const { return mTable; }

  /** Handles one request. */
  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);

  EntryAdmission& Admission() { return mAdmission; }

  /** Begins to refuse requests that can't end before the process exits. */
  void BeginStop(core::TimePoint aExit) { mStopAdmission.Begin(mTimers.Now(), aExit); }

  /** @return when requests with a long deadline are no longer accepted, nothing before a stop. */
  std::optional<core::TimePoint> RefusesLateFrom() const { return mStopAdmission.LateFrom(); }

  /** Ends all running requests without a response of a replica. */
  void GiveUpRunning();

  /** Logs the number of log lines dropped since the last call, if any. */
  void ReportDroppedLines();

private:
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  upstream::ReplicaBalancer& mReplicas;
  query::CrashGuard& mCrashGuard;
  CallerProtocol mProtocol;
  EntryAdmission mAdmission;
  StopAdmission mStopAdmission;
  std::set<std::shared_ptr<query::RequestRun>> mRunning;
  std::shared_ptr<const declaration::RoutingTable> mTable;
  core::LogRateLimiter mFailureLines;
  core::LogRateLimiter mSuccessLines;
  std::array<prometheus::Counter*, 7> mOutcomes{};
  prometheus::Counter& mUnknownRoutes;
  prometheus::Counter& mOverloads;
  prometheus::Counter& mQuarantineRefusals;
  prometheus::Histogram& mLatency;

  core::Task<query::RequestResult> Run(net::HttpRequest aRequest,
                                       RequestMetadata aMetadata,
                                       const declaration::Route& aRoute,
                                       std::shared_ptr<const declaration::RoutingTable> aTable,
                                       core::TimePoint aArrival);
  std::vector<std::string> ServicesFor(const declaration::Route& aRoute);
  net::HttpResponse ToResponse(query::RequestResult aResult);
  void RecordResult(const RequestMetadata& aMetadata,
                    const declaration::Route& aRoute,
                    std::uint64_t aVersion,
                    const query::RequestResult& aResult,
                    core::Duration aDuration);
  void LogRefusal(const RequestMetadata& aMetadata,
                  std::string_view aReason,
                  const std::string& aInput);
};

} // namespace skylarkwing::caller
