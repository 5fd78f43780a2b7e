#include "caller/entry_frontend.h"

#include "caller/customer_terms.h"
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

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/** Maximum log lines per second for failed requests, and for all others. */
constexpr std::uint32_t kFailureLinesPerSecond = 40;
constexpr std::uint32_t kSuccessLinesPerSecond = 2;

/** Retry delay for callers of a daemon that has no configuration yet. */
constexpr core::Duration kNoConfigurationRetryAfter = std::chrono::milliseconds{ 400 };

/** A failed request is given to another daemon only with at least this much time left. */
constexpr core::Duration kMinTimeElsewhere = std::chrono::milliseconds{ 30 };

/** Weight of the newest request in the average of those that are forwarded. */
constexpr double kForwardedSmoothing = 0.1;

const core::Metrics::Buckets kLatencyBuckets{ 0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12,
                                              0.15,  0.2,  0.3,  0.5,  1.0,  2.0,  5.0 };

std::string
FormatDecimal(double aValue)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << aValue;
  return out.str();
}

std::string
FormatSeconds(core::Duration aSpan)
{
  return FormatDecimal(std::chrono::duration<double>(aSpan).count());
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
  return aOutcome != RequestOutcome::Complete && aOutcome != RequestOutcome::Relayed &&
         aOutcome != RequestOutcome::Forwarded;
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
  , mUnknownKeys(aMetrics.Counter("skylarkwing_entry_unknown_keys_total",
                                  "Requests without a key that the configuration knows."))
  , mOverloads(aMetrics.Counter("skylarkwing_entry_overload_refusals_total",
                                "Requests refused because the daemon had too much work."))
  , mExcessRefusals(
      aMetrics.Counter("skylarkwing_entry_excess_refusals_total",
                       "Requests refused for load while their customer was above its fair share."))
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
  Served served = co_await Serve(std::move(aRequest), std::nullopt);
  co_return std::move(served.response);
}

core::Task<net::HttpResponse>
EntryFrontend::HandleForwarded(net::HttpRequest aRequest)
{
  const auto terms = TakeForwardTerms(aRequest);
  Served served;
  if (terms) {
    served = co_await Serve(std::move(aRequest), terms);
  } else {
    served.response = MakeNotRunRefusal("terms_unreadable", kNoConfigurationRetryAfter);
    served.outcome = { ForwardVerdict::NotRun, "terms_unreadable" };
  }
  AddForwardOutcome(served.response, served.outcome);
  co_return std::move(served.response);
}

core::Task<EntryFrontend::Served>
EntryFrontend::Serve(net::HttpRequest aRequest, std::optional<ForwardTerms> aTerms)
{
  Job job;
  const core::TimePoint now = mTimers.Now();
  job.metadata = mProtocol.readMetadata(aRequest);
  job.request = std::move(aRequest);
  job.terms = std::move(aTerms);
  job.arrival = now - (job.terms ? job.terms->age : core::Duration::zero());
  job.table = mTable;
  if (auto refusal = FindRoute(job)) {
    co_return std::move(*refusal);
  }
  const core::Duration timeout = job.route->timeout;
  job.deadline = std::min(now + job.metadata.deadline.value_or(timeout), job.arrival + timeout);
  if (auto refusal = Refuse(job)) {
    co_return std::move(*refusal);
  }
  if (auto refusal = co_await TakeQuota(job)) {
    co_return std::move(*refusal);
  }
  Prepare(job);
  mAdmission.Begin(*job.serviceTerms, mTimers.Now());
  RequestResult result = co_await Run(job);
  mAdmission.End(*job.serviceTerms, mTimers.Now());
  if (job.customer != nullptr && !job.terms && mQuotas != nullptr &&
      result.outcome == RequestOutcome::NotRun) {
    mQuotas->Refund(*job.customer);
  }
  RecordResult(job, result, mTimers.Now() - now);
  Served served;
  served.outcome = OutcomeFor(result);
  served.response = ToResponse(std::move(result));
  co_return served;
}

std::optional<EntryFrontend::Served>
EntryFrontend::FindRoute(Job& aJob)
{
  const RequestMetadata& metadata = aJob.metadata;
  if (!aJob.table) {
    return RefuseNotRun(metadata, "no_configuration", "", kNoConfigurationRetryAfter);
  }
  if (aJob.terms && aJob.table->version < aJob.terms->version) {
    return RefuseNotRun(
      metadata, "outdated", std::to_string(aJob.table->version), kNoConfigurationRetryAfter);
  }
  const std::string host = aJob.request.Header("Host").value_or("");
  aJob.route = aJob.table->Match(host, aJob.request.Path());
  if (aJob.route == nullptr) {
    mUnknownRoutes.Increment();
    LogRefusal(metadata, "no_route", host + aJob.request.Path());
    return Served{ MakeRefusal(kNotFound, "no_route"), {} };
  }
  return Authenticate(aJob);
}

std::optional<EntryFrontend::Served>
EntryFrontend::Authenticate(Job& aJob)
{
  const auto& customers = aJob.table->customers;
  const declaration::Customer* customer =
    customers ? customers->FindByKey(aJob.metadata.apiKey) : nullptr;
  if (customers && customer == nullptr && !aJob.route->isOpen) {
    mUnknownKeys.Increment();
    const std::string version = std::to_string(aJob.table->version);
    if (!mIsTableCurrent()) {
      // A newer configuration may have the key, and callers don't come back after 401.
      return RefuseNotRun(
        aJob.metadata, "configuration_outdated", version, kNoConfigurationRetryAfter);
    }
    LogRefusal(aJob.metadata, "unknown_key", version);
    return Served{ MakeRefusal(kUnauthorized, "unknown_key"), {} };
  }
  const auto terms = MakeRequestTerms(*aJob.route, customer);
  if (!terms) {
    return RefuseNotRun(
      aJob.metadata, "no_common_region", customer->name, kNoConfigurationRetryAfter);
  }
  aJob.customer = customer;
  aJob.serviceTerms = std::make_shared<const upstream::RequestTerms>(*terms);
  return std::nullopt;
}

std::optional<EntryFrontend::Served>
EntryFrontend::Refuse(const Job& aJob)
{
  const RequestMetadata& metadata = aJob.metadata;
  const core::TimePoint now = mTimers.Now();
  if (const auto retryAfter = mCrashGuard.Refuse(metadata.fingerprint)) {
    mQuarantineRefusals.Increment();
    const std::size_t crashes = mCrashGuard.CrashCount(metadata.fingerprint);
    Served refusal =
      RefuseNotRun(metadata, "quarantined", std::to_string(crashes) + " ended", *retryAfter);
    // All daemons know of it.
    refusal.outcome.verdict = ForwardVerdict::Final;
    return refusal;
  }
  if (const auto retryAfter = mStopAdmission.Refuse(now, aJob.deadline)) {
    return RefuseNotRun(metadata,
                        "stopping",
                        FormatMilliseconds(aJob.deadline - now) + " ms to its deadline",
                        *retryAfter);
  }
  if (aJob.terms && mStopAdmission.LateFrom()) {
    return RefuseNotRun(metadata, "stopping", "forwarded", kNoConfigurationRetryAfter);
  }
  if (aJob.terms && mReplicas.Partition().IsPartitioned()) {
    return RefuseNotRun(metadata, "partitioned", "forwarded", kNoConfigurationRetryAfter);
  }
  const upstream::RequestTerms& terms = *aJob.serviceTerms;
  const auto retryAfter =
    aJob.terms ? mAdmission.RefuseForwarded(terms, now) : mAdmission.Refuse(terms, now);
  if (retryAfter) {
    mOverloads.Increment();
    const double use = mAdmission.UseOf(terms, now);
    if (use > 1.0) {
      mExcessRefusals.Increment();
    }
    std::string input =
      std::to_string(mAdmission.Running()) + " running, priority " + std::to_string(terms.priority);
    if (!terms.customer.empty()) {
      input += ", " + terms.customer + " at " + FormatDecimal(use) + " of its share";
    }
    if (mOnOverload) {
      mOnOverload();
    }
    return RefuseNotRun(metadata, "overloaded", input, *retryAfter);
  }
  return std::nullopt;
}

core::Task<std::optional<EntryFrontend::Served>>
EntryFrontend::TakeQuota(const Job& aJob)
{
  // A request that another daemon forwards has used its customer's quota there.
  if (aJob.customer == nullptr || aJob.terms || mQuotas == nullptr) {
    co_return std::nullopt;
  }
  const auto retryAfter = co_await mQuotas->Take(*aJob.customer);
  if (!retryAfter) {
    co_return std::nullopt;
  }
  LogRefusal(aJob.metadata, "quota_exceeded", aJob.customer->name);
  Served refusal{ MakeRefusal(kTooManyRequests, "quota_exceeded"), {} };
  refusal.response.headers.push_back({ "Retry-After", FormatSeconds(*retryAfter) });
  co_return refusal;
}

void
EntryFrontend::Prepare(Job& aJob)
{
  net::HttpRequest& request = aJob.request;
  aJob.forwarded = std::make_shared<upstream::ForwardedRequest>();
  aJob.forwarded->id = aJob.metadata.id;
  aJob.forwarded->isIdempotent = aJob.route->isIdempotent;
  aJob.forwarded->customer = aJob.serviceTerms->customer;
  aJob.forwarded->message.headers = mProtocol.forwardHeaders(request);
  aJob.forwarded->message.method = std::move(request.method);
  aJob.forwarded->message.target = std::move(request.target);
  aJob.forwarded->message.sharedBody = std::make_shared<const std::string>(std::move(request.body));
  aJob.services = ServicesFor(*aJob.route);
}

void
EntryFrontend::InterruptRunning(core::Duration aMinAge)
{
  const core::TimePoint latest = mTimers.Now() - aMinAge;
  for (const std::shared_ptr<query::RequestRun>& run : std::set(mRunning)) {
    if (run->Arrival() <= latest) {
      run->Interrupt();
    }
  }
}

void
EntryFrontend::GiveUpRunning()
{
  for (const std::shared_ptr<query::RequestRun>& run : std::set(mRunning)) {
    run->GiveUp();
  }
  for (const std::shared_ptr<ForwardRun>& run : std::set(mForwarding)) {
    run->Cancel();
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
EntryFrontend::Run(Job& aJob)
{
  if (aJob.terms || mForwarder == nullptr) {
    co_return co_await RunHere(aJob);
  }
  const bool isPartitioned = mReplicas.Partition().IsPartitioned();
  const bool mustForward = isPartitioned && !mReplicas.HasOpenPaths(aJob.services);
  mForwardedShare += ((mustForward ? 1.0 : 0.0) - mForwardedShare) * kForwardedSmoothing;
  if (mustForward) {
    co_return co_await RunElsewhere(aJob, false, false);
  }
  RequestResult result = co_await RunHere(aJob);
  if (!co_await IsCutOff(aJob, result)) {
    co_return result;
  }
  const std::string reason = std::move(result.reason);
  // What was sent after the last sign of a replica has most likely reached none, and needs no
  // budget.
  const auto contact = mReplicas.Partition().LastContact();
  const bool isRepeat = result.firstRunAt && contact && *result.firstRunAt <= *contact;
  const bool mayHaveRun = result.outcome != RequestOutcome::NotRun;
  RequestResult forwarded = co_await RunElsewhere(aJob, mayHaveRun, isRepeat);
  forwarded.reason = reason + forwarded.reason;
  co_return forwarded;
}

core::Task<RequestResult>
EntryFrontend::RunHere(Job& aJob)
{
  const std::shared_ptr<net::HttpClientWatch> client = aJob.request.client;
  query::RequestPlan plan;
  plan.route = aJob.route;
  plan.table = aJob.table;
  plan.request = aJob.forwarded;
  plan.terms = aJob.serviceTerms;
  plan.services = aJob.services;
  plan.arrival = aJob.arrival;
  plan.deadline = aJob.deadline;
  plan.loopLag = mAdmission.AverageLag();
  plan.crashes = mCrashGuard.Watch(aJob.metadata.fingerprint, aJob.metadata.id);
  if (aJob.terms) {
    plan.isRepeat = aJob.terms->isRepeat;
    plan.domainsOut = std::make_shared<const std::vector<std::string>>(aJob.terms->domainsOut);
  }

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

core::Task<bool>
EntryFrontend::IsCutOff(const Job& aJob, const RequestResult& aResult)
{
  const bool mayRunAgain = aResult.outcome == RequestOutcome::NotRun ||
                           (aJob.route->isIdempotent && aResult.outcome == RequestOutcome::Failed);
  if (!mayRunAgain || !aResult.isUnreachable || aJob.deadline - mTimers.Now() < kMinTimeElsewhere) {
    co_return false;
  }
  bool isCutOff = false;
  std::function<void(std::function<void()>)> start = [&](std::function<void()> aWake) {
    mReplicas.Partition().JudgeFailure(
      aJob.arrival, [&isCutOff, wake = std::move(aWake)](upstream::PartitionVerdict aVerdict) {
        isCutOff = aVerdict == upstream::PartitionVerdict::Partitioned;
        wake();
      });
  };
  co_await core::AwaitCallback(std::move(start));
  co_return isCutOff;
}

core::Task<RequestResult>
EntryFrontend::RunElsewhere(Job& aJob, bool aMayHaveRun, bool aIsRepeat)
{
  // Long enough for an answer in time or a little later; then another daemon is faster.
  constexpr core::Duration kMinPatience = std::chrono::milliseconds{ 400 };
  constexpr int kPatienceFactor = 2;
  ForwardPlan plan;
  plan.request = aJob.forwarded;
  plan.apiKey = aJob.metadata.apiKey;
  plan.terms = { mVm, aJob.table->version, {}, aIsRepeat, mReplicas.DomainsOut() };
  plan.arrival = aJob.arrival;
  plan.deadline = aJob.deadline;
  plan.regions = aJob.serviceTerms->regions;
  plan.mayHaveRun = aMayHaveRun;
  plan.maxRuns = aJob.route->maxAttempts;
  plan.patience = std::max<core::Duration>(aJob.route->objective * kPatienceFactor, kMinPatience);

  const std::shared_ptr<net::HttpClientWatch> client = aJob.request.client;
  RequestResult result;
  result.outcome = RequestOutcome::CallerGone;
  if (client && client->IsDisconnected()) {
    co_return result;
  }
  const auto run = std::make_shared<ForwardRun>();
  if (client) {
    client->OnDisconnect([run] { run->Cancel(); });
  }
  mForwarding.insert(run);
  result = co_await mForwarder->Forward(std::move(plan), run);
  mForwarding.erase(run);
  if (client) {
    client->OnDisconnect(nullptr);
  }
  if (client && client->IsDisconnected()) {
    result.outcome = RequestOutcome::CallerGone;
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
    case RequestOutcome::Forwarded:
      return std::move(aResult.response);
    case RequestOutcome::Failed:
    case RequestOutcome::CallerGone:
      break;
  }
  return MakeRefusal(kBadGateway, "failed");
}

ForwardOutcome
EntryFrontend::OutcomeFor(const RequestResult& aResult)
{
  switch (aResult.outcome) {
    case RequestOutcome::NotRun:
      return { ForwardVerdict::NotRun,
               mReplicas.Partition().IsPartitioned() ? "partitioned" : "no_replica" };
    case RequestOutcome::Failed:
    case RequestOutcome::TimedOut:
      if (mReplicas.Partition().IsPartitioned()) {
        return { ForwardVerdict::Lost, "partitioned" };
      }
      break;
    default:
      break;
  }
  return {};
}

void
EntryFrontend::RecordResult(const Job& aJob, const RequestResult& aResult, core::Duration aDuration)
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
    { { "request", aJob.metadata.id },
      { "route", aJob.route->name },
      { "customer", aJob.serviceTerms->customer },
      { "version", std::to_string(aJob.table->version) },
      { "outcome", std::string(query::NameOf(aResult.outcome)) },
      { "took_ms", FormatMilliseconds(aDuration) },
      { "deadline_ms", FormatMilliseconds(aJob.metadata.deadline.value_or(aJob.route->timeout)) },
      { "fingerprint", core::ToHex(aJob.metadata.fingerprint) },
      { "forwarded_by", aJob.terms ? aJob.terms->origin : "" },
      { "attempts", std::to_string(aResult.attempts) },
      { "missing", std::to_string(aResult.missingShards) },
      { "reason", aResult.reason } });
}

EntryFrontend::Served
EntryFrontend::RefuseNotRun(const RequestMetadata& aMetadata,
                            std::string_view aReason,
                            const std::string& aInput,
                            core::Duration aRetryAfter)
{
  LogRefusal(aMetadata, aReason, aInput);
  return { MakeNotRunRefusal(aReason, aRetryAfter),
           { ForwardVerdict::NotRun, std::string(aReason) } };
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
