#include "bench/cluster_fixture.h"

#include "declaration/configuration_codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <limits>
#include <utility>

#include <unistd.h>

namespace skylarkwing::bench {

namespace {

constexpr std::size_t kStandinThreads = 3;
constexpr std::uint64_t kFirstSnapshot = 1;
constexpr const char* kConfigurationKey = "skylarkwing/configuration";
constexpr const char* kOperatorToken = "operator-of-the-experiment";

// Below the ephemeral ports, where an outgoing connection could take a port before it is bound.
constexpr std::uint32_t kFirstPort = 12'000;
constexpr std::uint32_t kPortCount = 20'000;

/** @return the offset of the first port to try; differs by process to avoid collisions. */
std::uint32_t
FirstPortOffset()
{
  constexpr std::uint32_t kStride = 613;
  return static_cast<std::uint32_t>(getpid()) * kStride % kPortCount;
}

bool
IsPortFree(std::uint16_t aPort)
{
  boost::asio::io_context loop;
  boost::asio::ip::tcp::acceptor acceptor(loop);
  boost::system::error_code ec;
  acceptor.open(boost::asio::ip::tcp::v4(), ec);
  acceptor.bind({ boost::asio::ip::address_v4::loopback(), aPort }, ec);
  return !ec;
}

/** @return the shards of one service; shards are assigned round-robin. */
std::vector<std::uint32_t>
ShardsOf(std::uint32_t aService, std::uint32_t aServices, std::uint32_t aShardCount)
{
  std::vector<std::uint32_t> shards;
  for (std::uint32_t shard = aService; shard < aShardCount; shard += aServices) {
    shards.push_back(shard);
  }
  return shards;
}

} // namespace

ClusterFixture::ClusterFixture(ClusterOptions aOptions, ClusterNodeFactory aFactory)
  : mOptions(std::move(aOptions))
  , mFactory(std::move(aFactory))
  , mReference(std::make_shared<NaiveReference>())
  , mLedgers{ std::make_shared<standin::ExecutionCounter>(),
              std::make_shared<standin::CrashLedger>() }
  , mNextPort(FirstPortOffset())
{
  for (std::size_t n = 0; n < kStandinThreads; ++n) {
    mThreads.push_back(std::make_unique<LoopThread>("standin"));
  }
}

ClusterFixture::~ClusterFixture()
{
  Stop();
}

bool
ClusterFixture::Start()
{
  return WriteToken() && StartUpstreams() && StartPlatform() && StartNodes();
}

void
ClusterFixture::Stop()
{
  for (Node& node : mNodes) {
    node.process->Kill();
  }
  mNodes.clear();
  for (Upstream& upstream : mUpstreams) {
    mThreads[upstream.thread]->Run([&upstream] { upstream.standin.reset(); });
  }
  mUpstreams.clear();
  if (mStore) {
    PlatformThread().Run([this] {
      mStore.reset();
      mVmList.reset();
    });
  }
  for (const auto& thread : mThreads) {
    thread->Stop();
  }
  std::error_code ec;
  std::filesystem::remove(mTokenFile, ec);
}

std::vector<std::string>
ClusterFixture::CallerAddresses() const
{
  std::vector<std::string> addresses;
  for (const NodePlace& place : mPlaces) {
    addresses.push_back(place.callerAddress);
  }
  return addresses;
}

void
ClusterFixture::SetDomainOut(const std::string& aDomain, bool aIsOut, const std::string& aReason)
{
  for (auto& domain : mOptions.declaration.failureDomains) {
    if (domain.name == aDomain) {
      domain.out = aIsOut;
      domain.reason = aIsOut ? aReason : std::string();
    }
  }
  WriteConfiguration();
  ForEachUpstream(
    [&aDomain](const standin::UpstreamStandinOptions& aOptions) {
      return aOptions.failureDomain == aDomain;
    },
    [aIsOut](standin::UpstreamStandin& aUpstream) { aUpstream.SetDomainOut(aIsOut); });
}

void
ClusterFixture::ForEachUpstream(
  const std::function<bool(const standin::UpstreamStandinOptions&)>& aFilter,
  const std::function<void(standin::UpstreamStandin&)>& aAction)
{
  for (Upstream& upstream : mUpstreams) {
    if (!aFilter(upstream.standin->Options())) {
      continue;
    }
    mThreads[upstream.thread]->Run([&upstream, &aAction] { aAction(*upstream.standin); });
  }
}

void
ClusterFixture::AddVersion(const std::string& aIndex,
                           std::uint64_t aSnapshot,
                           std::uint32_t aShardCount,
                           std::size_t aReplicaNumber)
{
  mReference->AddSnapshot(aIndex, aSnapshot, aShardCount);
  for (Upstream& upstream : mUpstreams) {
    if (upstream.standin->Options().index != aIndex || upstream.replicaNumber != aReplicaNumber) {
      continue;
    }
    mThreads[upstream.thread]->Run([&upstream, aSnapshot, aShardCount] {
      upstream.standin->AddVersion(
        aSnapshot, aShardCount, ShardsOf(upstream.service, upstream.services, aShardCount));
    });
  }
}

void
ClusterFixture::RunOnStore(const std::function<void(standin::StoreStandin&)>& aAction)
{
  PlatformThread().Run([this, &aAction] { aAction(*mStore); });
}

void
ClusterFixture::KillNode(std::size_t aNumber)
{
  if (aNumber >= mNodes.size()) {
    return;
  }
  mNodes[aNumber].process->Kill();
  mNodes.erase(mNodes.begin() + static_cast<std::ptrdiff_t>(aNumber));
  PublishVms();
}

bool
ClusterFixture::ReplaceNode(std::size_t aNumber)
{
  if (aNumber >= mNodes.size()) {
    return false;
  }
  // The new VM is in the failure domain of the old one.
  Node node;
  node.place = MakePlace();
  node.place.failureDomain = mNodes[aNumber].place.failureDomain;
  node.place.region = mNodes[aNumber].place.region;
  node.process = mFactory(node.place, mOptions.declaration, mPlaces);
  if (!node.process->Start()) {
    return false;
  }
  mNodes[aNumber].isLeaving = true;
  mNodes[aNumber].process->BeginStop();
  mNodes.push_back(std::move(node));
  PublishVms();
  return true;
}

void
ClusterFixture::RemoveStoppedNodes()
{
  const std::size_t removed = std::erase_if(
    mNodes, [](const Node& aNode) { return aNode.isLeaving && aNode.process->IsStopped(); });
  if (removed > 0) {
    PublishVms();
  }
}

std::chrono::nanoseconds
ClusterFixture::StandinCpuTime()
{
  std::chrono::nanoseconds used{ 0 };
  for (const auto& thread : mThreads) {
    used += thread->CpuTime();
  }
  return used;
}

std::string
ClusterFixture::OperatorToken()
{
  return kOperatorToken;
}

std::uint64_t
ClusterFixture::LowestGeneration()
{
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  for (const Node& node : mNodes) {
    lowest = std::min(lowest, node.process->Generation());
  }
  return lowest;
}

standin::StoreCalls
ClusterFixture::StoreCalls()
{
  return PlatformThread().Run([this] { return mStore->Calls(); });
}

void
ClusterFixture::Collect(LoadResult& aResult)
{
  for (Upstream& upstream : mUpstreams) {
    mThreads[upstream.thread]->Run([&upstream, &aResult] {
      aResult.properties += upstream.standin->Properties();
      aResult.upstream += upstream.standin->Load();
    });
  }
}

bool
ClusterFixture::StartUpstreams()
{
  std::size_t next = 0;
  for (auto& index : mOptions.declaration.indexes) {
    const auto services = static_cast<std::uint32_t>(index.services.size());
    mReference->AddSnapshot(index.name, kFirstSnapshot, services);
    for (std::uint32_t n = 0; n < services; ++n) {
      auto& replicas = index.services[n].replicas;
      for (std::size_t r = 0; r < replicas.size(); ++r) {
        Upstream upstream;
        upstream.thread = next++ % mThreads.size();
        upstream.replicaNumber = r;
        upstream.service = n;
        upstream.services = services;
        if (!StartUpstream(replicas[r], index, std::move(upstream))) {
          return false;
        }
      }
    }
  }
  return true;
}

bool
ClusterFixture::StartUpstream(declaration::ReplicaDeclaration& aReplica,
                              const declaration::IndexDeclaration& aIndex,
                              Upstream aUpstream)
{
  standin::UpstreamStandinOptions options = mOptions.upstream;
  options.replica = aReplica.name;
  options.index = aIndex.name;
  options.failureDomain = aReplica.failureDomain;
  options.address = "127.0.0.1:0";
  options.slots = aIndex.limits.slots;
  options.coldSlots = aIndex.limits.coldSlots;
  options.connections = aIndex.limits.connections;
  options.connectTime = aIndex.limits.connectTime;
  options.seed = mOptions.seed * 1'000 + mUpstreams.size();
  LoopThread& thread = *mThreads[aUpstream.thread];
  const bool isStarted = thread.Run([&] {
    aUpstream.standin =
      std::make_unique<standin::UpstreamStandin>(thread.Loop(), thread.Timers(), options, mLedgers);
    aUpstream.standin->AddVersion(
      kFirstSnapshot,
      aUpstream.services,
      ShardsOf(aUpstream.service, aUpstream.services, aUpstream.services));
    return aUpstream.standin->Start();
  });
  aReplica.address = aUpstream.standin->Address();
  mUpstreams.push_back(std::move(aUpstream));
  if (!isStarted) {
    mLastError = "cannot listen on a port for the upstream " + aReplica.name;
  }
  return isStarted;
}

bool
ClusterFixture::StartPlatform()
{
  LoopThread& thread = PlatformThread();
  const bool isStarted = thread.Run([this, &thread] {
    mStore = std::make_unique<standin::StoreStandin>(thread.Loop(), thread.Timers());
    mVmList =
      std::make_unique<standin::VmListStandin>(thread.Loop(), thread.Timers(), mOptions.vmListLag);
    return mStore->Start() && mVmList->Start();
  });
  if (!isStarted) {
    mLastError = "cannot listen on a port for the store or the VM list";
    return false;
  }
  return WriteConfiguration();
}

bool
ClusterFixture::StartNodes()
{
  for (std::uint32_t n = 0; n < mOptions.nodes; ++n) {
    mPlaces.push_back(MakePlace());
  }
  const std::vector<NodePlace> places = mPlaces;
  for (const NodePlace& place : places) {
    mNodes.push_back({ place, mFactory(place, mOptions.declaration, places), false });
  }
  PublishVms();
  for (Node& node : mNodes) {
    if (!node.process->Start()) {
      mLastError = "the entry process on " + node.place.vm + " failed to start";
      return false;
    }
  }
  return true;
}

bool
ClusterFixture::WriteToken()
{
  const std::string name =
    "skylarkwing-token-" + FindFreeAddress().substr(std::string("127.0.0.1:").size());
  mTokenFile = (std::filesystem::temp_directory_path() / name).string();
  std::ofstream file(mTokenFile);
  file << kOperatorToken << '\n';
  file.close();
  if (!file) {
    mLastError = "cannot write " + mTokenFile;
    return false;
  }
  std::filesystem::permissions(mTokenFile, std::filesystem::perms::owner_read);
  return true;
}

bool
ClusterFixture::WriteConfiguration()
{
  const std::string text = PlatformThread().Run([this] { return mStore->Get(kConfigurationKey); });
  const auto stored = declaration::ParseConfiguration(text).configuration;
  declaration::Configuration next;
  next.generation = stored ? stored->generation + 1 : 1;
  next.writeId = "experiment-" + std::to_string(next.generation);
  next.declaration = mOptions.declaration;
  declaration::ChangeRecord record;
  record.generation = next.generation;
  record.writeId = next.writeId;
  record.author = "experiment";
  record.reason = "step of the scenario";
  record.writeId = next.writeId;
  next.history = { std::move(record) };
  const std::string value = declaration::ConfigurationToText(next);
  const auto readBack = declaration::ParseConfiguration(value);
  if (!readBack.configuration) {
    mLastError = "the configuration is invalid: " + readBack.faults.front().path + ": " +
                 readBack.faults.front().expected;
    return false;
  }
  PlatformThread().Run([this, &value] { mStore->Put(kConfigurationKey, value); });
  return true;
}

std::string
ClusterFixture::FindFreeAddress()
{
  std::uint32_t port = 0;
  do {
    port = kFirstPort + mNextPort++ % kPortCount;
  } while (!IsPortFree(static_cast<std::uint16_t>(port)));
  return "127.0.0.1:" + std::to_string(port);
}

NodePlace
ClusterFixture::MakePlace()
{
  const auto& domains = mOptions.declaration.failureDomains;
  const auto& domain = domains[mVmsCreated % domains.size()];
  NodePlace place;
  place.vm = "vm-" + std::to_string(++mVmsCreated);
  place.failureDomain = domain.name;
  place.region = domain.region;
  place.callerAddress = FindFreeAddress();
  place.peerAddress = FindFreeAddress();
  place.operatorAddress = FindFreeAddress();
  place.storeAddress = mStore->Address();
  place.vmListAddress = mVmList->Address();
  place.readTokenFile = mTokenFile;
  place.changeTokenFile = mTokenFile;
  place.seed = mOptions.seed * 1'000 + mVmsCreated;
  return place;
}

void
ClusterFixture::PublishVms()
{
  std::vector<standin::VmListEntry> entries;
  mPlaces.clear();
  for (const Node& node : mNodes) {
    const NodePlace& place = node.place;
    entries.push_back({ place.vm,
                        place.failureDomain,
                        place.region,
                        place.callerAddress,
                        place.peerAddress,
                        node.isLeaving });
    if (!node.isLeaving) {
      mPlaces.push_back(place);
    }
  }
  PlatformThread().Run([this, &entries] { mVmList->Set(entries); });
}

} // namespace skylarkwing::bench
