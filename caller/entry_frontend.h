#pragma once

#include "caller/entry_admission.h"
#include "caller/forward_terms.h"
#include "caller/peer_forwarder.h"
#include "caller/quota_client.h"
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
  /** The caller's API key, empty when it sent none. Must not be logged or sent to replicas. */
  std::string apiKey;
  /** Hash of the content and the caller, the same for each attempt at one request. */
  std::uint64_t fingerprint = 0;
};

/** Wire protocol between callers and the frontend. */
struct CallerProtocol
{
  std::function<RequestMetadata(const net::HttpRequest&)> readMetadata;

  /** @return the header fields that are forwarded to replicas. */
  std::function<std::vector<net::HttpHeader>(const net::HttpRequest&)> forwardHeaders;

  /** Sets how long the caller still waits, for a daemon that gets the request from this one. */
  std::function<void(net::HttpRequest&, core::Duration)> setDeadline;

  /** Sets the caller's API key, for a daemon that gets the request from this one. */
  std::function<void(net::HttpRequest&, const std::string&)> setApiKey;

  /** Creates the response to a query over shards. */
  std::function<net::HttpResponse(query::RequestResult)> makeGatherAnswer;

  /** Creates the response to a caller from the response of a replica. */
  std::function<net::HttpResponse(net::HttpResponse)> makeRelayedAnswer;
};

/**
 * Routes the requests of callers, admits them and forwards them to replicas, or to other daemons
 * while this one is cut off from the replicas.
 */
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

  /** Sets what forwards requests to other daemons; it must outlive this object. */
  void SetForwarder(PeerForwarder* aForwarder, std::string aVm)
  {
    mForwarder = aForwarder;
    mVm = std::move(aVm);
  }

  /** Sets what keeps the customers' quotas; it must outlive this object. */
  void SetQuotas(QuotaClient* aQuotas) { mQuotas = aQuotas; }

  /**
   * Sets how it is found out whether the active table is up to date. An unknown API key may have
   * been added by a newer one.
   */
  void SetIsTableCurrent(std::function<bool()> aIsCurrent)
  {
    mIsTableCurrent = std::move(aIsCurrent);
  }

  /** Handles one request of a caller. */
  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);

  /** Handles one request that another daemon forwards. */
  core::Task<net::HttpResponse> HandleForwarded(net::HttpRequest aRequest);

  /**
   * Ends those running requests that other daemons may serve, after the replicas were cut off.
   *
   * @param aMinAge only requests that arrived at least this long ago.
   */
  void InterruptRunning(core::Duration aMinAge);

  EntryAdmission& Admission() { return mAdmission; }

  /** Sets what is called for each request that is refused for load; it may end others. */
  void SetOverloadHandler(std::function<void()> aHandler) { mOnOverload = std::move(aHandler); }
  const EntryAdmission& Admission() const { return mAdmission; }

  /** Begins to refuse requests that can't end before the process exits. */
  void BeginStop(core::TimePoint aExit) { mStopAdmission.Begin(mTimers.Now(), aExit); }

  /** @return when requests with a long deadline are no longer accepted, nothing before a stop. */
  std::optional<core::TimePoint> RefusesLateFrom() const { return mStopAdmission.LateFrom(); }

  /** @return the average share of recent requests of callers that other daemons had to serve. */
  double ForwardedShare() const { return mForwardedShare; }

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
  std::function<void()> mOnOverload;
  StopAdmission mStopAdmission;
  std::set<std::shared_ptr<query::RequestRun>> mRunning;
  PeerForwarder* mForwarder = nullptr;
  /** Name of this daemon's VM. */
  std::string mVm;
  std::set<std::shared_ptr<ForwardRun>> mForwarding;
  double mForwardedShare = 0.0;
  std::shared_ptr<const declaration::RoutingTable> mTable;
  QuotaClient* mQuotas = nullptr;
  std::function<bool()> mIsTableCurrent = [] { return true; };
  core::LogRateLimiter mFailureLines;
  core::LogRateLimiter mSuccessLines;
  std::array<prometheus::Counter*, 8> mOutcomes{};
  prometheus::Counter& mUnknownRoutes;
  prometheus::Counter& mUnknownKeys;
  prometheus::Counter& mOverloads;
  prometheus::Counter& mExcessRefusals;
  prometheus::Counter& mQuarantineRefusals;
  prometheus::Histogram& mLatency;

  /** A response, and what it means for the daemon that has forwarded the request. */
  struct Served
  {
    net::HttpResponse response;
    ForwardOutcome outcome;
  };

  /** A request with all that determines how it is served. */
  struct Job
  {
    net::HttpRequest request;
    RequestMetadata metadata;
    /** Set when another daemon has forwarded the request. */
    std::optional<ForwardTerms> terms;
    std::shared_ptr<const declaration::RoutingTable> table;
    /** Owned by the table. */
    const declaration::Route* route = nullptr;
    std::vector<std::string> services;
    std::shared_ptr<upstream::ForwardedRequest> forwarded;
    std::shared_ptr<const upstream::RequestTerms> serviceTerms;
    /** Owned by the table; null for callers without a key. */
    const declaration::Customer* customer = nullptr;
    /** When the request arrived at the first daemon. */
    core::TimePoint arrival;
    core::TimePoint deadline;
  };

  core::Task<Served> Serve(net::HttpRequest aRequest, std::optional<ForwardTerms> aTerms);
  std::optional<Served> FindRoute(Job& aJob);
  std::optional<Served> Authenticate(Job& aJob);
  std::optional<Served> Refuse(const Job& aJob);
  core::Task<std::optional<Served>> TakeQuota(const Job& aJob);
  void Prepare(Job& aJob);
  core::Task<query::RequestResult> Run(Job& aJob);
  core::Task<query::RequestResult> RunHere(Job& aJob);
  core::Task<query::RequestResult> RunElsewhere(Job& aJob, bool aMayHaveRun, bool aIsRepeat);
  core::Task<bool> IsCutOff(const Job& aJob, const query::RequestResult& aResult);
  std::vector<std::string> ServicesFor(const declaration::Route& aRoute);
  net::HttpResponse ToResponse(query::RequestResult aResult);
  ForwardOutcome OutcomeFor(const query::RequestResult& aResult);
  void RecordResult(const Job& aJob, const query::RequestResult& aResult, core::Duration aDuration);
  Served RefuseNotRun(const RequestMetadata& aMetadata,
                      std::string_view aReason,
                      const std::string& aInput,
                      core::Duration aRetryAfter);
  void LogRefusal(const RequestMetadata& aMetadata,
                  std::string_view aReason,
                  const std::string& aInput);
};

} // namespace skylarkwing::caller
