#include "standin/upstream_standin.h"

#include "core/random_source.h"
#include "core/task.h"
#include "net/http_server.h"
#include "standin/shard_contents.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace skylarkwing::standin {

namespace {

using nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusNotExecuted = 503;
constexpr unsigned kStatusOutcomeUnknown = 504;
/** The owner may have sent searches before the first "cold" response reached it. */
constexpr core::Duration kColdNoticeDelay = std::chrono::milliseconds{ 50 };
/** Additional slowdown of a cold process over its limit. */
constexpr double kColdOverloadFactor = 10.0;

/** Why a running search ended early. */
enum class Interruption
{
  Cancelled,
  ProcessEnded,
};

/** A search request as received. */
struct SearchRequest
{
  std::string requestId;
  std::string index;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;
  std::int64_t deadlineMs = 0;
  bool idempotent = true;
  json search = json::object();
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SearchRequest,
                                   requestId,
                                   index,
                                   shard,
                                   snapshot,
                                   deadlineMs,
                                   idempotent,
                                   search)

std::optional<SearchRequest>
ParseSearch(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  try {
    return body.get<SearchRequest>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

bool
HasPoison(const json& aSearch)
{
  const auto it = aSearch.find("poison");
  return it != aSearch.end() && it->is_boolean() && it->get<bool>();
}

/** The shards of one index version. */
struct Version
{
  std::uint32_t shardCount = 0;
  std::map<std::uint32_t, std::vector<Document>> shards;
};

/** A report of the load endpoint and the time it describes. */
struct LoadReport
{
  core::TimePoint at;
  std::string body;
};

using InterruptionMailbox = core::Mailbox<Interruption>;

/** Placeholder response for a request whose connection or process has ended. */
core::Task<net::HttpResponse>
RespondEmpty()
{
  co_return net::HttpResponse{};
}

} // namespace

/** State shared by the tasks of one upstream. */
struct UpstreamStandin::State : std::enable_shared_from_this<UpstreamStandin::State>
{
  State(boost::asio::io_context& aLoop,
        core::TimerService& aTimers,
        UpstreamStandinOptions aOptions,
        UpstreamLedgers aLedgers)
    : loop(aLoop)
    , timers(aTimers)
    , options(std::move(aOptions))
    , ledgers(std::move(aLedgers))
    , random(options.seed)
    , address(options.address)
  {
  }

  boost::asio::io_context& loop;
  core::TimerService& timers;
  UpstreamStandinOptions options;
  UpstreamLedgers ledgers;
  core::RandomSource random;
  std::string address;
  PropertyCounts properties;
  UpstreamLoad load;
  std::map<std::uint64_t, Version> versions;

  std::unique_ptr<net::HttpServer> server;
  /** Incremented when a server starts or the process ends; outdates pending requests. */
  std::uint64_t serverGeneration = 0;
  core::TimerId restartTimer = 0;
  bool isRefusing = false;
  bool isPartial = false;
  std::optional<core::TimePoint> outSince;

  // State of the current process, reset on restart.
  std::string incarnation;
  bool isCold = false;
  core::TimePoint coldSince;
  std::uint32_t coldSearchCount = 0;
  std::optional<core::TimePoint> coldReportedSince;
  bool isDraining = false;
  std::optional<core::TimePoint> drainReportedSince;
  std::set<std::string> clients;
  core::TimePoint connectReadyAt;
  std::unordered_map<std::string, std::shared_ptr<InterruptionMailbox>> running;
  std::deque<LoadReport> reports;

  bool Listen();
  void BeginProcess(bool aIsCold);
  void EndProcess();
  void ScheduleRestart();
  void UpdateColdState();
  const char* StateName() const;
  std::string DescribeLoad() const;
  std::string DelayedLoadReport();
  void CountSearch();
  bool IsAtColdLimit() const;
  core::Duration ServiceTime(bool aIsOverloaded);
  const char* RefusalReason(const SearchRequest& aRequest) const;
  net::HttpResponse Respond(unsigned aStatus, std::string aBody);
  net::HttpResponse RefuseSearch(const SearchRequest& aRequest, const char* aReason);
  net::HttpResponse RespondUnknown(const SearchRequest& aRequest, const char* aReason);
  net::HttpResponse RespondHits(const SearchRequest& aRequest);
  core::Task<net::HttpResponse> Handle(std::shared_ptr<State> aSelf, net::HttpRequest aRequest);
  core::Task<void> WaitForConnect(std::string aClientAddress);
  core::Task<net::HttpResponse> HandleSearch(SearchRequest aRequest);
  core::Task<net::HttpResponse> Run(SearchRequest aRequest);
  void RecordStart(const SearchRequest& aRequest);
  net::HttpResponse HandleCancel(const std::string& aBody);
  void Crash(const SearchRequest& aRequest);
};

bool
UpstreamStandin::State::Listen()
{
  ++serverGeneration;
  net::HttpServerLimits limits;
  limits.connections = options.connections;
  const std::weak_ptr<State> weak = weak_from_this();
  server = std::make_unique<net::HttpServer>(
    loop, limits, [weak](net::HttpRequest aRequest) -> core::Task<net::HttpResponse> {
      const std::shared_ptr<State> self = weak.lock();
      return self ? self->Handle(self, std::move(aRequest)) : RespondEmpty();
    });
  server->SetErrorHandler([weak](net::HttpRequestError aError) {
    const std::shared_ptr<State> self = weak.lock();
    if (self && aError == net::HttpRequestError::TooManyConnections) {
      ++self->properties.connectionsOverLimit;
    }
    return net::HttpResponse{};
  });
  if (!server->Listen(address)) {
    server.reset();
    return false;
  }
  address = server->Address();
  return true;
}

void
UpstreamStandin::State::BeginProcess(bool aIsCold)
{
  incarnation = random.Token();
  isCold = aIsCold;
  coldSince = timers.Now();
  coldSearchCount = 0;
  // Its new incarnation identifies a cold process from the first connection on.
  coldReportedSince = aIsCold ? std::optional(coldSince - kColdNoticeDelay) : std::nullopt;
  isDraining = false;
  drainReportedSince.reset();
  clients.clear();
  connectReadyAt = coldSince;
  reports.push_back({ timers.Now(), DescribeLoad() });
}

void
UpstreamStandin::State::EndProcess()
{
  ++serverGeneration;
  if (server) {
    server->Close();
    server.reset();
  }
  const auto interrupted = std::exchange(running, {});
  for (const auto& [id, mailbox] : interrupted) {
    mailbox->Push(Interruption::ProcessEnded);
  }
}

void
UpstreamStandin::State::ScheduleRestart()
{
  timers.Cancel(restartTimer);
  const std::weak_ptr<State> weak = weak_from_this();
  restartTimer = timers.Schedule(options.restartTime, [weak] {
    const std::shared_ptr<State> self = weak.lock();
    if (!self) {
      return;
    }
    self->restartTimer = 0;
    if (!self->Listen()) {
      self->ScheduleRestart();
      return;
    }
    self->BeginProcess(true);
  });
}

void
UpstreamStandin::State::UpdateColdState()
{
  if (!isCold || coldSearchCount < options.coldSearches) {
    return;
  }
  if (timers.Now() - coldSince < options.coldTime) {
    return;
  }
  isCold = false;
  coldReportedSince.reset();
}

const char*
UpstreamStandin::State::StateName() const
{
  if (isDraining) {
    return "draining";
  }
  return isCold ? "cold" : "warm";
}

std::string
UpstreamStandin::State::DescribeLoad() const
{
  json holdings = json::array();
  for (const auto& [snapshot, version] : versions) {
    json shards = json::array();
    for (const auto& [shard, documents] : version.shards) {
      shards.push_back(shard);
    }
    holdings.push_back(
      { { "snapshot", snapshot }, { "shardCount", version.shardCount }, { "shards", shards } });
  }
  const json report = { { "incarnation", incarnation },
                        { "state", StateName() },
                        { "inFlight", running.size() },
                        { "slots", options.slots },
                        { "holdings", holdings } };
  return report.dump();
}

std::string
UpstreamStandin::State::DelayedLoadReport()
{
  const core::TimePoint now = timers.Now();
  reports.push_back({ now, DescribeLoad() });
  while (reports.size() > 1 && reports[1].at + options.loadLag <= now) {
    reports.pop_front();
  }
  return reports.front().body;
}

void
UpstreamStandin::State::CountSearch()
{
  const core::TimePoint now = timers.Now();
  ++load.received;
  if (outSince && now - *outSince > options.noticeGracePeriod) {
    ++properties.workWhileOut;
  }
  if (drainReportedSince && now - *drainReportedSince > options.noticeGracePeriod) {
    ++properties.workWhileDraining;
  }
  const bool isColdReported = coldReportedSince && now - *coldReportedSince > kColdNoticeDelay;
  if (isColdReported && IsAtColdLimit()) {
    ++properties.coldOverfull;
  }
}

bool
UpstreamStandin::State::IsAtColdLimit() const
{
  return isCold && running.size() >= options.coldSlots;
}

core::Duration
UpstreamStandin::State::ServiceTime(bool aIsOverloaded)
{
  // Box-Muller transform: two uniform numbers give one normally distributed number.
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random.Fraction()));
  const double normal = radius * std::cos(2.0 * std::numbers::pi * random.Fraction());
  double factor = std::exp(options.serviceSpread * normal);
  if (random.Fraction() < options.stragglerShare) {
    factor *= options.stragglerFactor;
  }
  if (isCold) {
    factor *= options.coldFactor;
  }
  if (aIsOverloaded) {
    factor *= kColdOverloadFactor;
  }
  const auto ticks = static_cast<double>(options.serviceTime.count()) * factor;
  return core::Duration(static_cast<core::Duration::rep>(ticks));
}

const char*
UpstreamStandin::State::RefusalReason(const SearchRequest& aRequest) const
{
  if (isDraining) {
    return "draining";
  }
  const auto version = versions.find(aRequest.snapshot);
  const bool isHeld = version != versions.end() && aRequest.index == options.index &&
                      version->second.shards.contains(aRequest.shard);
  if (!isHeld) {
    return "wrong_snapshot";
  }
  if (aRequest.deadlineMs <= 0) {
    return "deadline";
  }
  if (isRefusing || running.size() >= options.slots) {
    return "overloaded";
  }
  return nullptr;
}

net::HttpResponse
UpstreamStandin::State::Respond(unsigned aStatus, std::string aBody)
{
  if (isCold && !coldReportedSince) {
    coldReportedSince = timers.Now();
  }
  if (isDraining && !drainReportedSince) {
    drainReportedSince = timers.Now();
  }
  net::HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Upstream-Incarnation", incarnation }, { "Upstream-State", StateName() } };
  response.body = std::move(aBody);
  return response;
}

net::HttpResponse
UpstreamStandin::State::RefuseSearch(const SearchRequest& aRequest, const char* aReason)
{
  ++load.shed;
  const json body = { { "requestId", aRequest.requestId },
                      { "executed", "no" },
                      { "reason", aReason } };
  return Respond(kStatusNotExecuted, body.dump());
}

net::HttpResponse
UpstreamStandin::State::RespondUnknown(const SearchRequest& aRequest, const char* aReason)
{
  const json body = { { "requestId", aRequest.requestId },
                      { "executed", "unknown" },
                      { "reason", aReason } };
  return Respond(kStatusOutcomeUnknown, body.dump());
}

net::HttpResponse
UpstreamStandin::State::RespondHits(const SearchRequest& aRequest)
{
  const auto version = versions.find(aRequest.snapshot);
  if (version == versions.end()) {
    return RespondUnknown(aRequest, "deadline");
  }
  std::vector<Document> documents = version->second.shards.at(aRequest.shard);
  if (isPartial) {
    documents.resize(documents.size() / 2);
  }
  const json body = { { "requestId", aRequest.requestId },
                      { "snapshot", aRequest.snapshot },
                      { "shard", aRequest.shard },
                      { "complete", !isPartial },
                      { "hits", SearchDocuments(documents, aRequest.search) } };
  return Respond(kStatusOk, body.dump());
}

core::Task<net::HttpResponse>
UpstreamStandin::State::Handle([[maybe_unused]] std::shared_ptr<State> aSelf,
                               net::HttpRequest aRequest)
{
  const std::uint64_t generation = serverGeneration;
  co_await WaitForConnect(aRequest.clientAddress);
  if (generation != serverGeneration) {
    co_return net::HttpResponse{};
  }
  const std::string path = aRequest.Path();
  if (path == "/load") {
    co_return Respond(kStatusOk, DelayedLoadReport());
  }
  if (path == "/cancel") {
    co_return HandleCancel(aRequest.body);
  }
  if (path != "/search") {
    co_return Respond(kStatusNotFound, "{}");
  }
  std::optional<SearchRequest> request = ParseSearch(aRequest.body);
  if (!request) {
    co_return Respond(kStatusBadRequest, "{}");
  }
  net::HttpResponse response = co_await HandleSearch(std::move(*request));
  co_return response;
}

core::Task<void>
UpstreamStandin::State::WaitForConnect(std::string aClientAddress)
{
  if (!clients.insert(aClientAddress).second) {
    co_return;
  }
  ++load.connections;
  const core::TimePoint now = timers.Now();
  connectReadyAt = std::max(connectReadyAt, now) + options.connectTime;
  co_await core::Sleep(timers, connectReadyAt - now);
}

core::Task<net::HttpResponse>
UpstreamStandin::State::HandleSearch(SearchRequest aRequest)
{
  UpdateColdState();
  CountSearch();
  const char* reason = RefusalReason(aRequest);
  if (reason != nullptr) {
    co_return RefuseSearch(aRequest, reason);
  }
  RecordStart(aRequest);
  net::HttpResponse response = co_await Run(std::move(aRequest));
  co_return response;
}

core::Task<net::HttpResponse>
UpstreamStandin::State::Run(SearchRequest aRequest)
{
  const core::Duration serviceTime = ServiceTime(IsAtColdLimit());
  const core::Duration deadline = std::chrono::milliseconds{ aRequest.deadlineMs };
  const bool isInTime = serviceTime <= deadline;
  auto mailbox = std::make_shared<InterruptionMailbox>(timers);
  running[aRequest.requestId] = mailbox;
  if (HasPoison(aRequest.search)) {
    const std::shared_ptr<State> self = shared_from_this();
    boost::asio::post(loop, [self, aRequest] { self->Crash(aRequest); });
  }
  const core::TimePoint end = timers.Now() + std::min(serviceTime, deadline);
  const std::optional<Interruption> interruption = co_await mailbox->Receive(end);
  if (interruption == Interruption::ProcessEnded) {
    co_return net::HttpResponse{};
  }
  running.erase(aRequest.requestId);
  coldSearchCount += isCold ? 1 : 0;
  UpdateColdState();
  if (interruption == Interruption::Cancelled) {
    ++load.cancelled;
    co_return RespondUnknown(aRequest, "cancelled");
  }
  if (!isInTime) {
    co_return RespondUnknown(aRequest, "deadline");
  }
  co_return RespondHits(aRequest);
}

void
UpstreamStandin::State::RecordStart(const SearchRequest& aRequest)
{
  ++load.started;
  const auto token = aRequest.search.find("token");
  if (aRequest.idempotent || token == aRequest.search.end() || !token->is_string()) {
    return;
  }
  const std::string name = token->get<std::string>() + "/" + std::to_string(aRequest.shard);
  if (ledgers.runs->RecordStart(name) > 1) {
    ++properties.runTwice;
  }
}

net::HttpResponse
UpstreamStandin::State::HandleCancel(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  const auto id = body.is_object() ? body.find("requestId") : body.end();
  if (id == body.end() || !id->is_string()) {
    return Respond(kStatusBadRequest, "{}");
  }
  const auto it = running.find(id->get<std::string>());
  if (it != running.end()) {
    it->second->Push(Interruption::Cancelled);
  }
  return Respond(kStatusOk, "{}");
}

void
UpstreamStandin::State::Crash(const SearchRequest& aRequest)
{
  ++load.crashes;
  const std::string fingerprint = aRequest.index + "/" + aRequest.search.dump();
  if (ledgers.crashes->RecordCrash(fingerprint, options.replica) > options.crashAllowance) {
    ++properties.crashedTooMany;
  }
  EndProcess();
  ScheduleRestart();
}

UpstreamStandin::UpstreamStandin(boost::asio::io_context& aLoop,
                                 core::TimerService& aTimers,
                                 UpstreamStandinOptions aOptions,
                                 UpstreamLedgers aLedgers)
  : mState(std::make_shared<State>(aLoop, aTimers, std::move(aOptions), std::move(aLedgers)))
{
}

UpstreamStandin::~UpstreamStandin()
{
  Stop();
}

bool
UpstreamStandin::Start()
{
  Stop();
  if (!mState->Listen()) {
    return false;
  }
  const bool isFirst = mState->incarnation.empty();
  mState->BeginProcess(!isFirst || !mState->options.startsWarm);
  return true;
}

void
UpstreamStandin::Stop()
{
  mState->timers.Cancel(mState->restartTimer);
  mState->restartTimer = 0;
  mState->EndProcess();
}

void
UpstreamStandin::Restart()
{
  mState->EndProcess();
  mState->ScheduleRestart();
}

const std::string&
UpstreamStandin::Address() const
{
  return mState->address;
}

const UpstreamStandinOptions&
UpstreamStandin::Options() const
{
  return mState->options;
}

void
UpstreamStandin::TurnCold()
{
  if (mState->isCold) {
    return;
  }
  mState->isCold = true;
  mState->coldSince = mState->timers.Now();
  mState->coldSearchCount = 0;
  mState->coldReportedSince.reset();
}

void
UpstreamStandin::Drain()
{
  mState->isDraining = true;
}

void
UpstreamStandin::DropConnections()
{
  if (!mState->server) {
    return;
  }
  mState->server->Close();
  mState->server.reset();
  mState->Listen();
}

void
UpstreamStandin::SetDomainOut(bool aIsOut)
{
  mState->outSince = aIsOut ? std::optional(mState->timers.Now()) : std::nullopt;
}

void
UpstreamStandin::SetRefusing(bool aIsRefusing)
{
  mState->isRefusing = aIsRefusing;
}

void
UpstreamStandin::SetPartial(bool aIsPartial)
{
  mState->isPartial = aIsPartial;
}

void
UpstreamStandin::SetStragglers(double aShare, double aFactor)
{
  mState->options.stragglerShare = aShare;
  mState->options.stragglerFactor = aFactor;
}

void
UpstreamStandin::AddVersion(std::uint64_t aSnapshot,
                            std::uint32_t aShardCount,
                            const std::vector<std::uint32_t>& aShards)
{
  Version& version = mState->versions[aSnapshot];
  version.shardCount = aShardCount;
  for (const std::uint32_t shard : aShards) {
    version.shards[shard] = GenerateShard(mState->options.index, aSnapshot, shard);
  }
}

void
UpstreamStandin::RemoveVersion(std::uint64_t aSnapshot)
{
  mState->versions.erase(aSnapshot);
}

const PropertyCounts&
UpstreamStandin::Properties() const
{
  return mState->properties;
}

const UpstreamLoad&
UpstreamStandin::Load() const
{
  return mState->load;
}

} // namespace skylarkwing::standin
