#pragma once

#include "caller/entry_admission.h"
#include "core/log_rate_limiter.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "declaration/routing_table.h"
#include "net/http_message.h"
#include "query/request_result.h"
#include "upstream/replica_balancer.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::caller {

/** What a caller says about its request, besides the request itself. */
struct CallerTerms
{
  /** Names one attempt of the caller. */
  std::string id;
  /** How long the caller waits, when it says so. */
  std::optional<core::Duration> deadline;
};

/** How callers' requests and the answers to them are written; the front doesn't know it. */
struct CallerProtocol
{
  std::function<CallerTerms(const net::HttpRequest&)> readTerms;

  /** @return the request's header fields as replicas get them. */
  std::function<std::vector<net::HttpHeader>(const net::HttpRequest&)> forwardHeaders;

  /** Makes the answer to a query over shards. */
  std::function<net::HttpResponse(query::RequestResult)> makeGatherAnswer;

  /** Makes the answer from a replica's own. */
  std::function<net::HttpResponse(net::HttpResponse)> passAnswer;
};

/** Takes callers' requests, finds their route, admits them and has them run. */
class EntryFront
{
public:
  EntryFront(core::TimerService& aTimers,
             core::RandomSource& aRandom,
             core::Metrics& aMetrics,
             upstream::ReplicaBalancer& aReplicas,
             CallerProtocol aProtocol,
             AdmissionLimits aLimits);

  /** Puts a table in force; one that isn't newer is ignored. */
  bool SetTable(std::shared_ptr<const declaration::RoutingTable> aTable);

  /** @return the table in force, null while none is known. */
  const std::shared_ptr<const declaration::RoutingTable>& Table() const { return mTable; }

  /** Answers one request. */
  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);

  EntryAdmission& Admission() { return mAdmission; }

  /** Writes how many log lines were dropped since the last call, if any were. */
  void ReportDroppedLines();

private:
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  upstream::ReplicaBalancer& mReplicas;
  CallerProtocol mProtocol;
  EntryAdmission mAdmission;
  std::shared_ptr<const declaration::RoutingTable> mTable;
  core::LogRateLimiter mFailureLines;
  core::LogRateLimiter mSuccessLines;
  std::array<prometheus::Counter*, 7> mOutcomes{};
  prometheus::Counter& mUnknownRoutes;
  prometheus::Counter& mOverloads;
  prometheus::Histogram& mLatency;

  core::Task<query::RequestResult> Run(net::HttpRequest aRequest,
                                       CallerTerms aTerms,
                                       const declaration::Route& aRoute,
                                       std::shared_ptr<const declaration::RoutingTable> aTable,
                                       core::TimePoint aArrival);
  std::vector<std::string> ServicesFor(const declaration::Route& aRoute);
  net::HttpResponse ToResponse(query::RequestResult aResult);
  void Note(const CallerTerms& aTerms,
            const declaration::Route& aRoute,
            std::uint64_t aVersion,
            const query::RequestResult& aResult,
            core::Duration aTook);
  void NoteRefusal(const CallerTerms& aTerms, std::string_view aReason, const std::string& aInput);
};

} // namespace skylarkwing::caller
