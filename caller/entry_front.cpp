#include "caller/entry_front.h"

#include "caller/weighted_choice.h"
#include "core/log.h"
#include "core/task.h"
#include "query/request_run.h"

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

/** Log lines a second for requests that failed, and for all others. */
constexpr std::uint32_t kFailureLinesPerSecond = 40;
constexpr std::uint32_t kSuccessLinesPerSecond = 2;

/** When a caller may come again to a daemon that knows no configuration yet. */
constexpr core::Duration kRetryAfterStart = std::chrono::milliseconds{ 400 };

const core::Metrics::Buckets kLatencyBuckets{ 0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12,
                                              0.15,  0.2,  0.3,  0.5,  1.0,  2.0,  5.0 };

std::string
Seconds(core::Duration aSpan)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << std::chrono::duration<double>(aSpan).count();
  return out.str();
}

std::string
Milliseconds(core::Duration aSpan)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count());
}

net::HttpResponse
Refusal(unsigned aStatus, std::string_view aReason)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.body = R"({"error":")" + std::string(aReason) + R"("})";
  return response;
}

net::HttpResponse
NotRunRefusal(std::string_view aReason, core::Duration aRetryAfter)
{
  net::HttpResponse response = Refusal(kUnavailable, aReason);
  response.headers.push_back({ "Retry-After", Seconds(aRetryAfter) });
  return response;
}

bool
IsFailure(RequestOutcome aOutcome)
{
  return aOutcome != RequestOutcome::Complete && aOutcome != RequestOutcome::Passed;
}

} // namespace

EntryFront::EntryFront(core::TimerService& aTimers,
                       core::RandomSource& aRandom,
                       core::Metrics& aMetrics,
                       upstream::ReplicaBalancer& aReplicas,
                       CallerProtocol aProtocol,
                       AdmissionLimits aLimits)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mReplicas(aReplicas)
  , mProtocol(std::move(aProtocol))
  , mAdmission(aLimits)
  , mFailureLines(kFailureLinesPerSecond)
  , mSuccessLines(kSuccessLinesPerSecond)
  , mUnknownRoutes(aMetrics.Counter("skylarkwing_entry_unknown_routes_total",
                                    "Requests whose host and path match no route."))
  , mOverloads(aMetrics.Counter("skylarkwing_entry_overload_refusals_total",
                                "Requests refused because the daemon had too much work."))
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
EntryFront::SetTable(std::shared_ptr<const declaration::RoutingTable> aTable)
{
  if (mTable && aTable->version <= mTable->version) {
    return false;
  }
  mTable = std::move(aTable);
  return true;
}

core::Task<net::HttpResponse>
EntryFront::Handle(net::HttpRequest aRequest)
{
  const core::TimePoint arrival = mTimers.Now();
  CallerTerms terms = mProtocol.readTerms(aRequest);
  const auto table = mTable;
  if (!table) {
    NoteRefusal(terms, "no_configuration", "");
    co_return NotRunRefusal("no_configuration", kRetryAfterStart);
  }
  const std::string host = aRequest.Header("Host").value_or("");
  const declaration::Route* route = table->Match(host, aRequest.Path());
  if (route == nullptr) {
    mUnknownRoutes.Increment();
    NoteRefusal(terms, "no_route", host + aRequest.Path());
    co_return Refusal(kNotFound, "no_route");
  }
  if (const auto retryAfter = mAdmission.Refuse(route->priority, arrival)) {
    mOverloads.Increment();
    NoteRefusal(terms, "overloaded", std::to_string(mAdmission.Running()) + " running");
    co_return NotRunRefusal("overloaded", *retryAfter);
  }
  mAdmission.Begin();
  RequestResult result = co_await Run(std::move(aRequest), terms, *route, table, arrival);
  mAdmission.End();
  Note(terms, *route, table->version, result, mTimers.Now() - arrival);
  co_return ToResponse(std::move(result));
}

void
EntryFront::ReportDroppedLines()
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
EntryFront::Run(net::HttpRequest aRequest,
                CallerTerms aTerms,
                const declaration::Route& aRoute,
                std::shared_ptr<const declaration::RoutingTable> aTable,
                core::TimePoint aArrival)
{
  const std::shared_ptr<net::HttpClientWatch> client = std::move(aRequest.client);
  auto forwarded = std::make_shared<upstream::ForwardedRequest>();
  forwarded->id = aTerms.id;
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
  plan.lag = mAdmission.UsualLag();
  const core::Duration timeout = aRoute.timeout;
  plan.deadline = aArrival + std::min(aTerms.deadline.value_or(timeout), timeout);

  RequestResult result;
  std::function<void(std::function<void()>)> start = [&](std::function<void()> aWake) {
    auto run = std::make_shared<query::RequestRun>(
      mReplicas, mTimers, std::move(plan), [&result, wake = std::move(aWake)](RequestResult aEnd) {
        result = std::move(aEnd);
        wake();
      });
    if (client) {
      client->OnDisconnect([run] { run->CallerGone(); });
    }
    run->Start();
  };
  co_await core::AwaitCallback(std::move(start));
  if (client) {
    client->OnDisconnect(nullptr);
  }
  co_return result;
}

std::vector<std::string>
EntryFront::ServicesFor(const declaration::Route& aRoute)
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
EntryFront::ToResponse(RequestResult aResult)
{
  switch (aResult.outcome) {
    case RequestOutcome::Complete:
    case RequestOutcome::Partial:
      return mProtocol.makeGatherAnswer(std::move(aResult));
    case RequestOutcome::Passed:
      return mProtocol.passAnswer(std::move(aResult.response));
    case RequestOutcome::NotRun:
      return NotRunRefusal("no_replica", aResult.retryAfter);
    case RequestOutcome::TimedOut:
      return Refusal(kGatewayTimeout, "timed_out");
    case RequestOutcome::Failed:
    case RequestOutcome::CallerGone:
      break;
  }
  return Refusal(kBadGateway, "failed");
}

void
EntryFront::Note(const CallerTerms& aTerms,
                 const declaration::Route& aRoute,
                 std::uint64_t aVersion,
                 const RequestResult& aResult,
                 core::Duration aTook)
{
  mOutcomes[static_cast<std::size_t>(aResult.outcome)]->Increment();
  mLatency.Observe(std::chrono::duration<double>(aTook).count());
  const bool isFailure = IsFailure(aResult.outcome);
  if (!(isFailure ? mFailureLines : mSuccessLines).Allow(mTimers.Now())) {
    return;
  }
  core::LogEvent(isFailure ? LogLevel::Warning : LogLevel::Info,
                 "caller",
                 "request_ended",
                 { { "request", aTerms.id },
                   { "route", aRoute.name },
                   { "version", std::to_string(aVersion) },
                   { "outcome", std::string(query::NameOf(aResult.outcome)) },
                   { "took_ms", Milliseconds(aTook) },
                   { "deadline_ms", Milliseconds(aTerms.deadline.value_or(aRoute.timeout)) },
                   { "attempts", std::to_string(aResult.attempts) },
                   { "missing", std::to_string(aResult.missingShards) },
                   { "reason", aResult.reason } });
}

void
EntryFront::NoteRefusal(const CallerTerms& aTerms,
                        std::string_view aReason,
                        const std::string& aInput)
{
  if (mFailureLines.Allow(mTimers.Now())) {
    core::LogEvent(
      LogLevel::Warning,
      "caller",
      "request_refused",
      { { "request", aTerms.id }, { "reason", std::string(aReason) }, { "input", aInput } });
  }
}

} // namespace skylarkwing::caller
