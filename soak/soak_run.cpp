#include "soak/soak_run.h"

#include "core/task.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace skylarkwing::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kShards = 4;
constexpr std::size_t kLeastShards = 3;
constexpr std::size_t kTopRecords = 5;
constexpr std::size_t kRecordBytes = 16;
constexpr int kMostAttempts = 2;
/** Begins the ids of requests that must not run twice. */
const std::string kOrderMark = "order";
constexpr std::uint64_t kKinds = 3;
constexpr std::uint64_t kSearch = 0;
constexpr std::uint64_t kOrder = 2;
constexpr core::Duration kClientPatience = std::chrono::seconds{ 4 };
/** After the last fault everything must work again within this; the users' bound is 12 s. */
constexpr core::Duration kRecovery = std::chrono::seconds{ 12 };
constexpr core::Duration kCalmCheck = std::chrono::seconds{ 2 };
constexpr std::uint64_t kStarted = 1700000000000;
/** Ports for the daemons of one run; runs side by side use other ports by their seed. */
constexpr int kFirstPort = 20000;
constexpr int kPortsPerDaemon = 4;
/** The last of a daemon's ports is for other daemons. */
constexpr int kPeerOffset = 3;
/** Daemons that others know from their settings, as on the platform. */
constexpr int kSeeds = 3;
constexpr int kPortsPerRun = 200;
constexpr std::uint64_t kPortRuns = 40;

std::string
ShardName(std::size_t aNumber)
{
  return "shard-" + std::to_string(aNumber);
}

json
RouteJson(const std::string& aPrefix, const std::string& aKind)
{
  return json{ { "name", aPrefix },
               { "host", "soak" },
               { "prefix", aPrefix },
               { "route_type", aKind },
               { "timeout_ms", 1500 },
               { "objective_ms", 200 },
               { "priority", 1 },
               { "max_attempts", kMostAttempts },
               { "allowed_regions", json::array() } };
}

} // namespace

SoakRun::SoakRun(SoakOptions aOptions)
  : mOptions(std::move(aOptions))
  , mTimers(mLoop)
  , mRandom(mOptions.seed)
{
}

SoakRun::~SoakRun()
{
  mDaemons.clear();
}

std::vector<std::string>
SoakRun::Play()
{
  SetUp();
  const core::TimePoint end = mTimers.Now() + std::chrono::seconds(mOptions.seconds);
  core::Start(mLoop.get_executor(), Beat());
  core::Start(mLoop.get_executor(), Supervise());
  core::Start(mLoop.get_executor(), InjectFaults(end));
  for (int n = 0; n < mOptions.clients; ++n) {
    core::Start(mLoop.get_executor(), RunClient(static_cast<std::uint64_t>(n)));
  }
  core::Start(mLoop.get_executor(), CheckCalm());
  mLoop.run();
  CheckLedger();
  return mBroken;
}

void
SoakRun::SetUp()
{
  mStore = std::make_unique<platform::tests::FakePlatformStore>(mLoop, mTimers);
  std::vector<std::string> services{ "single" };
  for (std::size_t n = 0; n < kShards; ++n) {
    services.push_back(ShardName(n));
  }
  for (const std::string& service : services) {
    for (int n = 0; n < 3; ++n) {
      Replica replica;
      replica.server = std::make_unique<SoakReplica>(
        mLoop, mTimers, mLedger, service, "i-" + service + "-" + std::to_string(n));
      replica.proxy = std::make_unique<TcpProxy>(mLoop, mTimers, replica.server->Address());
      mReplicas.push_back(std::move(replica));
    }
  }
  WriteConfiguration();
  for (int n = 0; n < mOptions.processes; ++n) {
    AddDaemon(n);
  }
}

void
SoakRun::AddDaemon(int aNumber)
{
  const auto addressOf = [this](int aDaemon, int aOffset) {
    const int port = kFirstPort + static_cast<int>(mOptions.seed % kPortRuns) * kPortsPerRun +
                     aDaemon * kPortsPerDaemon + aOffset;
    return "127.0.0.1:" + std::to_string(port);
  };
  const auto address = [&](int aOffset) { return addressOf(aNumber, aOffset); };
  json seeds = json::array();
  for (int n = 0; n < std::min(kSeeds, mOptions.processes); ++n) {
    seeds.push_back(addressOf(n, kPeerOffset));
  }
  Daemon daemon;
  daemon.name = "vm-" + std::to_string(aNumber);
  daemon.address = address(0);
  daemon.storeProxy = std::make_unique<TcpProxy>(mLoop, mTimers, mStore->Address());
  const json settings{ { "vm", daemon.name },
                       { "failureDomain", aNumber % 2 == 0 ? "east" : "west" },
                       { "region", "land" },
                       { "regions", { { "east", "land" }, { "west", "land" } } },
                       { "listen",
                         { { "callers", address(0) },
                           { "readiness", address(1) },
                           { "directory", address(2) },
                           { "peers", address(kPeerOffset) } } },
                       { "seeds", seeds },
                       { "store", { { "address", daemon.storeProxy->Address() } } },
                       { "capacity", { { "share", 1.0 } } },
                       { "extraAttempts", { { "ratio", 0.2 }, { "slack", 60 } } },
                       { "stopGraceSeconds", 3 } };
  const std::string file = mOptions.folder + "/" + daemon.name + ".json";
  std::ofstream(file) << settings.dump(2);
  daemon.process = std::make_unique<DaemonProcess>(
    mOptions.program, file, mOptions.folder + "/" + daemon.name + ".log");
  daemon.process->Start();
  mDaemons.push_back(std::move(daemon));
}

void
SoakRun::WriteConfiguration()
{
  json search = RouteJson("/search/", "idempotent");
  search["fanout_services"] = json::array();
  json services = json::array({ { { "name", "single" }, { "max_connections", 60 } } });
  for (std::size_t n = 0; n < kShards; ++n) {
    search["fanout_services"].push_back(ShardName(n));
    services.push_back({ { "name", ShardName(n) }, { "max_connections", 60 } });
  }
  search["top_k"] = kTopRecords;
  search["min_shard_ratio"] = static_cast<double>(kLeastShards) / kShards;
  json lookup = RouteJson("/lookup/", "idempotent");
  lookup["service"] = "single";
  json order = RouteJson("/order/", "non_idempotent");
  order["service"] = "single";
  // Each version adds a route of its own, by which a check sees whether it is in force.
  json probe = RouteJson("/version-" + std::to_string(mVersion) + "/", "idempotent");
  probe["service"] = "single";
  const json document{ { "version", mVersion++ },
                       { "routes", { search, lookup, order, probe } },
                       { "services", services },
                       { "limits", json::object() } };
  mStore->Write("op/config", document.dump());
}

/** Lets each replica write its entry as often as the platform's replicas do. */
core::Task<void>
SoakRun::Beat()
{
  while (!mIsOver) {
    for (std::size_t n = 0; n < mReplicas.size(); ++n) {
      Replica& replica = mReplicas[n];
      const json entry{ { "service", replica.server->Service() },
                        { "address", replica.proxy->Address() },
                        { "zone", n % 2 == 0 ? "east" : "west" },
                        { "version", "v1" },
                        { "slots", 4 },
                        { "state", replica.isDraining ? "draining" : "ready" },
                        { "cold_remaining_ms", 0 },
                        { "sequence", ++replica.sequence },
                        { "born", kStarted } };
      mStore->Write("servers/" + replica.server->Id(), entry.dump());
    }
    co_await core::Sleep(mTimers, milliseconds{ 1200 });
  }
}

/** Starts daemons again that have ended, as the platform does. */
core::Task<void>
SoakRun::Supervise()
{
  while (!mIsOver) {
    for (Daemon& daemon : mDaemons) {
      if (!daemon.process->IsRunning()) {
        const std::string fault = daemon.process->FaultOfLastEnd();
        if (!fault.empty()) {
          Break(std::string(daemon.name).append(" ").append(fault));
        }
        daemon.isStopping = false;
        daemon.isPaused = false;
        daemon.process->Start();
      }
    }
    co_await core::Sleep(mTimers, milliseconds{ 100 });
  }
}

core::Task<void>
SoakRun::InjectFaults(core::TimePoint aEnd)
{
  co_await core::Sleep(mTimers, milliseconds{ 1500 });
  while (mTimers.Now() < aEnd) {
    ++mCounts.faults;
    core::Start(mLoop.get_executor(), InjectOne());
    // Shorter than most faults, so that they overlap.
    co_await core::Sleep(mTimers, Between(100, 900));
  }
  co_await core::Sleep(mTimers, std::chrono::seconds{ 5 });
  mCalmSince = mTimers.Now();
}

core::Task<void>
SoakRun::InjectOne()
{
  constexpr std::uint64_t kFaultKinds = 9;
  Daemon& daemon = mDaemons[mRandom.Below(mDaemons.size())];
  Replica& replica = mReplicas[mRandom.Below(mReplicas.size())];
  const core::Duration span = Between(300, 4000);
  const auto mode = static_cast<ProxyMode>(1 + mRandom.Below(4));
  switch (mRandom.Below(kFaultKinds)) {
    case 0:
      daemon.process->Signal(SIGKILL);
      break;
    case 1:
      daemon.isPaused = true;
      daemon.process->Signal(SIGSTOP);
      co_await core::Sleep(mTimers, span);
      daemon.process->Signal(SIGCONT);
      daemon.isPaused = false;
      break;
    case 2:
      co_await StopGracefully(daemon);
      break;
    case 3:
      daemon.storeProxy->SetMode(mode);
      co_await core::Sleep(mTimers, span);
      daemon.storeProxy->SetMode(ProxyMode::Pass);
      break;
    case 4:
      replica.proxy->SetMode(mode);
      co_await core::Sleep(mTimers, span);
      replica.proxy->SetMode(ProxyMode::Pass);
      break;
    case 5:
      replica.server->mood = static_cast<SoakMood>(1 + mRandom.Below(5));
      co_await core::Sleep(mTimers, span);
      replica.server->mood = SoakMood::Healthy;
      break;
    case 6:
      mStore->isDown = true;
      co_await core::Sleep(mTimers, span);
      mStore->isDown = false;
      break;
    case 7:
      WriteConfiguration();
      mStore->DropHistory();
      break;
    default:
      replica.isDraining = true;
      co_await core::Sleep(mTimers, span);
      replica.isDraining = false;
      break;
  }
}

core::Task<void>
SoakRun::StopGracefully(Daemon& aDaemon)
{
  if (aDaemon.isStopping || aDaemon.isPaused) {
    co_return;
  }
  aDaemon.isStopping = true;
  aDaemon.process->Signal(SIGTERM);
}

/** Sends one request after the other over a kept connection, and checks each answer. */
core::Task<void>
SoakRun::RunClient(std::uint64_t aNumber)
{
  co_await core::Sleep(mTimers, Between(300, 900));
  std::shared_ptr<net::TcpHttpConnection> connection;
  while (!mIsOver) {
    if (!connection || !connection->IsOpen()) {
      connection = std::make_shared<net::TcpHttpConnection>(mLoop.get_executor());
      const Daemon& daemon = mDaemons[mRandom.Below(mDaemons.size())];
      if (!co_await connection->Connect(daemon.address, milliseconds{ 500 })) {
        co_await core::Sleep(mTimers, milliseconds{ 50 });
        continue;
      }
    }
    const std::uint64_t kind = mRandom.Below(kKinds);
    const std::string id = (kind == kOrder ? kOrderMark : "c") + std::to_string(aNumber) + "-" +
                           std::to_string(++mLastId) + "-end";
    ++mCounts.asked;
    const net::HttpResult reply =
      co_await connection->Exchange(MakeRequest(kind, id), kClientPatience);
    Check(kind, id, reply);
    co_await core::Sleep(mTimers, Between(5, 60));
  }
}

/** Once the faults are over, waits for every daemon to serve again. */
core::Task<void>
SoakRun::CheckCalm()
{
  while (mCalmSince == core::TimePoint{}) {
    co_await core::Sleep(mTimers, milliseconds{ 50 });
  }
  const std::string newest = "/version-" + std::to_string(mVersion - 1) + "/x";
  for (const Daemon& daemon : mDaemons) {
    bool isServing = false;
    std::string last = "nothing";
    while (!isServing && mTimers.Now() < mCalmSince + kRecovery) {
      auto connection = std::make_shared<net::TcpHttpConnection>(mLoop.get_executor());
      if (co_await connection->Connect(daemon.address, milliseconds{ 500 })) {
        net::HttpRequest request = MakeRequest(1, "calm-" + std::to_string(++mLastId) + "-end");
        request.target = newest;
        const net::HttpResult reply =
          co_await connection->Exchange(std::move(request), kClientPatience);
        last = std::string(NameOf(reply.error)) + " " + std::to_string(reply.response.status);
        isServing = reply.error == net::HttpClientError::None && reply.response.status == 200;
      }
      co_await core::Sleep(mTimers, milliseconds{ 100 });
    }
    if (!isServing) {
      Break(daemon.name + " doesn't serve the newest configuration after the faults: " + last);
    }
  }
  co_await core::Sleep(mTimers, kCalmCheck);
  mIsOver = true;
  // What still waits for answers ends by its own patience.
  co_await core::Sleep(mTimers, kClientPatience + milliseconds{ 500 });
  mDaemons.clear();
  mLoop.stop();
}

net::HttpRequest
SoakRun::MakeRequest(std::uint64_t aKind, std::string aId) const
{
  net::HttpRequest request;
  request.target = aKind == kSearch ? "/search/x" : aKind == kOrder ? "/order/x" : "/lookup/x";
  if (aKind == kOrder) {
    request.method = "POST";
    request.body = "order";
  }
  request.headers = { { "Host", "soak" },
                      { "Request-Id", std::move(aId) },
                      { "Request-Deadline", "1500" } };
  return request;
}

void
SoakRun::Check(std::uint64_t aKind, const std::string& aId, const net::HttpResult& aReply)
{
  if (aReply.error != net::HttpClientError::None) {
    ++mCounts.cut;
    return;
  }
  const net::HttpResponse& response = aReply.response;
  if (response.status == 503 || response.status == 429 || response.status == 408) {
    ++mCounts.refused;
    mRefusedIds.push_back(aId);
    return;
  }
  if (response.status == 404) {
    Break(aId + ": a route that every version has was not found");
    return;
  }
  if (response.status != 200) {
    ++mCounts.failed;
    return;
  }
  ++mCounts.answered;
  if (aKind == kSearch) {
    CheckGather(aId, response);
    return;
  }
  if (response.Header("Response-Stamp").value_or("") != SoakReplica::SignatureOf("single", aId) ||
      response.body != SoakReplica::BodyOf("single", aId)) {
    Break(aId + ": not the whole answer to this request");
  }
}

void
SoakRun::CheckGather(const std::string& aId, const net::HttpResponse& aResponse)
{
  std::vector<std::string> records;
  std::set<std::string> services;
  std::istringstream signatures(aResponse.Header("Part-Stamps").value_or(""));
  std::string signature;
  while (std::getline(signatures, signature, ',')) {
    signature.erase(0, signature.find_first_not_of(' '));
    const std::string service = signature.substr(0, signature.find('.'));
    if (signature != SoakReplica::SignatureOf(service, aId) || !services.insert(service).second) {
      Break(std::string(aId).append(": a wrong or repeated signature: ").append(signature));
    }
    const std::string body = SoakReplica::BodyOf(service, aId);
    for (std::size_t at = 0; at < body.size(); at += kRecordBytes) {
      records.push_back(body.substr(at, kRecordBytes));
    }
  }
  const std::string missing = aResponse.Header("Missing-Parts").value_or("0");
  if (services.size() < kLeastShards || std::to_string(kShards - services.size()) != missing) {
    Break(aId + ": " + std::to_string(services.size()) + " shards and " + missing + " missing");
  }
  mCounts.partial += services.size() < kShards ? 1 : 0;
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string expected;
  for (std::size_t n = 0; n < std::min(kTopRecords, records.size()); ++n) {
    expected += records[n];
  }
  if (aResponse.body != expected) {
    Break(aId + ": not the greatest records of its shards");
  }
}

void
SoakRun::CheckLedger()
{
  for (const std::string& id : mRefusedIds) {
    if (mLedger.HasRun(id)) {
      Break(id + ": refused as not run, and has run");
    }
  }
  for (const auto& [key, runs] : mLedger.runs) {
    const bool isOrder = key.compare(0, kOrderMark.size(), kOrderMark) == 0;
    if (runs > (isOrder ? 1 : kMostAttempts)) {
      Break(key + ": ran " + std::to_string(runs) + " times at one service");
    }
  }
  if (mCounts.answered == 0) {
    Break("no request was answered");
  }
}

void
SoakRun::Break(const std::string& aWhat)
{
  mBroken.push_back(aWhat);
}

core::Duration
SoakRun::Between(int aLeastMs, int aMostMs)
{
  const std::uint64_t range = static_cast<std::uint64_t>(aMostMs) - aLeastMs + 1;
  return milliseconds(aLeastMs + static_cast<int>(mRandom.Below(range)));
}

} // namespace skylarkwing::soak
