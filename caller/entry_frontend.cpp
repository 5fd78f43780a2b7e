#include "caller/entry_frontend.h"

#include "caller/weighted_choice.h"
#include "core/hex_text.h"
#include "core/log.h"
#include "core/task.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace skylarkwing::caller {

namespace {

using core::LogLevel;
using query::RequestOutcome;
using query::RequestResult;

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/** Maximum log lines per second for failed requests, and for all others. */
constexpr std::uint32_t kFailureLinesPerSecond = 40;
constexpr std::uint32_t kSuccessLinesPerSecond = 2;

/** Retry delay for callers of a daemon that has no configuration yet. */
constexpr core::Duration kNoConfigurationRetryAfter = std::chrono::milliseconds{ 400 };

const core::Metrics::Buckets kLatencyBuckets{ 0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12,
                                              0.15,  0.2,  0.3,  0.5,  1.0,  2.0,  5.0 };

std::string
FormatSeconds(core::Duration aSpan)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << std::chrono::duration<double>(aSpan).count();
  return out.str();
}

std::string
FormatMilliseconds(core::Duration aSpan)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count());
}

net::HttpResponse
MakeRefusal(unsigned aStatus, std::string_view aReason)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.body = R"({"error":")" + std::string(aReason) + R"("})";
  return response;
}

net::HttpResponse
MakeNotRunRefusal(std::string_view aReason, core::Duration aRetryAfter)
{
  net::HttpResponse response = MakeRefusal(kUnavailable, aReason);
  response.headers.push_back({ "Retry-After", FormatSeconds(aRetryAfter) });
  return response;
}

bool
IsFailure(RequestOutcome aOutcome)
{
  return aOutcome != RequestOutcome::Complete && aOutcome != RequestOutcome::Relayed;
}

} // namespace

EntryFrontend::EntryFrontend(core::TimerService& aTimers,
                             core::RandomSource& aRandom,
                             core::Metrics& aMetrics,
                             upstream::ReplicaBalancer& aReplicas,
                             query::CrashGuard& aCrashGuard,
                             CallerProtocol aProtocol,
                             AdmissionLimits aLimits)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mReplicas(aReplicas)
  , mCrashGuard(aCrashGuard)
  , mProtocol(std::move(aProtocol))
  , mAdmission(aLimits)
  , mFailureLines(kFailureLinesPerSecond)
  , mSuccessLines(kSuccessLinesPerSecond)
  , mUnknownRoutes(aMetrics.Counter("skylarkwing_entry_unknown_routes_total",
                                    "Requests whose host and path match no route."))
  , mOverloads(aMetrics.Counter("skylarkwing_entry_overload_refusals_total",
                                "Requests refused because the daemon had too much work."))
  , mQuarantineRefusals(
      aMetrics.Counter("skylarkwing_entry_quarantine_refusals_total",
                       "Requests refused because replicas had ended under earlier attempts."))
  , mLatency(aMetrics.Histogram("skylarkwing_entry_request_duration_seconds",
                                "Time from a request's arrival to its answer.",
                                kLatencyBuckets))
{
  for (std::size_t n = 0; n < mOutcomes.size(); ++n) {
    const std::string outcome(query::NameOf(static_cast<RequestOutcome>(n)));
    mOutcomes[n] = &aMetrics.Counter("skylarkwing_entry_requests_total",
                                     "Requests that were taken on, by how they ended.",
                                     { { "outcome", outcome } });
  }
}

bool
EntryFrontend::SetTable(std::shared_ptr<const declaration::RoutingTable> aTable)
{
  if (mTable && aTable->version <= mTable->version) {
    return false;
  }
  mTable = std::move(aTable);
  return true;
}

core::Task<net::HttpResponse>
EntryFrontend::Handle(net::HttpRequest aRequest)
{
  const core::TimePoint arrival = mTimers.Now();
  RequestMetadata metadata = mProtocol.readMetadata(aRequest);
  const auto table = mTable;
  if (!table) {
    LogRefusal(metadata, "no_configuration", "");
    co_return MakeNotRunRefusal("no_configuration", kNoConfigurationRetryAfter);
  }
  const std::string host = aRequest.Header("Host").value_or("");
  const declaration::Route* route = table->Match(host, aRequest.Path());
  if (route == nullptr) {
    mUnknownRoutes.Increment();
    LogRefusal(metadata, "no_route", host + aRequest.Path());
    co_return MakeRefusal(kNotFound, "no_route");
  }
  if (const auto retryAfter = mCrashGuard.Refuse(metadata.fingerprint)) {
    mQuarantineRefusals.Increment();
    const std::size_t crashes = mCrashGuard.CrashCount(metadata.fingerprint);
    LogRefusal(metadata, "quarantined", std::to_string(crashes) + " ended");
    co_return MakeNotRunRefusal("quarantined", *retryAfter);
  }
  const core::Duration wait = std::min<core::Duration>(
    metadata.deadline.value_or(core::Duration(route->timeout)), route->timeout);
  if (const auto retryAfter = mStopAdmission.Refuse(arrival, arrival + wait)) {
    LogRefusal(metadata, "stopping", FormatMilliseconds(wait) + " ms to its deadline");
    co_return MakeNotRunRefusal("stopping", *retryAfter);
  }
  if (const auto retryAfter = mAdmission.Refuse(route->priority, arrival)) {
    mOverloads.Increment();
    LogRefusal(metadata, "overloaded", std::to_string(mAdmission.Running()) + " running");
    co_return MakeNotRunRefusal("overloaded", *retryAfter);
  }
  mAdmission.Begin();
  RequestResult result = co_await Run(std::move(aRequest), metadata, *route, table, arrival);
  mAdmission.End();
  RecordResult(metadata, *route, table->version, result, mTimers.Now() - arrival);
  co_return ToResponse(std::move(result));
}

void
EntryFrontend::GiveUpRunning()
{
  for (const std::shared_ptr<query::RequestRun>& run : std::set(mRunning)) {
    run->GiveUp();
  }
}

void
EntryFrontend::ReportDroppedLines()
{
  const std::uint64_t failures = mFailureLines.TakeDroppedCount();
  const std::uint64_t successes = mSuccessLines.TakeDroppedCount();
  if (failures + successes > 0) {
    core::LogEvent(
      LogLevel::Info,
      "caller",
      "lines_dropped",
      { { "failures", std::to_string(failures) }, { "successes", std::to_string(successes) } });
  }
}

core::Task<RequestResult>
EntryFrontend::Run(net::HttpRequest aRequest,
                   RequestMetadata aMetadata,
                   const declaration::Route& aRoute,
                   std::shared_ptr<const declaration::RoutingTable> aTable,
                   core::TimePoint aArrival)
{
  const std::shared_ptr<net::HttpClientWatch> client = std::move(aRequest.client);
  auto forwarded = std::make_shared<upstream::ForwardedRequest>();
  forwarded->id = aMetadata.id;
  forwarded->isIdempotent = aRoute.isIdempotent;
  forwarded->message.headers = mProtocol.forwardHeaders(aRequest);
  forwarded->message.method = std::move(aRequest.method);
  forwarded->message.target = std::move(aRequest.target);
  forwarded->message.body = std::move(aRequest.body);

  query::RequestPlan plan;
  plan.route = &aRoute;
  plan.table = std::move(aTable);
  plan.request = std::move(forwarded);
  plan.services = ServicesFor(aRoute);
  plan.arrival = aArrival;
  plan.loopLag = mAdmission.AverageLag();
  plan.crashes = mCrashGuard.Watch(aMetadata.fingerprint, aMetadata.id);
  const core::Duration timeout = aRoute.timeout;
  plan.deadline = aArrival + std::min(aMetadata.deadline.value_or(timeout), timeout);

  RequestResult result;
  std::shared_ptr<query::RequestRun> running;
  std::function<void(std::function<void()>)> start = [&](std::function<void()> aWake) {
    auto run = std::make_shared<query::RequestRun>(
      mReplicas, mTimers, std::move(plan), [&result, wake = std::move(aWake)](RequestResult aEnd) {
        result = std::move(aEnd);
        wake();
      });
    if (client) {
      client->OnDisconnect([run] { run->OnCallerGone(); });
    }
    running = run;
    mRunning.insert(run);
    run->Start();
  };
  co_await core::AwaitCallback(std::move(start));
  mRunning.erase(running);
  if (client) {
    client->OnDisconnect(nullptr);
  }
  co_return result;
}

std::vector<std::string>
EntryFrontend::ServicesFor(const declaration::Route& aRoute)
{
  if (aRoute.IsFanOut()) {
    return aRoute.shards;
  }
  if (aRoute.services.empty()) {
    return {};
  }
  return { aRoute.services[ChooseByWeight(aRoute.services, mRandom.Fraction())].service };
}

net::HttpResponse
EntryFrontend::ToResponse(RequestResult aResult)
{
  switch (aResult.outcome) {
    case RequestOutcome::Complete:
    case RequestOutcome::Partial:
      return mProtocol.makeGatherAnswer(std::move(aResult));
    case RequestOutcome::Relayed:
      return mProtocol.makeRelayedAnswer(std::move(aResult.response));
    case RequestOutcome::NotRun:
      return MakeNotRunRefusal("no_replica", aResult.retryAfter);
    case RequestOutcome::TimedOut:
      return MakeRefusal(kGatewayTimeout, "timed_out");
    case RequestOutcome::Failed:
    case RequestOutcome::CallerGone:
      break;
  }
  return MakeRefusal(kBadGateway, "failed");
}

void
EntryFrontend::RecordResult(const RequestMetadata& aMetadata,
                            const declaration::Route& aRoute,
                            std::uint64_t aVersion,
                            const RequestResult& aResult,
                            core::Duration aDuration)
{
  mOutcomes[static_cast<std::size_t>(aResult.outcome)]->Increment();
  mLatency.Observe(std::chrono::duration<double>(aDuration).count());
  const bool isFailure = IsFailure(aResult.outcome);
  if (!(isFailure ? mFailureLines : mSuccessLines).Allow(mTimers.Now())) {
    return;
  }
  core::LogEvent(
    isFailure ? LogLevel::Warning : LogLevel::Info,
    "caller",
    "request_ended",
    { { "request", aMetadata.id },
      { "route", aRoute.name },
      { "version", std::to_string(aVersion) },
      { "outcome", std::string(query::NameOf(aResult.outcome)) },
      { "took_ms", FormatMilliseconds(aDuration) },
      { "deadline_ms", FormatMilliseconds(aMetadata.deadline.value_or(aRoute.timeout)) },
      { "fingerprint", core::ToHex(aMetadata.fingerprint) },
      { "attempts", std::to_string(aResult.attempts) },
      { "missing", std::to_string(aResult.missingShards) },
      { "reason", aResult.reason } });
}

void
EntryFrontend::LogRefusal(const RequestMetadata& aMetadata,
                          std::string_view aReason,
                          const std::string& aInput)
{
  if (mFailureLines.Allow(mTimers.Now())) {
    core::LogEvent(LogLevel::Warning,
                   "caller",
                   "request_refused",
                   { { "request", aMetadata.id },
                     { "fingerprint", core::ToHex(aMetadata.fingerprint) },
                     { "reason", std::string(aReason) },
                     { "input", aInput } });
  }
}

} // namespace skylarkwing::caller
