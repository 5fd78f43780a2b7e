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
constexpr unsigned kStatusNotRun = 503;
constexpr unsigned kStatusUnknown = 504;
/** An owner may have sent work before the first answer that said "cold" reached it. */
constexpr core::Duration kColdNoticeTransit = std::chrono::milliseconds{ 50 };
/** A cold process that is given too much becomes slower still. */
constexpr double kOverfullFactor = 10.0;

/** Why a running search ended before its time. */
enum class Interruption
{
  Cancelled,
  ProcessEnded,
};

/** A search as it came over the wire. */
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

/** The shards of one version. */
struct Version
{
  std::uint32_t shardCount = 0;
  std::map<std::uint32_t, std::vector<Document>> shards;
};

/** One report of the load endpoint and when it was true. */
struct LoadReport
{
  core::TimePoint at;
  std::string body;
};

using InterruptionMailbox = core::Mailbox<Interruption>;

/** The response to a request whose connection or process has ended: nobody will read it. */
core::Task<net::HttpResponse>
AnswerNothing()
{
  co_return net::HttpResponse{};
}

} // namespace

/** What the tasks of one upstream share. */
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
  /** Counts the servers up, so that a request knows whether its connection has ended. */
  std::uint64_t serverNumber = 0;
  core::TimerId restartTimer = 0;
  bool isRefusing = false;
  bool isPartial = false;
  std::optional<core::TimePoint> outSince;

  // The running process; a restart begins these anew.
  std::string incarnation;
  bool isCold = false;
  core::TimePoint coldSince;
  std::uint32_t coldRuns = 0;
  std::optional<core::TimePoint> coldKnownSince;
  bool isDraining = false;
  std::optional<core::TimePoint> drainKnownSince;
  std::set<std::string> clients;
  core::TimePoint connectReadyAt;
  std::unordered_map<std::string, std::shared_ptr<InterruptionMailbox>> running;
  std::deque<LoadReport> reports;

  bool Listen();
  void BeginProcess(bool aIsCold);
  void EndProcess();
  void ScheduleRestart();
  void UpdateWarmth();
  const char* StateName() const;
  std::string DescribeLoad() const;
  std::string LaggingLoad();
  void CountNewWork();
  bool IsOverfullWhileCold() const;
  core::Duration ServiceTime(bool aIsOverfull);
  const char* ReasonNotToRun(const SearchRequest& aRequest) const;
  net::HttpResponse Respond(unsigned aStatus, std::string aBody);
  net::HttpResponse RefuseNotRun(const SearchRequest& aRequest, const char* aReason);
  net::HttpResponse RespondUnknown(const SearchRequest& aRequest, const char* aReason);
  net::HttpResponse RespondHits(const SearchRequest& aRequest);
  core::Task<net::HttpResponse> Handle(std::shared_ptr<State> aSelf, net::HttpRequest aRequest);
  core::Task<void> AwaitConnectTime(std::string aClientAddress);
  core::Task<net::HttpResponse> HandleSearch(SearchRequest aRequest);
  core::Task<net::HttpResponse> Run(SearchRequest aRequest);
  void RecordStart(const SearchRequest& aRequest);
  net::HttpResponse HandleCancel(const std::string& aBody);
  void Crash(const SearchRequest& aRequest);
};

bool
UpstreamStandin::State::Listen()
{
  ++serverNumber;
  net::HttpServerLimits limits;
  limits.connections = options.connections;
  const std::weak_ptr<State> weak = weak_from_this();
  server = std::make_unique<net::HttpServer>(
    loop, limits, [weak](net::HttpRequest aRequest) -> core::Task<net::HttpResponse> {
      const std::shared_ptr<State> self = weak.lock();
      return self ? self->Handle(self, std::move(aRequest)) : AnswerNothing();
    });
  server->SetErrorHandler([weak](net::HttpRequestError aFault) {
    const std::shared_ptr<State> self = weak.lock();
    if (self && aFault == net::HttpRequestError::TooManyConnections) {
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
  coldRuns = 0;
  // A new process is known to be cold from its first connection on, because that tells it apart.
  coldKnownSince = aIsCold ? std::optional(coldSince - kColdNoticeTransit) : std::nullopt;
  isDraining = false;
  drainKnownSince.reset();
  clients.clear();
  connectReadyAt = coldSince;
  reports.push_back({ timers.Now(), DescribeLoad() });
}

void
UpstreamStandin::State::EndProcess()
{
  ++serverNumber;
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
UpstreamStandin::State::UpdateWarmth()
{
  if (!isCold || coldRuns < options.coldSearches) {
    return;
  }
  if (timers.Now() - coldSince < options.coldTime) {
    return;
  }
  isCold = false;
  coldKnownSince.reset();
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
UpstreamStandin::State::LaggingLoad()
{
  const core::TimePoint now = timers.Now();
  reports.push_back({ now, DescribeLoad() });
  while (reports.size() > 1 && reports[1].at + options.loadLag <= now) {
    reports.pop_front();
  }
  return reports.front().body;
}

void
UpstreamStandin::State::CountNewWork()
{
  const core::TimePoint now = timers.Now();
  ++load.received;
  if (outSince && now - *outSince > options.noticeAllowance) {
    ++properties.workWhileOut;
  }
  if (drainKnownSince && now - *drainKnownSince > options.noticeAllowance) {
    ++properties.workWhileDraining;
  }
  const bool isColdKnown = coldKnownSince && now - *coldKnownSince > kColdNoticeTransit;
  if (isColdKnown && IsOverfullWhileCold()) {
    ++properties.coldOverfull;
  }
}

bool
UpstreamStandin::State::IsOverfullWhileCold() const
{
  return isCold && running.size() >= options.coldSlots;
}

core::Duration
UpstreamStandin::State::ServiceTime(bool aIsOverfull)
{
  // Box and Muller turn two even numbers into one of the normal distribution.
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random.Fraction()));
  const double normal = radius * std::cos(2.0 * std::numbers::pi * random.Fraction());
  double factor = std::exp(options.serviceSpread * normal);
  if (random.Fraction() < options.stragglerShare) {
    factor *= options.stragglerFactor;
  }
  if (isCold) {
    factor *= options.coldFactor;
  }
  if (aIsOverfull) {
    factor *= kOverfullFactor;
  }
  const auto ticks = static_cast<double>(options.serviceTime.count()) * factor;
  return core::Duration(static_cast<core::Duration::rep>(ticks));
}

const char*
UpstreamStandin::State::ReasonNotToRun(const SearchRequest& aRequest) const
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
  if (isCold && !coldKnownSince) {
    coldKnownSince = timers.Now();
  }
  if (isDraining && !drainKnownSince) {
    drainKnownSince = timers.Now();
  }
  net::HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Upstream-Incarnation", incarnation }, { "Upstream-State", StateName() } };
  response.body = std::move(aBody);
  return response;
}

net::HttpResponse
UpstreamStandin::State::RefuseNotRun(const SearchRequest& aRequest, const char* aReason)
{
  ++load.shed;
  const json body = { { "requestId", aRequest.requestId },
                      { "executed", "no" },
                      { "reason", aReason } };
  return Respond(kStatusNotRun, body.dump());
}

net::HttpResponse
UpstreamStandin::State::RespondUnknown(const SearchRequest& aRequest, const char* aReason)
{
  const json body = { { "requestId", aRequest.requestId },
                      { "executed", "unknown" },
                      { "reason", aReason } };
  return Respond(kStatusUnknown, body.dump());
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
  const std::uint64_t number = serverNumber;
  co_await AwaitConnectTime(aRequest.clientAddress);
  if (number != serverNumber) {
    co_return net::HttpResponse{};
  }
  const std::string path = aRequest.Path();
  if (path == "/load") {
    co_return Respond(kStatusOk, LaggingLoad());
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
UpstreamStandin::State::AwaitConnectTime(std::string aClientAddress)
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
  UpdateWarmth();
  CountNewWork();
  const char* reason = ReasonNotToRun(aRequest);
  if (reason != nullptr) {
    co_return RefuseNotRun(aRequest, reason);
  }
  RecordStart(aRequest);
  net::HttpResponse response = co_await Run(std::move(aRequest));
  co_return response;
}

core::Task<net::HttpResponse>
UpstreamStandin::State::Run(SearchRequest aRequest)
{
  const core::Duration serviceTime = ServiceTime(IsOverfullWhileCold());
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
  coldRuns += isCold ? 1 : 0;
  UpdateWarmth();
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
  mState->coldRuns = 0;
  mState->coldKnownSince.reset();
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
