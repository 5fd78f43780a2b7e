#include "bench/naive_node.h"

#include "bench/loop_thread.h"
#include "core/random_source.h"
#include "core/task.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace skylarkwing::bench {

namespace {

using nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;
constexpr core::Duration kPollInterval = std::chrono::seconds{ 1 };
constexpr core::Duration kCallTimeout = std::chrono::seconds{ 1 };
constexpr std::int64_t kDefaultDeadlineMs = 1000;

/** The shards of one index version at one replica. */
struct VersionShards
{
  std::uint32_t shardCount = 0;
  std::vector<std::uint32_t> shards;
};

/** One replica and its last reported versions. */
struct Replica
{
  std::string address;
  std::map<std::uint64_t, VersionShards> versions;
};

/** A running query and the parts received so far. */
struct PendingQuery
{
  std::string index;
  std::uint64_t snapshot = 0;
  bool isIdempotent = true;
  json search = json::object();
  core::TimePoint deadline;
  json hits = json::array();
  std::vector<std::uint32_t> missing;
  std::uint32_t pendingParts = 0;
  std::function<void()> onComplete;
};

std::map<std::uint64_t, VersionShards>
ParseVersions(const json& aLoad)
{
  std::map<std::uint64_t, VersionShards> versions;
  try {
    for (const json& entry : aLoad.at("holdings")) {
      VersionShards& version = versions[entry.at("snapshot").get<std::uint64_t>()];
      version.shardCount = entry.at("shardCount").get<std::uint32_t>();
      version.shards = entry.at("shards").get<std::vector<std::uint32_t>>();
    }
  } catch (const json::exception&) {
    return {};
  }
  return versions;
}

net::HttpResponse
Respond(unsigned aStatus, const json& aBody)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.body = aBody.dump();
  return response;
}

core::Task<net::HttpResponse>
EmptyResponse()
{
  co_return net::HttpResponse{};
}

} // namespace

/** State shared by the tasks of one node. */
struct NaiveNode::State : std::enable_shared_from_this<NaiveNode::State>
{
  using Connection = std::shared_ptr<net::TcpHttpConnection>;

  explicit State(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  NodePlace place;
  std::vector<NodePlace> entryPoints;
  std::map<std::string, std::vector<Replica>> replicas;
  std::map<std::string, bool> isIdempotent;
  core::RandomSource random;
  std::uint64_t lastPart = 0;
  bool isStopped = false;
  std::map<std::string, std::vector<Connection>> idle;
  std::unique_ptr<net::HttpServer> server;
  LoopThread thread{ "naive" };

  bool Listen();
  void Close();
  core::Task<void> PollReplica(std::shared_ptr<State> aSelf,
                               std::string aIndex,
                               std::size_t aNumber);
  core::Task<net::HttpResponse> Handle(std::shared_ptr<State> aSelf, net::HttpRequest aRequest);
  net::HttpResponse DescribeEntryPoints() const;
  core::Task<net::HttpResponse> HandleQuery(net::HttpRequest aRequest);
  std::shared_ptr<PendingQuery> MakeQuery(const net::HttpRequest& aRequest);
  std::vector<std::string> AddressesWithShard(const PendingQuery& aQuery,
                                              std::uint32_t aShard) const;
  core::Task<void> RunPart(std::shared_ptr<State> aSelf,
                           std::shared_ptr<PendingQuery> aQuery,
                           std::uint32_t aShard,
                           std::string aAddress);
  core::Task<net::HttpResult> Call(std::string aAddress,
                                   net::HttpRequest aRequest,
                                   core::Duration aTimeout);
};

bool
NaiveNode::State::Listen()
{
  const std::weak_ptr<State> weak = weak_from_this();
  server = std::make_unique<net::HttpServer>(
    thread.Loop(),
    net::HttpServerLimits{},
    [weak](net::HttpRequest aRequest) -> core::Task<net::HttpResponse> {
      const std::shared_ptr<State> self = weak.lock();
      return self ? self->Handle(self, std::move(aRequest)) : EmptyResponse();
    });
  if (!server->Listen(place.callerAddress)) {
    return false;
  }
  for (const auto& [index, list] : replicas) {
    for (std::size_t n = 0; n < list.size(); ++n) {
      core::Start(thread.Loop().get_executor(), PollReplica(shared_from_this(), index, n));
    }
  }
  return true;
}

void
NaiveNode::State::Close()
{
  isStopped = true;
  if (server) {
    server->Close();
    server.reset();
  }
  idle.clear();
}

core::Task<void>
NaiveNode::State::PollReplica([[maybe_unused]] std::shared_ptr<State> aSelf,
                              std::string aIndex,
                              std::size_t aNumber)
{
  while (!isStopped) {
    net::HttpRequest request;
    request.target = "/load";
    const net::HttpResult reply =
      co_await Call(replicas[aIndex][aNumber].address, std::move(request), kCallTimeout);
    const json load = json::parse(reply.response.body, nullptr, false);
    if (load.is_object()) {
      replicas[aIndex][aNumber].versions = ParseVersions(load);
    }
    co_await core::Sleep(thread.Timers(), kPollInterval);
  }
}

core::Task<net::HttpResponse>
NaiveNode::State::Handle([[maybe_unused]] std::shared_ptr<State> aSelf, net::HttpRequest aRequest)
{
  if (aRequest.Path() == "/v1/entry-points") {
    co_return DescribeEntryPoints();
  }
  if (!aRequest.Path().starts_with("/v1/query/")) {
    co_return Respond(kStatusNotFound, { { "error", "not_found" }, { "executed", "no" } });
  }
  net::HttpResponse response = co_await HandleQuery(std::move(aRequest));
  co_return response;
}

net::HttpResponse
NaiveNode::State::DescribeEntryPoints() const
{
  constexpr int kKeepSeconds = 5;
  json points = json::array();
  for (const NodePlace& point : entryPoints) {
    points.push_back({ { "vm", point.vm },
                       { "address", point.callerAddress },
                       { "failureDomain", point.failureDomain },
                       { "identityPrefix", point.vm + ".naive.0" } });
  }
  return Respond(kStatusOk, { { "entryPoints", points }, { "keepSeconds", kKeepSeconds } });
}

std::shared_ptr<PendingQuery>
NaiveNode::State::MakeQuery(const net::HttpRequest& aRequest)
{
  auto query = std::make_shared<PendingQuery>();
  query->index = aRequest.Path().substr(std::string("/v1/query/").size());
  query->search = json::parse(aRequest.body, nullptr, false);
  const auto idempotent = isIdempotent.find(aRequest.Header("Skylarkwing-Profile").value_or(""));
  query->isIdempotent = idempotent == isIdempotent.end() || idempotent->second;
  const std::string deadline = aRequest.Header("Skylarkwing-Deadline-Ms").value_or("");
  const std::int64_t requestedMs = std::strtoll(deadline.c_str(), nullptr, 10);
  const std::chrono::milliseconds left{ requestedMs > 0 ? requestedMs : kDefaultDeadlineMs };
  query->deadline = thread.Timers().Now() + left;
  for (const Replica& replica : replicas[query->index]) {
    if (!replica.versions.empty()) {
      query->snapshot = std::max(query->snapshot, replica.versions.rbegin()->first);
    }
  }
  return query;
}

std::vector<std::string>
NaiveNode::State::AddressesWithShard(const PendingQuery& aQuery, std::uint32_t aShard) const
{
  std::vector<std::string> addresses;
  for (const Replica& replica : replicas.at(aQuery.index)) {
    const auto it = replica.versions.find(aQuery.snapshot);
    if (it == replica.versions.end()) {
      continue;
    }
    const auto& shards = it->second.shards;
    if (std::find(shards.begin(), shards.end(), aShard) != shards.end()) {
      addresses.push_back(replica.address);
    }
  }
  return addresses;
}

core::Task<net::HttpResponse>
NaiveNode::State::HandleQuery(net::HttpRequest aRequest)
{
  const std::shared_ptr<PendingQuery> query = MakeQuery(aRequest);
  std::uint32_t shardCount = 0;
  for (const Replica& replica : replicas[query->index]) {
    const auto it = replica.versions.find(query->snapshot);
    shardCount = it == replica.versions.end() ? shardCount : it->second.shardCount;
  }
  if (shardCount == 0) {
    co_return Respond(kStatusUnavailable, { { "error", "unavailable" }, { "executed", "no" } });
  }
  query->pendingParts = shardCount;
  const std::shared_ptr<State> self = shared_from_this();
  std::function<void(std::function<void()>)> startParts =
    [self, query, shardCount](std::function<void()> aDone) {
      query->onComplete = std::move(aDone);
      for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        const std::vector<std::string> addresses = self->AddressesWithShard(*query, shard);
        std::string address =
          addresses.empty() ? std::string() : addresses[self->random.Below(addresses.size())];
        core::Start(self->thread.Loop().get_executor(),
                    self->RunPart(self, query, shard, std::move(address)));
      }
    };
  co_await core::AwaitCallback(std::move(startParts));
  const std::size_t answered = shardCount - query->missing.size();
  if (answered == 0) {
    co_return Respond(kStatusUnavailable, { { "error", "no_answer" }, { "executed", "unknown" } });
  }
  const json coverage = { { "answered", answered },
                          { "total", shardCount },
                          { "missing", query->missing } };
  co_return Respond(kStatusOk,
                    { { "hits", query->hits },
                      { "snapshot", query->snapshot },
                      { "coverage", coverage },
                      { "complete", query->missing.empty() } });
}

core::Task<void>
NaiveNode::State::RunPart([[maybe_unused]] std::shared_ptr<State> aSelf,
                          std::shared_ptr<PendingQuery> aQuery,
                          std::uint32_t aShard,
                          std::string aAddress)
{
  const core::Duration left = aQuery->deadline - thread.Timers().Now();
  const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  const json body = { { "requestId", place.vm + "-" + std::to_string(++lastPart) },
                      { "index", aQuery->index },
                      { "shard", aShard },
                      { "snapshot", aQuery->snapshot },
                      { "deadlineMs", leftMs },
                      { "idempotent", aQuery->isIdempotent },
                      { "search", aQuery->search } };
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/search";
  request.body = body.dump();
  const net::HttpResult reply = co_await Call(std::move(aAddress), std::move(request), left);
  const json answer = json::parse(reply.response.body, nullptr, false);
  const bool isComplete = reply.response.status == kStatusOk && answer.is_object() &&
                          answer.value("complete", false) && answer.contains("hits");
  if (isComplete) {
    for (const json& hit : answer["hits"]) {
      aQuery->hits.push_back(hit);
    }
  } else {
    aQuery->missing.push_back(aShard);
  }
  if (--aQuery->pendingParts == 0) {
    aQuery->onComplete();
  }
}

core::Task<net::HttpResult>
NaiveNode::State::Call(std::string aAddress, net::HttpRequest aRequest, core::Duration aTimeout)
{
  net::HttpResult reply;
  reply.error = net::HttpClientError::ConnectFailed;
  reply.response.status = kStatusUnavailable;
  if (aAddress.empty() || aTimeout <= core::Duration::zero()) {
    co_return reply;
  }
  std::vector<Connection>& pool = idle[aAddress];
  Connection connection;
  if (!pool.empty()) {
    connection = pool.back();
    pool.pop_back();
  } else {
    connection = std::make_shared<net::TcpHttpConnection>(thread.Loop().get_executor());
    const bool isConnected = co_await connection->Connect(aAddress, aTimeout);
    if (!isConnected) {
      co_return reply;
    }
  }
  reply = co_await connection->Exchange(std::move(aRequest), aTimeout);
  if (reply.error == net::HttpClientError::None && !isStopped) {
    idle[aAddress].push_back(std::move(connection));
  }
  co_return reply;
}

NaiveNode::NaiveNode(NodePlace aPlace,
                     const declaration::Declaration& aDeclaration,
                     std::vector<NodePlace> aEntryPoints)
  : mState(std::make_shared<State>(aPlace.seed))
{
  mState->place = std::move(aPlace);
  mState->entryPoints = std::move(aEntryPoints);
  for (const auto& profile : aDeclaration.profiles) {
    mState->isIdempotent[profile.name] = profile.idempotent;
  }
  for (const auto& index : aDeclaration.indexes) {
    for (const auto& service : index.services) {
      for (const auto& replica : service.replicas) {
        mState->replicas[index.name].push_back({ replica.address, {} });
      }
    }
  }
}

NaiveNode::~NaiveNode()
{
  Kill();
}

bool
NaiveNode::Start()
{
  return mState->thread.Run([state = mState] { return state->Listen(); });
}

std::uint64_t
NaiveNode::Generation()
{
  return 0;
}

void
NaiveNode::BeginStop()
{
  Kill();
}

bool
NaiveNode::IsStopped()
{
  return true;
}

void
NaiveNode::Kill()
{
  if (mState->isStopped) {
    return;
  }
  mState->thread.Run([state = mState] { state->Close(); });
  mState->thread.Stop();
}

} // namespace skylarkwing::bench
