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

/** The shards of one version at one replica. */
struct Holding
{
  std::uint32_t shardCount = 0;
  std::vector<std::uint32_t> shards;
};

/** One replica as its load endpoint described it last. */
struct Replica
{
  std::string address;
  std::map<std::uint64_t, Holding> holdings;
};

/** One query and the parts that came back. */
struct Gather
{
  std::string index;
  std::uint64_t snapshot = 0;
  bool isIdempotent = true;
  json search = json::object();
  core::TimePoint deadline;
  json hits = json::array();
  std::vector<std::uint32_t> missing;
  std::uint32_t waiting = 0;
  std::function<void()> done;
};

std::map<std::uint64_t, Holding>
ParseHoldings(const json& aLoad)
{
  std::map<std::uint64_t, Holding> holdings;
  try {
    for (const json& entry : aLoad.at("holdings")) {
      Holding& holding = holdings[entry.at("snapshot").get<std::uint64_t>()];
      holding.shardCount = entry.at("shardCount").get<std::uint32_t>();
      holding.shards = entry.at("shards").get<std::vector<std::uint32_t>>();
    }
  } catch (const json::exception&) {
    return {};
  }
  return holdings;
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
AnswerNothing()
{
  co_return net::HttpResponse{};
}

} // namespace

/** What the tasks of one node share. */
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
  std::shared_ptr<Gather> MakeGather(const net::HttpRequest& aRequest);
  std::vector<std::string> Holders(const Gather& aGather, std::uint32_t aShard) const;
  core::Task<void> RunPart(std::shared_ptr<State> aSelf,
                           std::shared_ptr<Gather> aGather,
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
      return self ? self->Handle(self, std::move(aRequest)) : AnswerNothing();
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
      replicas[aIndex][aNumber].holdings = ParseHoldings(load);
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

std::shared_ptr<Gather>
NaiveNode::State::MakeGather(const net::HttpRequest& aRequest)
{
  auto gather = std::make_shared<Gather>();
  gather->index = aRequest.Path().substr(std::string("/v1/query/").size());
  gather->search = json::parse(aRequest.body, nullptr, false);
  const auto idempotent = isIdempotent.find(aRequest.Header("Skylarkwing-Profile").value_or(""));
  gather->isIdempotent = idempotent == isIdempotent.end() || idempotent->second;
  const std::string deadline = aRequest.Header("Skylarkwing-Deadline-Ms").value_or("");
  const std::int64_t given = std::strtoll(deadline.c_str(), nullptr, 10);
  const std::chrono::milliseconds left{ given > 0 ? given : kDefaultDeadlineMs };
  gather->deadline = thread.Timers().Now() + left;
  for (const Replica& replica : replicas[gather->index]) {
    if (!replica.holdings.empty()) {
      gather->snapshot = std::max(gather->snapshot, replica.holdings.rbegin()->first);
    }
  }
  return gather;
}

std::vector<std::string>
NaiveNode::State::Holders(const Gather& aGather, std::uint32_t aShard) const
{
  std::vector<std::string> holders;
  for (const Replica& replica : replicas.at(aGather.index)) {
    const auto it = replica.holdings.find(aGather.snapshot);
    if (it == replica.holdings.end()) {
      continue;
    }
    const auto& shards = it->second.shards;
    if (std::find(shards.begin(), shards.end(), aShard) != shards.end()) {
      holders.push_back(replica.address);
    }
  }
  return holders;
}

core::Task<net::HttpResponse>
NaiveNode::State::HandleQuery(net::HttpRequest aRequest)
{
  const std::shared_ptr<Gather> gather = MakeGather(aRequest);
  std::uint32_t shardCount = 0;
  for (const Replica& replica : replicas[gather->index]) {
    const auto it = replica.holdings.find(gather->snapshot);
    shardCount = it == replica.holdings.end() ? shardCount : it->second.shardCount;
  }
  if (shardCount == 0) {
    co_return Respond(kStatusUnavailable, { { "error", "unavailable" }, { "executed", "no" } });
  }
  gather->waiting = shardCount;
  const std::shared_ptr<State> self = shared_from_this();
  std::function<void(std::function<void()>)> begin =
    [self, gather, shardCount](std::function<void()> aDone) {
      gather->done = std::move(aDone);
      for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        const std::vector<std::string> holders = self->Holders(*gather, shard);
        std::string address =
          holders.empty() ? std::string() : holders[self->random.Below(holders.size())];
        core::Start(self->thread.Loop().get_executor(),
                    self->RunPart(self, gather, shard, std::move(address)));
      }
    };
  co_await core::AwaitCallback(std::move(begin));
  const std::size_t answered = shardCount - gather->missing.size();
  if (answered == 0) {
    co_return Respond(kStatusUnavailable, { { "error", "no_answer" }, { "executed", "unknown" } });
  }
  const json coverage = { { "answered", answered },
                          { "total", shardCount },
                          { "missing", gather->missing } };
  co_return Respond(kStatusOk,
                    { { "hits", gather->hits },
                      { "snapshot", gather->snapshot },
                      { "coverage", coverage },
                      { "complete", gather->missing.empty() } });
}

core::Task<void>
NaiveNode::State::RunPart([[maybe_unused]] std::shared_ptr<State> aSelf,
                          std::shared_ptr<Gather> aGather,
                          std::uint32_t aShard,
                          std::string aAddress)
{
  const core::Duration left = aGather->deadline - thread.Timers().Now();
  const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  const json body = { { "requestId", place.vm + "-" + std::to_string(++lastPart) },
                      { "index", aGather->index },
                      { "shard", aShard },
                      { "snapshot", aGather->snapshot },
                      { "deadlineMs", leftMs },
                      { "idempotent", aGather->isIdempotent },
                      { "search", aGather->search } };
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/search";
  request.body = body.dump();
  const net::HttpResult reply = co_await Call(std::move(aAddress), std::move(request), left);
  const json answer = json::parse(reply.response.body, nullptr, false);
  const bool isWhole = reply.response.status == kStatusOk && answer.is_object() &&
                       answer.value("complete", false) && answer.contains("hits");
  if (isWhole) {
    for (const json& hit : answer["hits"]) {
      aGather->hits.push_back(hit);
    }
  } else {
    aGather->missing.push_back(aShard);
  }
  if (--aGather->waiting == 0) {
    aGather->done();
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
