#include "soak/soak_run.h"

#include "core/name_table.h"
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
constexpr std::size_t kMinShards = 3;
constexpr std::size_t kTopRecords = 5;
constexpr std::size_t kRecordBytes = 16;
constexpr int kMaxAttempts = 2;
/** Prefix of the ids of requests that must not run twice. */
const std::string kOrderIdPrefix = "order";
constexpr std::uint64_t kKinds = 3;
constexpr std::uint64_t kSearch = 0;
constexpr std::uint64_t kOrder = 2;
constexpr core::Duration kClientTimeout = std::chrono::seconds{ 4 };
/** Time from the last fault until every daemon must serve again; the users require 12 s. */
constexpr core::Duration kRecoveryLimit = std::chrono::seconds{ 12 };
/** Time without faults in which requests that end replicas must be refused by all daemons. */
constexpr core::Duration kPostRecoveryTime = CrashingRequests::kContactTime + milliseconds{ 2000 };
constexpr std::uint64_t kReplicaStartMs = 1700000000000;
/** First port of all runs; the seed selects the port range, so that concurrent runs differ. */
constexpr int kFirstPort = 20000;
constexpr int kPortsPerDaemon = 4;
/** Offset of the port for other daemons. */
constexpr int kPeerOffset = 3;
/** Number of daemons listed as seeds in the settings, as on the platform. */
constexpr int kSeeds = 3;
constexpr int kPortsPerRun = 200;
constexpr std::uint64_t kPortRanges = 40;
/** Resources of each daemon. */
constexpr std::size_t kMemoryMegabytes = 96;
constexpr int kDescriptors = 4100;
/** The failure domains of the daemons. */
const std::vector<std::string> kDomains{ "east", "west" };

constexpr core::NameTable<CutKind, 4> kCutNames{ { "none", "silent", "reset", "refuse_new" } };

/** Time from the beginning of a cut until callers of the daemons behind it are served again. */
constexpr core::Duration kCutContactTime = std::chrono::seconds{ 4 };
constexpr core::Duration kCutCheckTime = std::chrono::seconds{ 3 };

/** Time after which a replica that ended under a request is back. */
constexpr core::Duration kRestartTime = milliseconds{ 700 };
/** Gives the parts of a run random numbers of their own. */
constexpr std::uint64_t kSeedOffset = 1'000'003;

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
               { "max_attempts", kMaxAttempts },
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
SoakRun::Execute()
{
  SetUp();
  const core::TimePoint end = mTimers.Now() + std::chrono::seconds(mOptions.seconds);
  core::Start(mLoop.get_executor(), WriteReplicaEntries());
  core::Start(mLoop.get_executor(), WriteOddEntries(end));
  core::Start(mLoop.get_executor(), RestartDaemons());
  core::Start(mLoop.get_executor(), InjectFaults(end));
  core::Start(mLoop.get_executor(), RestoreStore(end));
  core::Start(mLoop.get_executor(), EndReplicas(end));
  core::Start(mLoop.get_executor(), CutPaths(end));
  mCrashingRequests->Start();
  for (int n = 0; n < mOptions.clients; ++n) {
    core::Start(mLoop.get_executor(), RunClient(static_cast<std::uint64_t>(n)));
  }
  core::Start(mLoop.get_executor(), mMisbehavingClients->Run(end));
  core::Start(mLoop.get_executor(), CheckMemory());
  core::Start(mLoop.get_executor(), CheckRecovery());
  mLoop.run();
  CheckLedger();
  for (const std::string& violation : mCrashingRequests->Check()) {
    AddViolation(violation);
  }
  return mViolations;
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
      replica.server = std::make_unique<SoakReplica>(mLoop,
                                                     mTimers,
                                                     mLedger,
                                                     service,
                                                     "i-" + std::to_string(mOptions.seed) + "-" +
                                                       service + "-" + std::to_string(n));
      for (std::size_t domain = 0; domain < kDomains.size(); ++domain) {
        replica.proxies.push_back(
          std::make_unique<TcpProxy>(mLoop, mTimers, replica.server->Address()));
      }
      mReplicas.push_back(std::move(replica));
    }
  }
  for (Replica& replica : mReplicas) {
    replica.server->onRun = [this, &replica](const net::HttpRequest& aRequest) {
      if (!mCrashingRequests->OnRun(aRequest)) {
        return false;
      }
      EndReplica(replica, kRestartTime);
      return true;
    };
  }
  for (std::size_t domain = 0; domain < kDomains.size(); ++domain) {
    mStoreViews.push_back(
      mStore->AddView([this, domain](const std::string& aKey, const std::string& aValue) {
        return AddressFor(domain, aKey, aValue);
      }));
  }
  mCuts.resize(kDomains.size());
  mCutChangedAt.resize(kDomains.size());
  CrashingRequestHooks hooks;
  hooks.daemonCount = [this] { return mDaemons.size(); };
  hooks.addressOf = [this](std::size_t aDaemon) { return mDaemons[aDaemon].address; };
  hooks.isInTouch = [this](std::size_t aDaemon) { return IsInTouch(aDaemon); };
  hooks.onRefused = [this](const std::string& aId) { mRefusedIds.push_back(aId); };
  MisbehavingClientHooks clientHooks;
  clientHooks.daemonCount = hooks.daemonCount;
  clientHooks.addressOf = hooks.addressOf;
  mMisbehavingClients = std::make_unique<MisbehavingClients>(
    mLoop, mTimers, mOptions.seed + 2 * kSeedOffset, std::move(clientHooks));
  mCrashingRequests = std::make_unique<CrashingRequests>(
    mLoop, mTimers, mOptions.seed + kSeedOffset, std::move(hooks));
  WriteConfiguration();
  for (int n = 0; n < mOptions.processes; ++n) {
    AddDaemon(n);
  }
}

void
SoakRun::AddDaemon(int aNumber)
{
  const auto addressOf = [this](int aDaemon, int aOffset) {
    const int port = kFirstPort + static_cast<int>(mOptions.seed % kPortRanges) * kPortsPerRun +
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
  daemon.domain = static_cast<std::size_t>(aNumber) % kDomains.size();
  daemon.runsOtherProgram = !mOptions.otherProgram.empty() && aNumber / 2 % 2 == 1;
  daemon.storeProxy = std::make_unique<TcpProxy>(mLoop, mTimers, mStoreViews[daemon.domain]);
  const json settings{
    { "vm", daemon.name },
    { "failureDomain", kDomains[daemon.domain] },
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
    { "resources", { { "memoryMegabytes", kMemoryMegabytes }, { "descriptors", kDescriptors } } },
    { "extraAttempts", { { "ratio", 0.2 }, { "slack", 60 } } },
    { "stopGraceSeconds", 3 }
  };
  const std::string file = mOptions.folder + "/" + daemon.name + ".json";
  std::ofstream(file) << settings.dump(2);
  daemon.process = std::make_unique<DaemonProcess>(daemon.runsOtherProgram ? mOptions.otherProgram
                                                                           : mOptions.program,
                                                   file,
                                                   mOptions.folder + "/" + daemon.name + ".log");
  daemon.process->Start();
  daemon.disturbedAt = mTimers.Now();
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
  search["min_shard_ratio"] = static_cast<double>(kMinShards) / kShards;
  json lookup = RouteJson("/lookup/", "idempotent");
  lookup["service"] = "single";
  json order = RouteJson("/order/", "non_idempotent");
  order["service"] = "single";
  // A route per version lets a check see whether that version is in force.
  json versionRoute = RouteJson("/version-" + std::to_string(mVersion) + "/", "idempotent");
  versionRoute["service"] = "single";
  const json document{ { "version", mVersion++ },
                       { "routes", { search, lookup, order, versionRoute } },
                       { "services", services },
                       { "limits", json::object() } };
  mConfiguration = document.dump();
  mStore->Write("op/config", mConfiguration);
}

/** Writes the store entry of each replica at the interval of the platform's replicas. */
core::Task<void>
SoakRun::WriteReplicaEntries()
{
  while (!mIsFinished) {
    for (std::size_t n = 0; n < mReplicas.size(); ++n) {
      Replica& replica = mReplicas[n];
      if (replica.hasEnded) {
        continue;
      }
      const json entry{ { "service", replica.server->Service() },
                        { "address", replica.server->Address() },
                        { "zone", kDomains[n % kDomains.size()] },
                        { "version", "v1" },
                        { "slots", 4 },
                        { "state", replica.isDraining ? "draining" : "ready" },
                        { "cold_remaining_ms", 0 },
                        { "sequence", ++replica.sequence },
                        { "born", kReplicaStartMs + replica.ends } };
      mStore->Write("servers/" + replica.server->Id(), entry.dump());
    }
    co_await core::Sleep(mTimers, milliseconds{ 1200 });
  }
}

/** Writes entries that name no replica to use, and deletes some of them again. */
core::Task<void>
SoakRun::WriteOddEntries(core::TimePoint aEnd)
{
  const std::vector<std::string> names{
    "&", "+", "#", "%41", " ", "\r\nX-Injected: 1", "\xc3\xa9"
  };
  const std::vector<std::string> unreadableNames{ "\\ud800", "\xff" };
  // Its own random numbers leave the other faults of a seed as they are.
  core::RandomSource random(mOptions.seed + 5 * kSeedOffset);
  const auto oneOf = [&random](const std::vector<std::string>& aTexts) {
    return aTexts[random.Below(aTexts.size())];
  };
  for (int n = 0; mTimers.Now() < aEnd; ++n) {
    ++mCounts.faults;
    const std::string own = "servers/" + mReplicas[random.Below(mReplicas.size())].server->Id();
    // Before the entries of all replicas, between two of them, or behind them.
    const std::string begin = oneOf({ "servers/a", own, "servers/z" });
    const std::string end = std::to_string(n);
    std::string key = begin;
    key.append(oneOf(names)).append(end);
    if (random.Below(4) == 0) {
      std::string name = begin;
      name.append(oneOf(unreadableNames)).append(end);
      mStore->ShowKeyAs(key, name, name);
    }
    mStore->Write(key, random.Below(2) == 0 ? mStore->Read(own) : "{");
    co_await core::Sleep(mTimers, milliseconds(50 + random.Below(700)));
    if (random.Below(2) == 0) {
      mStore->Delete(key);
    }
  }
}

/** Restarts daemons that have exited, as the platform does. */
core::Task<void>
SoakRun::RestartDaemons()
{
  while (!mIsFinished) {
    for (Daemon& daemon : mDaemons) {
      if (!daemon.process->IsRunning()) {
        const std::string fault = daemon.process->DescribeUnexpectedExit();
        if (!fault.empty()) {
          AddViolation(std::string(daemon.name).append(" ").append(fault));
        }
        daemon.isStopping = false;
        daemon.isPaused = false;
        daemon.disturbedAt = mTimers.Now();
        daemon.process->Start();
      }
    }
    co_await core::Sleep(mTimers, milliseconds{ 100 });
  }
}

core::Task<void>
SoakRun::CheckMemory()
{
  constexpr std::size_t kKilobytesPerMegabyte = 1024;
  while (!mIsFinished) {
    for (const Daemon& daemon : mDaemons) {
      const std::size_t peak = daemon.process->ReadStatus("VmHWM");
      if (peak > kMemoryMegabytes * kKilobytesPerMegabyte) {
        AddViolation(daemon.name + " used " + std::to_string(peak) + " kB");
      }
    }
    co_await core::Sleep(mTimers, milliseconds{ 500 });
  }
}

core::Task<void>
SoakRun::InjectFaults(core::TimePoint aEnd)
{
  co_await core::Sleep(mTimers, milliseconds{ 1500 });
  while (mTimers.Now() < aEnd) {
    ++mCounts.faults;
    core::Start(mLoop.get_executor(), InjectFault());
    // Shorter than most faults, so that they overlap.
    co_await core::Sleep(mTimers, RandomDuration(100, 900));
  }
  co_await core::Sleep(mTimers, std::chrono::seconds{ 5 });
  mFaultsEndedAt = mTimers.Now();
}

core::Task<void>
SoakRun::InjectFault()
{
  constexpr std::uint64_t kFaultKinds = 9;
  Daemon& daemon = mDaemons[mRandom.Below(mDaemons.size())];
  Replica& replica = mReplicas[mRandom.Below(mReplicas.size())];
  const core::Duration span = RandomDuration(300, 4000);
  const auto mode = static_cast<ProxyMode>(1 + mRandom.Below(4));
  daemon.disturbedAt = mTimers.Now();
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
      daemon.disturbedAt = mTimers.Now();
      break;
    case 2:
      co_await StopGracefully(daemon);
      break;
    case 3:
      daemon.storeProxy->SetMode(mode);
      co_await core::Sleep(mTimers, span);
      daemon.storeProxy->SetMode(ProxyMode::Pass);
      daemon.disturbedAt = mTimers.Now();
      break;
    case 4:
      SetReplicaMode(replica, mode);
      co_await core::Sleep(mTimers, span);
      SetReplicaMode(replica, ProxyMode::Pass);
      break;
    case 5:
      replica.server->mode = static_cast<ReplicaMode>(1 + mRandom.Below(5));
      co_await core::Sleep(mTimers, span);
      replica.server->mode = ReplicaMode::Healthy;
      break;
    case 6:
      mStore->isDown = true;
      co_await core::Sleep(mTimers, span);
      mStore->isDown = false;
      mStoreDisturbedAt = mTimers.Now();
      break;
    case 7:
      WriteConfiguration();
      mStore->DropHistory();
      mStoreDisturbedAt = mTimers.Now();
      break;
    default:
      replica.isDraining = true;
      co_await core::Sleep(mTimers, span);
      replica.isDraining = false;
      break;
  }
}

/** Takes the store away again and again and brings it back from a copy that is some seconds old. */
core::Task<void>
SoakRun::RestoreStore(core::TimePoint aEnd)
{
  // Its own random numbers leave the other faults of a seed as they are.
  core::RandomSource random(~mOptions.seed);
  const auto span = [&random](std::uint64_t aMinMs, std::uint64_t aMaxMs) {
    return milliseconds(aMinMs + random.Below(aMaxMs - aMinMs + 1));
  };
  while (true) {
    co_await core::Sleep(mTimers, span(500, 2500));
    mStore->TakeCopy();
    co_await core::Sleep(mTimers, span(500, 5000));
    if (mTimers.Now() >= aEnd) {
      co_return;
    }
    ++mCounts.faults;
    mStore->isDown = true;
    co_await core::Sleep(mTimers, span(50, 2000));
    mStore->Restore();
    // The operator writes again what was lost, and the replicas do with their heartbeats.
    mStore->Write("op/config", mConfiguration);
    mStore->isDown = false;
    mStoreDisturbedAt = mTimers.Now();
  }
}

/** Ends a replica's process; a new one starts after a while. */
void
SoakRun::EndReplica(Replica& aReplica, core::Duration aDownTime)
{
  if (aReplica.hasEnded) {
    return;
  }
  aReplica.hasEnded = true;
  ++aReplica.ends;
  for (const auto& proxy : aReplica.proxies) {
    proxy->Close();
  }
  mTimers.Schedule(aDownTime, [&aReplica] {
    aReplica.hasEnded = false;
    for (const auto& proxy : aReplica.proxies) {
      proxy->Reopen();
    }
  });
}

void
SoakRun::SetReplicaMode(Replica& aReplica, ProxyMode aMode)
{
  for (const auto& proxy : aReplica.proxies) {
    proxy->SetMode(aMode);
  }
}

/**
 * @return a replica's entry, or a copy of it, with the address under which a failure domain reaches
 *         the replica; any other value as it is.
 */
std::string
SoakRun::AddressFor(std::size_t aDomain, const std::string& aKey, const std::string& aValue)
{
  json entry = aKey.rfind("servers/", 0) == 0 ? json::parse(aValue, nullptr, false) : json();
  if (!entry.is_object()) {
    return aValue;
  }
  for (const Replica& replica : mReplicas) {
    if (entry.value("address", "") == replica.server->Address()) {
      entry["address"] = replica.proxies[aDomain]->Address();
      return entry.dump();
    }
  }
  return aValue;
}

/** Cuts the daemons of a failure domain off from all replicas, or ends the cut. */
void
SoakRun::SetCut(std::size_t aDomain, CutKind aCut)
{
  mCuts[aDomain] = aCut;
  mCutChangedAt[aDomain] = mTimers.Now();
  for (const Replica& replica : mReplicas) {
    replica.proxies[aDomain]->SetCut(aCut);
  }
}

/** Cuts the daemons of one failure domain after the other off from all replicas. */
core::Task<void>
SoakRun::CutPaths(core::TimePoint aEnd)
{
  // Its own random numbers leave the other faults of a seed as they are.
  core::RandomSource random(mOptions.seed + 3 * kSeedOffset);
  co_await core::Sleep(mTimers, milliseconds{ 2000 });
  while (mTimers.Now() < aEnd) {
    ++mCounts.faults;
    const auto cut = static_cast<CutKind>(1 + random.Below(3));
    const std::size_t domain = random.Below(kDomains.size());
    SetCut(domain, cut);
    co_await core::Sleep(mTimers, milliseconds(200 + random.Below(3000)));
    SetCut(domain, CutKind::None);
    co_await core::Sleep(mTimers, milliseconds(100 + random.Below(3000)));
  }
}

/**
 * Checks that callers of daemons that are cut off from all replicas are served: at least two thirds
 * as often as those of the others, or all but a few of all first tries are served.
 */
core::Task<void>
SoakRun::CheckCutDaemonsServe()
{
  constexpr std::size_t kAllowedFailures = 10;
  constexpr std::size_t kTriesPerAllowedFailure = 50;
  core::RandomSource random(mOptions.seed + 4 * kSeedOffset);
  const std::size_t domain = random.Below(kDomains.size());
  SetCut(domain, static_cast<CutKind>(1 + random.Below(3)));
  co_await core::Sleep(mTimers, kCutContactTime);
  mIsCountingTries = true;
  co_await core::Sleep(mTimers, kCutCheckTime);
  mIsCountingTries = false;
  const std::string_view cut = kCutNames.NameOf(mCuts[domain]);
  SetCut(domain, CutKind::None);
  const auto shareOf = [](const Tally& aTally) {
    return static_cast<double>(aTally.served) /
           static_cast<double>(std::max<std::size_t>(1, aTally.tries));
  };
  const std::size_t failures = mCutTries.tries - mCutTries.served;
  const std::size_t allowed =
    kAllowedFailures + (mCutTries.tries + mOtherTries.tries) / kTriesPerAllowedFailure;
  if (shareOf(mCutTries) * 3.0 < shareOf(mOtherTries) * 2.0 && failures > allowed) {
    AddViolation("daemons of " + kDomains[domain] + ", cut off (" + std::string(cut) + ")" +
                 ", served " + std::to_string(mCutTries.served) + " of " +
                 std::to_string(mCutTries.tries) + " first tries, the others " +
                 std::to_string(mOtherTries.served) + " of " + std::to_string(mOtherTries.tries));
  }
}

void
SoakRun::RecordTry(const Daemon& aDaemon,
                   const std::string& aId,
                   core::TimePoint aSentAt,
                   const net::HttpResult& aReply)
{
  const bool isCut = mCuts[aDaemon.domain] != CutKind::None;
  if (isCut || mCutChangedAt[aDaemon.domain] >= aSentAt) {
    mCutIds.insert(aId);
  }
  if (!mIsCountingTries || aDaemon.runsOtherProgram ||
      aSentAt <
        mCutChangedAt[aDaemon.domain] + (isCut ? kCutContactTime : core::Duration::zero())) {
    return;
  }
  Tally& tally = isCut ? mCutTries : mOtherTries;
  ++tally.tries;
  const bool isServed =
    aReply.error == net::HttpClientError::None && aReply.response.status == 200U;
  tally.served += isServed ? 1 : 0;
}

/** Ends many replicas at the same moment, again and again. */
core::Task<void>
SoakRun::EndReplicas(core::TimePoint aEnd)
{
  // Its own random numbers leave the other faults of a seed as they are.
  core::RandomSource random(mOptions.seed + 2 * kSeedOffset);
  co_await core::Sleep(mTimers, milliseconds{ 1500 });
  while (mTimers.Now() < aEnd) {
    ++mCounts.faults;
    const double share = random.Fraction();
    for (Replica& replica : mReplicas) {
      if (random.Fraction() < share) {
        EndReplica(replica, milliseconds(200 + random.Below(1500)));
      }
    }
    co_await core::Sleep(mTimers, milliseconds(500 + random.Below(2500)));
  }
}

bool
SoakRun::IsInTouch(std::size_t aDaemon) const
{
  const core::TimePoint since = mTimers.Now() - CrashingRequests::kContactTime;
  const Daemon& daemon = mDaemons[aDaemon];
  return daemon.disturbedAt < since && mStoreDisturbedAt < since && !mStore->isDown &&
         !daemon.isStopping && !daemon.isPaused;
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

/** Sends requests one at a time over a persistent connection and checks each response. */
core::Task<void>
SoakRun::RunClient(std::uint64_t aNumber)
{
  co_await core::Sleep(mTimers, RandomDuration(300, 900));
  std::shared_ptr<net::TcpHttpConnection> connection;
  std::size_t daemon = 0;
  while (!mIsFinished) {
    if (!connection || !connection->IsOpen()) {
      connection = std::make_shared<net::TcpHttpConnection>(mLoop.get_executor());
      daemon = mRandom.Below(mDaemons.size());
      const std::string address = mDaemons[daemon].address;
      if (!co_await connection->Connect(address, milliseconds{ 500 })) {
        co_await core::Sleep(mTimers, milliseconds{ 50 });
        continue;
      }
    }
    const std::uint64_t kind = mRandom.Below(kKinds);
    const std::string id = (kind == kOrder ? kOrderIdPrefix : "c") + std::to_string(aNumber) + "-" +
                           std::to_string(++mLastId) + "-end";
    ++mCounts.sent;
    const core::TimePoint sentAt = mTimers.Now();
    const net::HttpResult reply =
      co_await connection->Exchange(MakeRequest(kind, id), kClientTimeout);
    RecordTry(mDaemons[daemon], id, sentAt, reply);
    CheckResponse(kind, id, reply);
    co_await core::Sleep(mTimers, RandomDuration(5, 60));
  }
}

/** Checks that every daemon serves again after the faults have ended, and ends the run. */
core::Task<void>
SoakRun::CheckRecovery()
{
  while (mFaultsEndedAt == core::TimePoint{}) {
    co_await core::Sleep(mTimers, milliseconds{ 50 });
  }
  // One that took no part in what the others know.
  AddDaemon(static_cast<int>(mDaemons.size()));
  const std::string newestTarget = "/version-" + std::to_string(mVersion - 1) + "/x";
  for (const Daemon& daemon : mDaemons) {
    bool isServing = false;
    std::string last = "nothing";
    while (!isServing && mTimers.Now() < mFaultsEndedAt + kRecoveryLimit) {
      auto connection = std::make_shared<net::TcpHttpConnection>(mLoop.get_executor());
      if (co_await connection->Connect(daemon.address, milliseconds{ 500 })) {
        net::HttpRequest request = MakeRequest(1, "calm-" + std::to_string(++mLastId) + "-end");
        request.target = newestTarget;
        const net::HttpResult reply =
          co_await connection->Exchange(std::move(request), kClientTimeout);
        last = std::string(NameOf(reply.error)) + " " + std::to_string(reply.response.status);
        isServing = reply.error == net::HttpClientError::None && reply.response.status == 200;
      }
      co_await core::Sleep(mTimers, milliseconds{ 100 });
    }
    if (!isServing) {
      AddViolation(daemon.name +
                   " does not serve the newest configuration after the faults: " + last);
    }
  }
  co_await CheckCutDaemonsServe();
  co_await core::Sleep(mTimers, kPostRecoveryTime);
  mIsFinished = true;
  mCrashingRequests->Stop();
  // Lets pending client requests reach their timeout.
  co_await core::Sleep(mTimers, kClientTimeout + milliseconds{ 500 });
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
SoakRun::CheckResponse(std::uint64_t aKind, const std::string& aId, const net::HttpResult& aReply)
{
  if (aReply.error != net::HttpClientError::None) {
    ++mCounts.unanswered;
    return;
  }
  const net::HttpResponse& response = aReply.response;
  if (response.status == 503 || response.status == 429 || response.status == 408) {
    ++mCounts.refused;
    mRefusedIds.push_back(aId);
    if (response.body.find("quarantined") != std::string::npos) {
      AddViolation(aId + ": refused because replicas ended, which it did not cause");
    }
    return;
  }
  if (response.status == 404) {
    AddViolation(aId + ": 404 for a route that exists in every configuration version");
    return;
  }
  if (response.status != 200) {
    ++mCounts.failed;
    return;
  }
  ++mCounts.answered;
  if (aKind == kSearch) {
    CheckSearchResponse(aId, response);
    return;
  }
  if (response.Header("Response-Stamp").value_or("") != SoakReplica::ExpectedStamp("single", aId) ||
      response.body != SoakReplica::ExpectedBody("single", aId)) {
    AddViolation(aId + ": the response is not the complete response to this request");
  }
}

void
SoakRun::CheckSearchResponse(const std::string& aId, const net::HttpResponse& aResponse)
{
  std::vector<std::string> records;
  std::set<std::string> services;
  std::istringstream stamps(aResponse.Header("Part-Stamps").value_or(""));
  std::string stamp;
  while (std::getline(stamps, stamp, ',')) {
    stamp.erase(0, stamp.find_first_not_of(' '));
    const std::string service = stamp.substr(0, stamp.find('.'));
    if (stamp != SoakReplica::ExpectedStamp(service, aId) || !services.insert(service).second) {
      AddViolation(std::string(aId).append(": wrong or repeated stamp: ").append(stamp));
    }
    const std::string body = SoakReplica::ExpectedBody(service, aId);
    for (std::size_t pos = 0; pos < body.size(); pos += kRecordBytes) {
      records.push_back(body.substr(pos, kRecordBytes));
    }
  }
  const std::string missing = aResponse.Header("Missing-Parts").value_or("0");
  if (services.size() < kMinShards || std::to_string(kShards - services.size()) != missing) {
    AddViolation(aId + ": " + std::to_string(services.size()) + " shards answered, but " + missing +
                 " reported missing");
  }
  mCounts.partial += services.size() < kShards ? 1 : 0;
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string expected;
  for (std::size_t n = 0; n < std::min(kTopRecords, records.size()); ++n) {
    expected += records[n];
  }
  if (aResponse.body != expected) {
    AddViolation(aId + ": the records are not the greatest of the answered shards");
  }
}

void
SoakRun::CheckLedger()
{
  for (const std::string& id : mRefusedIds) {
    if (mLedger.HasRun(id)) {
      AddViolation(id + ": refused as not run, but ran");
    }
  }
  for (const auto& [key, runs] : mLedger.runs) {
    const bool isOrder = key.compare(0, kOrderIdPrefix.size(), kOrderIdPrefix) == 0;
    // Runs at replicas that were cut off from their daemon don't count; another daemon's do.
    const bool wasCut = mCutIds.count(SoakLedger::IdOf(key)) > 0;
    const int attempts = wasCut ? 2 * kMaxAttempts : kMaxAttempts;
    if (runs > (isOrder ? 1 : attempts)) {
      AddViolation(key + ": ran " + std::to_string(runs) + " times at one service");
    }
  }
  if (mLedger.hasInjectedHeader) {
    AddViolation("the name of an entry made a header field of its own at a replica");
  }
  if (mCounts.answered == 0) {
    AddViolation("no request was answered");
  }
}

void
SoakRun::AddViolation(const std::string& aDescription)
{
  mViolations.push_back(aDescription);
}

core::Duration
SoakRun::RandomDuration(int aMinMs, int aMaxMs)
{
  const std::uint64_t range = static_cast<std::uint64_t>(aMaxMs) - aMinMs + 1;
  return milliseconds(aMinMs + static_cast<int>(mRandom.Below(range)));
}

} // namespace skylarkwing::soak
