#include "bench/load_driver.h"

#include "core/random_source.h"
#include "core/task.h"
#include "net/http_client.h"
#include "net/request_target.h"
#include "standin/shard_contents.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

namespace skylarkwing::bench {

namespace {

using nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr core::Duration kConnectTimeout = std::chrono::milliseconds{ 500 };
constexpr core::Duration kEntryPointsTimeout = std::chrono::seconds{ 1 };
constexpr core::Duration kRetryInterval = std::chrono::milliseconds{ 200 };
/** Answers up to this long after the deadline are still received, and counted as late. */
constexpr core::Duration kLateAnswerWait = std::chrono::seconds{ 1 };
constexpr core::Duration kLateTolerance = std::chrono::milliseconds{ 25 };
constexpr std::size_t kMaxIdleConnections = 64;
/** Larger than any answer, so that a missing hit is detected. */
constexpr std::uint32_t kMaxHits = 1000;

/** One entry point of the system. */
struct EntryPoint
{
  std::string address;
  std::string identityPrefix;
};

/** A caller and its current entry points. */
struct Caller
{
  std::string failureDomain;
  std::vector<EntryPoint> entryPoints;
};

/** One query of a caller. */
struct Query
{
  LoadStream stream;
  json search = json::object();
  /** Identifies the logical request; empty when it is idempotent. */
  std::string token;
  /** Scheduled start. */
  core::TimePoint intended;
  bool isPoison = false;
};

double
ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::optional<std::vector<EntryPoint>>
ParseEntryPoints(const json& aBody)
{
  try {
    std::vector<EntryPoint> points;
    for (const json& point : aBody.at("entryPoints")) {
      points.push_back(
        { point.at("address").get<std::string>(), point.at("identityPrefix").get<std::string>() });
    }
    return points;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace

/** State shared by the tasks of all callers. */
struct LoadDriver::State : std::enable_shared_from_this<LoadDriver::State>
{
  using Connection = std::shared_ptr<net::TcpHttpConnection>;

  State(boost::asio::io_context& aLoop,
        core::TimerService& aTimers,
        LoadOptions aOptions,
        std::shared_ptr<const NaiveReference> aReference,
        std::shared_ptr<const standin::ExecutionCounter> aRuns)
    : loop(aLoop)
    , timers(aTimers)
    , options(std::move(aOptions))
    , reference(std::move(aReference))
    , runs(std::move(aRuns))
    , random(options.seed)
  {
  }

  boost::asio::io_context& loop;
  core::TimerService& timers;
  LoadOptions options;
  std::shared_ptr<const NaiveReference> reference;
  std::shared_ptr<const standin::ExecutionCounter> runs;
  core::RandomSource random;
  LoadResult result;
  std::vector<Caller> callers;
  std::map<std::string, std::vector<Connection>> idle;
  /** Tokens of requests that were refused as not executed. */
  std::vector<std::string> notRunTokens;
  core::TimePoint begin;
  core::TimePoint end;
  double rateFactor = 1.0;
  std::uint64_t lastToken = 0;
  std::uint64_t runningStreams = 0;
  std::uint64_t runningQueries = 0;

  core::Task<void> RefreshEntryPoints(std::shared_ptr<State> aSelf, std::size_t aCaller);
  core::Task<core::Duration> FetchEntryPoints(std::size_t aCaller);
  core::Task<void> RunStream(std::shared_ptr<State> aSelf, LoadStream aStream);
  core::Task<void> RunQuery(std::shared_ptr<State> aSelf, Query aQuery);
  core::Task<net::HttpResult> SendQuery(Query& aQuery);
  core::Task<net::HttpResult> Exchange(std::string aAddress,
                                       net::HttpRequest aRequest,
                                       core::Duration aTimeout);
  Query MakeQuery(const LoadStream& aStream, core::TimePoint aIntended);
  std::optional<EntryPoint> PickEntryPoint();
  void RemoveEntryPoint(const std::string& aAddress);
  net::HttpRequest MakeRequest(const Query& aQuery,
                               const std::string& aIdentity,
                               core::Duration aRemaining) const;
  SecondOfLoad& SecondOf(core::TimePoint aIntended);
  void Record(const Query& aQuery, const net::HttpResult& aReply);
  void RecordAnswer(const Query& aQuery, const json& aBody);
  void RecordRefusal(const Query& aQuery, const net::HttpResult& aReply);
  void RecordFault(AnswerFault aFault);
};

core::Task<void>
LoadDriver::State::RefreshEntryPoints([[maybe_unused]] std::shared_ptr<State> aSelf,
                                      std::size_t aCaller)
{
  while (timers.Now() < end) {
    const core::Duration validity = co_await FetchEntryPoints(aCaller);
    const core::Duration left = end - timers.Now();
    co_await core::Sleep(timers, std::min(validity, std::max(left, core::Duration::zero())));
  }
}

core::Task<core::Duration>
LoadDriver::State::FetchEntryPoints(std::size_t aCaller)
{
  Caller& caller = callers[aCaller];
  std::vector<std::string> addresses = options.seeds;
  for (const EntryPoint& point : caller.entryPoints) {
    addresses.push_back(point.address);
  }
  std::string address = addresses[random.Below(addresses.size())];
  net::HttpRequest request;
  request.target = "/v1/entry-points";
  if (!caller.failureDomain.empty()) {
    request.target =
      net::MakeTarget(request.target, { { "failure-domain", caller.failureDomain } });
  }
  const net::HttpResult reply =
    co_await Exchange(std::move(address), std::move(request), kEntryPointsTimeout);
  const json body = json::parse(reply.response.body, nullptr, false);
  const auto points = body.is_object() ? ParseEntryPoints(body) : std::nullopt;
  if (reply.response.status != kStatusOk || !points || points->empty()) {
    co_return kRetryInterval;
  }
  caller.entryPoints = *points;
  constexpr int kDefaultKeepSeconds = 5;
  const std::chrono::seconds validity{ body.value("keepSeconds", kDefaultKeepSeconds) };
  co_return validity;
}

core::Task<void>
LoadDriver::State::RunStream(std::shared_ptr<State> aSelf, LoadStream aStream)
{
  core::TimePoint next = begin;
  while (true) {
    const double rate = std::max(aStream.queriesPerSecond * rateFactor, 0.001);
    const double gapSeconds = -std::log(1.0 - random.Fraction()) / rate;
    next += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(gapSeconds));
    if (next >= end) {
      break;
    }
    const core::Duration wait = next - timers.Now();
    if (wait > core::Duration::zero()) {
      co_await core::Sleep(timers, wait);
    }
    ++runningQueries;
    Query query = MakeQuery(aStream, next);
    core::Start(loop.get_executor(), RunQuery(aSelf, std::move(query)));
  }
  --runningStreams;
}

Query
LoadDriver::State::MakeQuery(const LoadStream& aStream, core::TimePoint aIntended)
{
  Query query;
  query.stream = aStream;
  query.intended = aIntended;
  const auto kind = static_cast<std::uint32_t>(random.Below(standin::kDocumentKinds));
  query.search["kind"] = standin::DocumentKind(kind);
  query.search["size"] = kMaxHits;
  if (!aStream.isIdempotent) {
    query.token = "t-" + std::to_string(options.seed) + "-" + std::to_string(++lastToken);
    query.search["token"] = query.token;
  }
  return query;
}

core::Task<void>
LoadDriver::State::RunQuery([[maybe_unused]] std::shared_ptr<State> aSelf, Query aQuery)
{
  const net::HttpResult reply = co_await SendQuery(aQuery);
  Record(aQuery, reply);
  --runningQueries;
}

core::Task<net::HttpResult>
LoadDriver::State::SendQuery(Query& aQuery)
{
  const core::TimePoint deadline = aQuery.intended + aQuery.stream.deadline;
  std::string identity;
  net::HttpResult reply;
  reply.error = net::HttpClientError::ConnectFailed;
  for (std::uint32_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const core::Duration remaining = deadline - timers.Now();
    const auto point = PickEntryPoint();
    if (remaining <= core::Duration::zero()) {
      break;
    }
    if (!point) {
      co_await core::Sleep(timers, std::min(remaining, kRetryInterval));
      continue;
    }
    if (identity.empty()) {
      identity = point->identityPrefix + ".c" + std::to_string(options.seed) + "-" +
                 std::to_string(++lastToken);
    }
    net::HttpRequest request = MakeRequest(aQuery, identity, remaining);
    reply = co_await Exchange(point->address, std::move(request), remaining + kLateAnswerWait);
    if (reply.error == net::HttpClientError::None) {
      break;
    }
    // A caller without a response retries the request under the same identity.
    RemoveEntryPoint(point->address);
  }
  co_return reply;
}

core::Task<net::HttpResult>
LoadDriver::State::Exchange(std::string aAddress,
                            net::HttpRequest aRequest,
                            core::Duration aTimeout)
{
  std::vector<Connection>& pool = idle[aAddress];
  Connection connection;
  while (!pool.empty() && !connection) {
    connection = pool.back();
    pool.pop_back();
    if (!connection->IsOpen()) {
      connection.reset();
    }
  }
  if (!connection) {
    connection = std::make_shared<net::TcpHttpConnection>(loop.get_executor());
    const bool isConnected = co_await connection->Connect(aAddress, kConnectTimeout);
    if (!isConnected) {
      net::HttpResult reply;
      reply.error = net::HttpClientError::ConnectFailed;
      co_return reply;
    }
  }
  net::HttpResult reply = co_await connection->Exchange(std::move(aRequest), aTimeout);
  std::vector<Connection>& idlePool = idle[aAddress];
  if (reply.error == net::HttpClientError::None && idlePool.size() < kMaxIdleConnections) {
    idlePool.push_back(std::move(connection));
  }
  co_return reply;
}

std::optional<EntryPoint>
LoadDriver::State::PickEntryPoint()
{
  const Caller& caller = callers[random.Below(callers.size())];
  if (caller.entryPoints.empty()) {
    return std::nullopt;
  }
  return caller.entryPoints[random.Below(caller.entryPoints.size())];
}

void
LoadDriver::State::RemoveEntryPoint(const std::string& aAddress)
{
  for (Caller& caller : callers) {
    if (caller.entryPoints.size() > 1) {
      std::erase_if(caller.entryPoints,
                    [&aAddress](const EntryPoint& aPoint) { return aPoint.address == aAddress; });
    }
  }
}

net::HttpRequest
LoadDriver::State::MakeRequest(const Query& aQuery,
                               const std::string& aIdentity,
                               core::Duration aRemaining) const
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(aRemaining).count();
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/query/" + aQuery.stream.index;
  request.headers = { { "Content-Type", "application/json" },
                      { "Skylarkwing-Profile", aQuery.stream.profile },
                      { "Skylarkwing-Deadline-Ms",
                        std::to_string(std::max<std::int64_t>(left, 1)) },
                      { "Skylarkwing-Request-Id", aIdentity } };
  request.body = aQuery.search.dump();
  return request;
}

SecondOfLoad&
LoadDriver::State::SecondOf(core::TimePoint aIntended)
{
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(aIntended - begin).count();
  const auto n = static_cast<std::size_t>(std::max<std::int64_t>(second, 0));
  if (result.seconds.size() <= n) {
    result.seconds.resize(n + 1);
  }
  return result.seconds[n];
}

void
LoadDriver::State::Record(const Query& aQuery, const net::HttpResult& aReply)
{
  if (aQuery.isPoison) {
    RecordRefusal(aQuery, aReply);
    return;
  }
  ++result.sent;
  ++SecondOf(aQuery.intended).sent;
  const bool isAnswer =
    aReply.error == net::HttpClientError::None && aReply.response.status == kStatusOk;
  if (!isAnswer) {
    RecordRefusal(aQuery, aReply);
    return;
  }
  RecordAnswer(aQuery, json::parse(aReply.response.body, nullptr, false));
}

void
LoadDriver::State::RecordAnswer(const Query& aQuery, const json& aBody)
{
  const core::Duration latency = timers.Now() - aQuery.intended;
  const AnswerFault fault = reference->Check(aQuery.stream.index, aQuery.search, aBody);
  RecordFault(fault);
  if (fault == AnswerFault::Malformed) {
    return;
  }
  SecondOfLoad& second = SecondOf(aQuery.intended);
  const auto answered = aBody["coverage"]["answered"].get<std::uint64_t>();
  const auto total = aBody["coverage"]["total"].get<std::uint64_t>();
  ++result.answered;
  ++second.answered;
  result.complete += aBody["complete"].get<bool>() ? 1 : 0;
  result.late += latency > aQuery.stream.deadline + kLateTolerance ? 1 : 0;
  result.partsAnswered += answered;
  result.partsNeeded += total;
  second.shardsAnswered += static_cast<double>(answered);
  second.shardsTotal += static_cast<double>(total);
  result.latenciesMs.push_back(ToMilliseconds(latency));
  result.profileLatenciesMs[aQuery.stream.profile].push_back(ToMilliseconds(latency));
  second.latenciesMs.push_back(ToMilliseconds(latency));
}

void
LoadDriver::State::RecordRefusal(const Query& aQuery, const net::HttpResult& aReply)
{
  const std::string prefix = aQuery.isPoison ? "poison_" : "";
  if (aReply.error != net::HttpClientError::None) {
    ++result.refusals[prefix + "connection_" + std::string(net::NameOf(aReply.error))];
    return;
  }
  const json body = json::parse(aReply.response.body, nullptr, false);
  const bool isTyped = body.is_object() && body.contains("error") && body["error"].is_string();
  const std::string error =
    isTyped ? body["error"].get<std::string>() : "status_" + std::to_string(aReply.response.status);
  ++result.refusals[prefix + error];
  if (isTyped && body.value("executed", std::string()) == "no" && !aQuery.token.empty()) {
    notRunTokens.push_back(aQuery.token);
  }
}

void
LoadDriver::State::RecordFault(AnswerFault aFault)
{
  switch (aFault) {
    case AnswerFault::None:
      break;
    case AnswerFault::Malformed:
      ++result.faults.malformed;
      break;
    case AnswerFault::MixedSnapshots:
      ++result.faults.mixedSnapshots;
      break;
    case AnswerFault::FalseCoverage:
      ++result.faults.falseCoverage;
      break;
    case AnswerFault::WrongHits:
      ++result.faults.wrongHits;
      break;
  }
}

LoadDriver::LoadDriver(boost::asio::io_context& aLoop,
                       core::TimerService& aTimers,
                       LoadOptions aOptions,
                       std::shared_ptr<const NaiveReference> aReference,
                       std::shared_ptr<const standin::ExecutionCounter> aRuns)
  : mState(std::make_shared<State>(aLoop,
                                   aTimers,
                                   std::move(aOptions),
                                   std::move(aReference),
                                   std::move(aRuns)))
{
}

LoadDriver::~LoadDriver() = default;

void
LoadDriver::Start()
{
  const LoadOptions& options = mState->options;
  mState->begin = mState->timers.Now();
  mState->end = mState->begin + options.length;
  for (std::uint32_t n = 0; n < options.callers; ++n) {
    Caller caller;
    if (!options.failureDomains.empty()) {
      caller.failureDomain = options.failureDomains[n % options.failureDomains.size()];
    }
    mState->callers.push_back(std::move(caller));
  }
  for (std::size_t n = 0; n < mState->callers.size(); ++n) {
    core::Start(mState->loop.get_executor(), mState->RefreshEntryPoints(mState, n));
  }
  for (const LoadStream& stream : options.streams) {
    ++mState->runningStreams;
    core::Start(mState->loop.get_executor(), mState->RunStream(mState, stream));
  }
}

void
LoadDriver::SendPoison(const std::string& aProfile, const std::string& aIndex, std::uint32_t aTimes)
{
  constexpr core::Duration kPoisonInterval = std::chrono::milliseconds{ 300 };
  Query query;
  query.stream.profile = aProfile;
  query.stream.index = aIndex;
  query.search = { { "poison", true } };
  query.isPoison = true;
  const std::shared_ptr<State> state = mState;
  for (std::uint32_t n = 0; n < aTimes; ++n) {
    ++state->runningQueries;
    state->timers.Schedule(kPoisonInterval * n, [state, query] {
      Query poison = query;
      poison.intended = state->timers.Now();
      core::Start(state->loop.get_executor(), state->RunQuery(state, std::move(poison)));
    });
  }
}

void
LoadDriver::SetRateFactor(double aFactor)
{
  mState->rateFactor = aFactor;
}

bool
LoadDriver::IsDone() const
{
  return mState->runningStreams == 0 && mState->runningQueries == 0;
}

LoadResult
LoadDriver::Result() const
{
  LoadResult result = mState->result;
  for (const std::string& token : mState->notRunTokens) {
    // Requests that are not idempotent go to indexes with a single shard, shard 0.
    result.faults.falseNotRun += mState->runs->Starts(token + "/0") > 0 ? 1 : 0;
  }
  return result;
}

} // namespace skylarkwing::bench
