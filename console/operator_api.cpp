#include "console/operator_api.h"

#include "console/change_json.h"
#include "console/screen_page.h"
#include "console/status_feed.h"
#include "core/log.h"
#include "net/request_target.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace skylarkwing::console {

namespace {

using core::Task;
using net::HttpRequest;
using net::HttpResponse;
using nlohmann::json;

constexpr std::string_view kDomainPrefix = "/v1/domains/";
constexpr std::string_view kQuarantinePrefix = "/v1/quarantine/";
constexpr std::size_t kMaxScreens = 64;
/** How often an event stream polls for changes; a change shows within this plus one status refresh.
 */
constexpr core::Duration kEventInterval = std::chrono::milliseconds{ 500 };
/** Interval of comments on an idle stream, which keep it open and detect a closed connection. */
constexpr core::Duration kKeepAliveInterval = std::chrono::seconds{ 10 };

std::string
Dump(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpResponse
JsonResponse(unsigned aStatus, const json& aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Cache-Control", "no-store" }, { "X-Content-Type-Options", "nosniff" } };
  response.body = Dump(aBody);
  return response;
}

HttpResponse
ErrorResponse(unsigned aStatus, std::string_view aError, const std::string& aReason)
{
  return JsonResponse(aStatus, { { "error", aError }, { "reason", aReason } });
}

HttpResponse
AccessResponse(AccessRefusal aRefusal)
{
  switch (aRefusal) {
    case AccessRefusal::Unauthorized: {
      HttpResponse response =
        ErrorResponse(401, NameOf(aRefusal), "a bearer token of this deployment is needed");
      response.headers.push_back({ "WWW-Authenticate", "Bearer" });
      return response;
    }
    case AccessRefusal::Forbidden:
      return ErrorResponse(403, NameOf(aRefusal), "this token may read and not change");
    case AccessRefusal::CrossSite:
      return ErrorResponse(403, NameOf(aRefusal), "the request came from a page of another site");
    case AccessRefusal::ContentType:
      break;
  }
  return ErrorResponse(415, NameOf(aRefusal), "the body must be application/json");
}

HttpResponse
PageResponse()
{
  HttpResponse response;
  response.contentType = "text/html; charset=utf-8";
  response.headers = {
    { "Cache-Control", "no-store" },
    { "X-Content-Type-Options", "nosniff" },
    { "X-Frame-Options", "DENY" },
    { "Referrer-Policy", "no-referrer" },
    { "Content-Security-Policy",
      "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; "
      "connect-src 'self'; img-src data:; base-uri 'none'; form-action 'none'; "
      "frame-ancestors 'none'" },
  };
  response.body = std::string(kScreenPage);
  return response;
}

unsigned
StatusOf(const ChangeOutcome& aOutcome)
{
  switch (aOutcome.verdict) {
    case ChangeVerdict::Accepted:
      return 200;
    case ChangeVerdict::Conflict:
      return 409;
    case ChangeVerdict::Refused:
      return 422;
    case ChangeVerdict::Unknown:
      break;
  }
  return 504;
}

/** @return the decoded path segment after a prefix, or nothing when the rest is not one segment. */
std::optional<std::string>
SegmentAfter(const std::string& aPath, std::string_view aPrefix)
{
  if (aPath.rfind(aPrefix, 0) != 0 || aPath.size() == aPrefix.size()) {
    return std::nullopt;
  }
  const std::string segment = aPath.substr(aPrefix.size());
  return segment.find('/') == std::string::npos ? net::PercentDecode(segment) : std::nullopt;
}

OperatorRight
RightOf(const HttpRequest& aRequest)
{
  return aRequest.method == "GET" ? OperatorRight::Read : OperatorRight::Change;
}

} // namespace

struct OperatorApi::State
{
  State(core::TimerService& aTimers,
        core::Metrics& aMetrics,
        OperatorTokens aTokens,
        ConsoleHooks aHooks)
    : timers(aTimers)
    , metrics(aMetrics)
    , hooks(std::move(aHooks))
    , access(aTimers, aMetrics, std::move(aTokens))
    , changes(aTimers, hooks)
    , feed(aTimers, hooks.status)
    , screens(aMetrics.Gauge("skylarkwing_console_screens",
                             "Screens that follow the event stream of this daemon."))
  {
  }

  core::TimerService& timers;
  core::Metrics& metrics;
  ConsoleHooks hooks;
  OperatorAccess access;
  ChangeService changes;
  StatusFeed feed;
  prometheus::Gauge& screens;
  std::size_t openStreams = 0;
  bool isStopping = false;
};

namespace {

/** Counts an open event stream during its lifetime. */
class OpenScreenCounter
{
public:
  OpenScreenCounter(std::size_t& aCount, prometheus::Gauge& aGauge)
    : mCount(aCount)
    , mGauge(aGauge)
  {
    mGauge.Set(static_cast<double>(++mCount));
  }
  OpenScreenCounter(const OpenScreenCounter&) = delete;
  OpenScreenCounter& operator=(const OpenScreenCounter&) = delete;
  ~OpenScreenCounter() { mGauge.Set(static_cast<double>(--mCount)); }

private:
  std::size_t& mCount;
  prometheus::Gauge& mGauge;
};

} // namespace

/** The request handlers. Every task shares ownership of the state, which may outlive the API. */
class OperatorApi::Requests
{
public:
  using StatePtr = std::shared_ptr<State>;

  static Task<HttpResponse> Handle(StatePtr aState, HttpRequest aRequest);

private:
  static Task<HttpResponse> Answer(HttpResponse aResponse);
  static HttpResponse Read(State& aState, const std::string& aPath);
  static HttpResponse Status(State& aState);
  static HttpResponse Configuration(const State& aState);
  static HttpResponse History(const State& aState);
  static HttpResponse Metrics(const State& aState);
  static HttpResponse Events(const StatePtr& aState);
  static HttpResponse Release(State& aState, const std::string& aFingerprint);
  static Task<HttpResponse> Burn(StatePtr aState);
  static Task<HttpResponse> ChangeDeclaration(StatePtr aState, HttpRequest aRequest);
  static Task<HttpResponse> ChangeDomain(StatePtr aState, HttpRequest aRequest, std::string aName);
  static Task<void> Stream(StatePtr aState, net::HttpStream& aStream);
  static HttpResponse ChangeResponse(State& aState,
                                     const ChangeOutcome& aOutcome,
                                     const ChangeTerms& aTerms);
};

Task<HttpResponse>
OperatorApi::Requests::Handle(StatePtr aState, HttpRequest aRequest)
{
  const std::string path = aRequest.Path();
  if (aRequest.method == "GET" && path == "/") {
    return Answer(PageResponse());
  }
  const auto refusal = aState->access.Check(aRequest, RightOf(aRequest));
  if (refusal) {
    return Answer(AccessResponse(*refusal));
  }
  if (aRequest.method == "GET" && path == "/v1/events") {
    return Answer(Events(aState));
  }
  if (aRequest.method == "GET" && path == "/v1/burn") {
    return Burn(std::move(aState));
  }
  if (aRequest.method == "GET") {
    return Answer(Read(*aState, path));
  }
  if (aRequest.method == "POST" && path == "/v1/configuration") {
    return ChangeDeclaration(std::move(aState), std::move(aRequest));
  }
  const std::optional<std::string> domain = SegmentAfter(path, kDomainPrefix);
  if (aRequest.method == "POST" && domain) {
    return ChangeDomain(std::move(aState), std::move(aRequest), *domain);
  }
  const std::optional<std::string> fingerprint = SegmentAfter(path, kQuarantinePrefix);
  if (aRequest.method == "DELETE" && fingerprint) {
    return Answer(Release(*aState, *fingerprint));
  }
  return Answer(ErrorResponse(404, "not_found", "there is no such method and path"));
}

Task<HttpResponse>
OperatorApi::Requests::Answer(HttpResponse aResponse)
{
  co_return aResponse;
}

HttpResponse
OperatorApi::Requests::Read(State& aState, const std::string& aPath)
{
  if (aPath == "/v1/status") {
    return Status(aState);
  }
  if (aPath == "/v1/configuration") {
    return Configuration(aState);
  }
  if (aPath == "/v1/history") {
    return History(aState);
  }
  if (aPath == "/v1/quarantine") {
    return JsonResponse(200, { { "quarantine", ToJson(aState.hooks.quarantine()) } });
  }
  if (aPath == "/metrics") {
    return Metrics(aState);
  }
  return ErrorResponse(404, "not_found", "there is no such path");
}

HttpResponse
OperatorApi::Requests::Status(State& aState)
{
  aState.feed.Refresh();
  HttpResponse response = JsonResponse(200, nullptr);
  response.body = aState.feed.Text();
  return response;
}

HttpResponse
OperatorApi::Requests::Configuration(const State& aState)
{
  const auto configuration = aState.hooks.configuration();
  if (!configuration) {
    return ErrorResponse(404, "no_configuration", "no configuration is known here yet");
  }
  return JsonResponse(200,
                      { { "generation", configuration->generation },
                        { "declaration", declaration::ToJson(configuration->declaration) } });
}

HttpResponse
OperatorApi::Requests::History(const State& aState)
{
  json records = json::array();
  const auto configuration = aState.hooks.configuration();
  if (configuration) {
    for (const declaration::ChangeRecord& record : configuration->history) {
      records.push_back(ToJson(record));
    }
  }
  return JsonResponse(200, { { "history", std::move(records) } });
}

HttpResponse
OperatorApi::Requests::Metrics(const State& aState)
{
  HttpResponse response;
  response.contentType = "text/plain; version=0.0.4; charset=utf-8";
  response.body = aState.metrics.Render();
  return response;
}

HttpResponse
OperatorApi::Requests::Events(const StatePtr& aState)
{
  if (aState->isStopping || aState->openStreams >= kMaxScreens) {
    return ErrorResponse(503, "too_many_screens", "this daemon serves no more screens");
  }
  HttpResponse response;
  response.contentType = "text/event-stream";
  response.headers = { { "Cache-Control", "no-store" } };
  response.stream = [aState](net::HttpStream& aStream) { return Stream(aState, aStream); };
  return response;
}

Task<void>
OperatorApi::Requests::Stream(StatePtr aState, net::HttpStream& aStream)
{
  const OpenScreenCounter count(aState->openStreams, aState->screens);
  std::uint64_t sent = 0;
  core::TimePoint lastWriteAt = aState->timers.Now();
  while (!aState->isStopping) {
    aState->feed.Refresh();
    std::string chunk = aState->feed.EventSince(sent);
    sent = aState->feed.Version();
    if (chunk.empty() && aState->timers.Now() - lastWriteAt >= kKeepAliveInterval) {
      chunk = ": quiet\n\n";
    }
    if (!chunk.empty()) {
      lastWriteAt = aState->timers.Now();
      const bool isOpen = co_await aStream.Write(std::move(chunk));
      if (!isOpen) {
        co_return;
      }
    }
    co_await core::Sleep(aState->timers, kEventInterval);
  }
}

HttpResponse
OperatorApi::Requests::Release(State& aState, const std::string& aFingerprint)
{
  if (!aState.hooks.releaseQuarantine(aFingerprint)) {
    return ErrorResponse(404, "not_quarantined", "that fingerprint is not quarantined");
  }
  core::LogEvent(
    core::LogLevel::Info, "console", "quarantine_released", { { "fingerprint", aFingerprint } });
  aState.feed.Invalidate();
  return JsonResponse(200, { { "released", aFingerprint } });
}

Task<HttpResponse>
OperatorApi::Requests::Burn(StatePtr aState)
{
  const auto report = std::make_shared<json>();
  std::function<void(std::function<void()>)> start = [aState,
                                                      report](std::function<void()> aResume) {
    aState->hooks.collectBurn([report, resume = std::move(aResume)](json aReport) {
      *report = std::move(aReport);
      resume();
    });
  };
  co_await core::AwaitCallback(std::move(start));
  HttpResponse response = JsonResponse(200, *report);
  co_return response;
}

Task<HttpResponse>
OperatorApi::Requests::ChangeDeclaration(StatePtr aState, HttpRequest aRequest)
{
  const ParsedBody<DeclarationBody> body = ReadDeclarationBody(aRequest.body);
  if (!body.value) {
    co_return ErrorResponse(400, "malformed", body.fault);
  }
  const auto outcome = std::make_shared<ChangeOutcome>();
  std::function<void(std::function<void()>)> start =
    [aState, outcome, wanted = *body.value](std::function<void()> aResume) {
      aState->changes.ApplyDeclaration(
        wanted.declaration,
        wanted.terms,
        [outcome, resume = std::move(aResume)](ChangeOutcome aOutcome) {
          *outcome = std::move(aOutcome);
          resume();
        });
    };
  co_await core::AwaitCallback(std::move(start));
  co_return ChangeResponse(*aState, *outcome, body.value->terms);
}

Task<HttpResponse>
OperatorApi::Requests::ChangeDomain(StatePtr aState, HttpRequest aRequest, std::string aName)
{
  const ParsedBody<DomainBody> body = ReadDomainBody(aRequest.body);
  if (!body.value) {
    co_return ErrorResponse(400, "malformed", body.fault);
  }
  const auto outcome = std::make_shared<ChangeOutcome>();
  const DomainChange change{ std::move(aName), body.value->out };
  std::function<void(std::function<void()>)> start =
    [aState, outcome, change, terms = body.value->terms](std::function<void()> aResume) {
      aState->changes.ApplyDomain(
        change, terms, [outcome, resume = std::move(aResume)](ChangeOutcome aOutcome) {
          *outcome = std::move(aOutcome);
          resume();
        });
    };
  co_await core::AwaitCallback(std::move(start));
  co_return ChangeResponse(*aState, *outcome, body.value->terms);
}

HttpResponse
OperatorApi::Requests::ChangeResponse(State& aState,
                                      const ChangeOutcome& aOutcome,
                                      const ChangeTerms& aTerms)
{
  const std::string verdict(NameOf(aOutcome.verdict));
  aState.metrics
    .Counter("skylarkwing_console_changes_total",
             "Changes that operators asked for, by outcome.",
             { { "outcome", verdict } })
    .Increment();
  core::LogEvent(core::LogLevel::Info,
                 "console",
                 "change_" + verdict,
                 { { "author", aTerms.author },
                   { "reason", aTerms.reason },
                   { "generation", std::to_string(aOutcome.generation) },
                   { "forced", aTerms.force ? "yes" : "no" },
                   { "why", aOutcome.reason } });
  aState.feed.Invalidate();
  return JsonResponse(StatusOf(aOutcome), ToJson(aOutcome));
}

OperatorApi::OperatorApi(core::TimerService& aTimers,
                         core::Metrics& aMetrics,
                         OperatorTokens aTokens,
                         ConsoleHooks aHooks)
  : mState(std::make_shared<State>(aTimers, aMetrics, std::move(aTokens), std::move(aHooks)))
{
}

OperatorApi::~OperatorApi()
{
  Stop();
}

Task<HttpResponse>
OperatorApi::Handle(HttpRequest aRequest)
{
  return Requests::Handle(mState, std::move(aRequest));
}

void
OperatorApi::Stop()
{
  mState->isStopping = true;
}

} // namespace skylarkwing::console
