#include "caller/caller_frontend_state.h"

#include <algorithm>
#include <utility>

// GCC 12 reports a false positive about the frames of Asio's coroutines.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace skylarkwing::caller {

namespace {

/** Divides the remaining time into the reserve for the home's reply while the latency is unknown.
 */
constexpr int kReplyReserveDivisor = 10;

/** Divides the timeout into the largest reserve for transfer to and from the caller. */
constexpr int kAnswerReserveDivisor = 8;

constexpr core::Duration kNotReadyRetryAfter = std::chrono::milliseconds{ 500 };

Refusal
MakeRefusal(RefusalKind aKind, std::string aReason, query::Executed aExecuted)
{
  Refusal refusal;
  refusal.kind = aKind;
  refusal.reason = std::move(aReason);
  refusal.executed = aExecuted;
  return refusal;
}

prometheus::Counter&
IdentityCounter(core::Metrics& aMetrics, const std::string& aOutcome)
{
  return aMetrics.Counter("skylarkwing_caller_identified_requests_total",
                          "Requests with an identity that this daemon did not run itself.",
                          { { "outcome", aOutcome } });
}

} // namespace

CallerFrontend::State::State(core::TimerService& aTimers,
                             core::RandomSource& aRandom,
                             core::Metrics& aMetrics,
                             CallerHooks aHooks,
                             CallerSettings aSettings)
  : timers(aTimers)
  , random(aRandom)
  , hooks(std::move(aHooks))
  , settings(std::move(aSettings))
  , admission(aTimers, aRandom, aMetrics, hooks.liveMemberCount)
  , table(aTimers, settings.runTable)
  , forwarder(aTimers, aRandom, hooks.sendToPeer)
  , answers(aMetrics.Counter("skylarkwing_caller_answers_total", "Queries answered to callers."))
  , forwarded(IdentityCounter(aMetrics, "forwarded"))
  , repeated(IdentityCounter(aMetrics, "repeated"))
{
  for (std::size_t n = 0; n < RefusalKindCount(); ++n) {
    const auto kind = static_cast<RefusalKind>(n);
    refusals[kind] = &aMetrics.Counter("skylarkwing_caller_refusals_total",
                                       "Requests of callers refused, by kind.",
                                       { { "kind", std::string(NameOf(kind)) } });
  }
}

net::HttpResponse
CallerFrontend::State::EntryPoints(const net::HttpRequest& aRequest)
{
  if (aRequest.method != "GET") {
    return Refuse(
      MakeRefusal(RefusalKind::NotFound, "only GET is served here", query::Executed::No));
  }
  return RenderEntryPoints(hooks.entryPoints(aRequest.QueryValue("failure-domain")));
}

core::Task<net::HttpResponse>
CallerFrontend::State::Query(net::HttpRequest aRequest, QueryOrigin aOrigin)
{
  const core::TimePoint arrival = timers.Now();
  if (aRequest.method != "POST") {
    co_return Refuse(
      MakeRefusal(RefusalKind::NotFound, "only POST is served here", query::Executed::No));
  }
  const auto configuration = hooks.configuration();
  if (!configuration) {
    Refusal refusal =
      MakeRefusal(RefusalKind::NotReady, "no configuration is in force yet", ExecutedOf(aRequest));
    refusal.retryAfter = kNotReadyRetryAfter;
    co_return Refuse(refusal);
  }
  ParsedQuery parsed = ParseQuery(aRequest, configuration);
  if (!parsed.query) {
    parsed.refusal.executed = ExecutedOf(aRequest);
    co_return Refuse(parsed.refusal);
  }
  CallerQuery query = std::move(*parsed.query);
  const core::Duration timeout = aOrigin.isForwarded ? aOrigin.remaining : query.timeout;
  const core::Duration reserve =
    std::min<core::Duration>(settings.answerReserve, timeout / kAnswerReserveDivisor);
  const core::TimePoint deadline = arrival + timeout - reserve;
  if (!query.identity) {
    const RunOutcome outcome = co_await RunAdmitted(std::move(query), deadline);
    co_return outcome.response;
  }
  if (IsHome(*query.identity)) {
    net::HttpResponse response = co_await RunOnce(std::move(query), deadline);
    co_return response;
  }
  net::HttpResponse response = co_await ForwardToHome(std::move(query), deadline, aOrigin);
  co_return response;
}

core::Task<void>
CallerFrontend::State::ServeHomeRequest(std::string aVm, HomeRequest aRequest, core::Duration aAge)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/query/" + aRequest.index;
  request.headers = { { "Skylarkwing-Profile", aRequest.profile },
                      { "Skylarkwing-Request-Id", aRequest.identity } };
  request.body = std::move(aRequest.search);
  QueryOrigin origin;
  origin.isForwarded = true;
  origin.remaining = std::chrono::microseconds{ aRequest.remainingMicroseconds } - aAge;
  ++running;
  net::HttpResponse response = co_await Query(std::move(request), origin);
  --running;
  forwarder.Reply(aVm, aRequest.forwardId, std::move(response));
}

core::Task<net::HttpResponse>
CallerFrontend::State::RunOnce(CallerQuery aQuery, core::TimePoint aDeadline)
{
  const RequestIdentity identity = *aQuery.identity;
  const RunTable::BeginResult run =
    table.Begin(identity, aQuery.ContentHash(), hooks.identityEpoch());
  if (run.state == RunState::Done) {
    repeated.Increment();
    co_return *run.outcome;
  }
  if (run.state == RunState::Running) {
    repeated.Increment();
    net::HttpResponse response = co_await AwaitOutcome(run.waiter, aDeadline);
    co_return response;
  }
  if (run.state != RunState::Started) {
    co_return RefuseRunState(run.state);
  }
  const RunOutcome outcome = co_await RunAdmitted(std::move(aQuery), aDeadline);
  table.Finish(identity, outcome.response, outcome.mayHaveRun);
  co_return outcome.response;
}

core::Task<net::HttpResponse>
CallerFrontend::State::ForwardToHome(CallerQuery aQuery,
                                     core::TimePoint aDeadline,
                                     QueryOrigin aOrigin)
{
  const std::string home = aQuery.identity->vm;
  const std::optional<std::string> incarnation = hooks.incarnationOf(home);
  const bool isHomeAlive = home != settings.vm && incarnation == aQuery.identity->incarnation;
  if (!isHomeAlive || aOrigin.isForwarded) {
    co_return Refuse(MakeRefusal(RefusalKind::HomeLost,
                                 "the daemon that handed the identity out is gone",
                                 query::Executed::Unknown));
  }
  forwarded.Increment();
  const core::Duration remaining = aDeadline - timers.Now();
  const core::Duration reserve =
    hooks.oneWayLatency ? hooks.oneWayLatency(home) : remaining / kReplyReserveDivisor;
  const std::optional<net::HttpResponse> reply =
    co_await forwarder.Forward(std::move(aQuery), aDeadline, reserve);
  if (!reply) {
    co_return Refuse(MakeRefusal(RefusalKind::HomeSilent,
                                 "the daemon that handed the identity out did not answer",
                                 query::Executed::Unknown));
  }
  co_return *reply;
}

core::Task<net::HttpResponse>
CallerFrontend::State::AwaitOutcome(std::shared_ptr<RunTable::Waiter> aWaiter,
                                    core::TimePoint aDeadline)
{
  const std::optional<net::HttpResponse> outcome = co_await aWaiter->Receive(aDeadline);
  if (outcome) {
    co_return *outcome;
  }
  co_return Refuse(MakeRefusal(
    RefusalKind::OutcomeLost, "the request is still running", query::Executed::Unknown));
}

core::Task<RunOutcome>
CallerFrontend::State::RunAdmitted(CallerQuery aQuery, core::TimePoint aDeadline)
{
  RunOutcome outcome;
  const core::TimePoint start = timers.Now();
  const std::optional<Refusal> notAccepting = NotAcceptingReason();
  if (notAccepting) {
    Report(aQuery, start, nullptr);
    outcome.response = Refuse(*notAccepting);
    co_return outcome;
  }
  AdmissionRequest request;
  request.index = aQuery.index;
  request.profile = aQuery.profile;
  request.deadline = aDeadline;
  const AdmissionDecision decision = co_await admission.Enter(std::move(request));
  if (!decision.isAdmitted) {
    Report(aQuery, start, nullptr);
    Refusal refusal = MakeRefusal(RefusalKind::Overloaded, decision.reason, query::Executed::No);
    refusal.retryAfter = decision.retryAfter;
    outcome.response = Refuse(refusal);
    co_return outcome;
  }
  const query::QueryResult result = co_await Run(aQuery, aDeadline);
  Report(aQuery, start, &result);
  if (result.status == query::QueryStatus::Refused) {
    outcome.response = Refuse(RefusalOf(result));
    outcome.mayHaveRun = result.executed != query::Executed::No;
    co_return outcome;
  }
  answers.Increment();
  outcome.response = RenderAnswer(result);
  outcome.mayHaveRun = true;
  co_return outcome;
}

void
CallerFrontend::State::Report(const CallerQuery& aQuery,
                              core::TimePoint aStart,
                              const query::QueryResult* aResult)
{
  if (!hooks.onOutcome) {
    return;
  }
  QueryOutcome outcome;
  outcome.profile = aQuery.profile->name;
  outcome.index = aQuery.index;
  outcome.latency = timers.Now() - aStart;
  outcome.isRefused = !aResult || aResult->status == query::QueryStatus::Refused;
  outcome.result = aResult;
  hooks.onOutcome(outcome);
}

core::Task<query::QueryResult>
CallerFrontend::State::Run(CallerQuery aQuery, core::TimePoint aDeadline)
{
  const core::TimePoint start = timers.Now();
  const std::string index = aQuery.index;
  const auto profile = aQuery.profile;
  query::QueryRequest request;
  request.requestId = aQuery.identity ? aQuery.identity->Text() : std::string();
  request.index = aQuery.index;
  request.profile = profile;
  request.search = std::move(aQuery.search);
  request.size = aQuery.size;
  request.deadline = aDeadline;
  query::QueryResult result = co_await hooks.runQuery(std::move(request));
  LoadSample sample;
  sample.latency = timers.Now() - start;
  sample.objective = profile->objective.latency;
  sample.isShed = result.refusal == query::QueryRefusal::Overloaded;
  admission.Leave(index, profile->name, sample);
  co_return result;
}

std::optional<Refusal>
CallerFrontend::State::NotAcceptingReason() const
{
  std::optional<Refusal> refusal;
  if (hooks.isLeaving()) {
    refusal = MakeRefusal(RefusalKind::Leaving, "the daemon is stopping", query::Executed::No);
  } else if (!hooks.mayTakeNewWork()) {
    refusal = MakeRefusal(
      RefusalKind::NotReady, "the daemon is cut off from the others", query::Executed::No);
    refusal->retryAfter = kNotReadyRetryAfter;
  }
  return refusal;
}

net::HttpResponse
CallerFrontend::State::RefuseRunState(RunState aState)
{
  switch (aState) {
    case RunState::Reused:
      return Refuse(MakeRefusal(RefusalKind::IdentityReused,
                                "the identity belongs to a request that asked something else",
                                query::Executed::Unknown));
    case RunState::Expired:
      return Refuse(MakeRefusal(RefusalKind::IdentityExpired,
                                "the identity is too old for its outcome to be known",
                                query::Executed::Unknown));
    case RunState::NeverIssued:
      return Refuse(MakeRefusal(
        RefusalKind::BadIdentity, "the identity was never handed out", query::Executed::No));
    case RunState::Full: {
      Refusal refusal = MakeRefusal(RefusalKind::RunTableFull,
                                    "no room for another request that must not run twice",
                                    query::Executed::No);
      refusal.retryAfter = kNotReadyRetryAfter;
      return Refuse(refusal);
    }
    default:
      return Refuse(MakeRefusal(RefusalKind::OutcomeLost,
                                "the request has run, and its outcome is no longer kept",
                                query::Executed::Unknown));
  }
}

query::Executed
CallerFrontend::State::ExecutedOf(const net::HttpRequest& aRequest) const
{
  const std::optional<std::string> text = aRequest.Header("Skylarkwing-Request-Id");
  const auto identity = text ? ParseRequestIdentity(*text) : std::nullopt;
  // Requests with a missing or invalid identity never run, and idempotent ones have no identity.
  if (!identity || IsIdempotent(aRequest)) {
    return query::Executed::No;
  }
  const bool hasNotRun =
    IsHome(*identity) && table.HasCertainlyNotRun(*identity, hooks.identityEpoch());
  return hasNotRun ? query::Executed::No : query::Executed::Unknown;
}

bool
CallerFrontend::State::IsIdempotent(const net::HttpRequest& aRequest) const
{
  const auto configuration = hooks.configuration();
  const std::optional<std::string> name = aRequest.Header("Skylarkwing-Profile");
  if (!configuration || !name) {
    return false;
  }
  const auto& profiles = configuration->declaration.profiles;
  return std::any_of(profiles.begin(), profiles.end(), [&name](const auto& aProfile) {
    return aProfile.name == *name && aProfile.idempotent;
  });
}

bool
CallerFrontend::State::IsHome(const RequestIdentity& aIdentity) const
{
  return aIdentity.vm == settings.vm && aIdentity.incarnation == settings.incarnation;
}

net::HttpResponse
CallerFrontend::State::Refuse(const Refusal& aRefusal)
{
  refusals.at(aRefusal.kind)->Increment();
  return RenderRefusal(aRefusal);
}

} // namespace skylarkwing::caller
