#include "membership/tests/fake_cluster.h"

#include "membership/hash.h"

#include <utility>

namespace skylarkwing::membership::tests {

namespace {

constexpr std::size_t kDomains = 3;

MembershipHooks
HooksOf(FakeDaemon& aDaemon)
{
  MembershipHooks hooks;
  hooks.ownFacts = [&aDaemon] { return aDaemon.ownFacts; };
  hooks.isUrgentFact = [](const nlohmann::json& aBefore, const nlohmann::json& aAfter) {
    return aBefore.is_null() || aBefore["state"] != aAfter["state"];
  };
  hooks.onFact = [&aDaemon](const std::string&, const nlohmann::json& aFact) {
    aDaemon.facts[aFact["replica"].get<std::string>()] = aFact;
  };
  return hooks;
}

nlohmann::json
DocumentOf(const declaration::Configuration& aConfiguration)
{
  nlohmann::json document{ { "generation", aConfiguration.generation } };
  for (const auto& service : aConfiguration.declaration.indexes.at(0).services) {
    document["services"].push_back(service.name);
  }
  return document;
}

ConfigurationSyncHooks
SyncHooksOf(declaration::ConfigurationKeeper& aKeeper)
{
  ConfigurationSyncHooks hooks;
  hooks.toDocument = DocumentOf;
  hooks.offer = [&aKeeper](const nlohmann::json& aDocument, const std::string&) {
    if (!aDocument.contains("services")) {
      return false;
    }
    const auto generation = aDocument["generation"].get<std::uint64_t>();
    aKeeper.Offer(ConfigurationOf(generation, aDocument["services"].size()), "peer");
    return true;
  };
  return hooks;
}

HandoverHooks
HandoverHooksOf(FakeDaemon& aDaemon)
{
  HandoverHooks hooks;
  hooks.onAcquire = [&aDaemon](const std::string& aReplica) { aDaemon.acquired.insert(aReplica); };
  hooks.onRelease = [&aDaemon](const std::string& aReplica) {
    if (aDaemon.isReleasingAtOnce) {
      aDaemon.acquired.erase(aReplica);
      aDaemon.handover.ConfirmReleased(aReplica);
    }
  };
  return hooks;
}

} // namespace

FakeDaemon::FakeDaemon(FakeNetwork& aNetwork, boost::asio::io_context& aLoop, const Member& aSelf)
  : process(aNetwork.Timers())
  , random(HashOf(aSelf.incarnation))
  , bus(aNetwork, process, aSelf.vm, aSelf.incarnation, aSelf.peerAddress)
  , service(aLoop.get_executor(), process, random, metrics, bus, aSelf, HooksOf(*this))
  , sync(process, random, metrics, service, keeper, SyncHooksOf(keeper))
  , connectivity(process, metrics, service, { [this] { return storeConfirmedAt; } })
  , promises(process, random, metrics, service, { [this](const std::string& aReplica) {
               return permits.count(aReplica) > 0;
             } })
  , handover(process, random, metrics, service, HandoverHooksOf(*this))
{
}

FakeDaemon::~FakeDaemon()
{
  process.Kill();
}

FakeCluster::FakeCluster(std::uint64_t aSeed)
  : network(timers, aSeed)
  , mRandom(aSeed + 1)
{
}

FakeDaemon&
FakeCluster::StartDaemon(std::size_t aNumber, const std::string& aAddress)
{
  daemons.erase(aNumber);
  Member self;
  self.vm = VmOf(aNumber);
  self.incarnation = mRandom.Token();
  self.failureDomain = "domain-" + std::to_string(aNumber % kDomains);
  self.region = "region-" + std::to_string(aNumber % kDomains);
  self.callerAddress = "10.0.0." + std::to_string(aNumber) + ":7100";
  self.peerAddress = aAddress.empty() ? "10.0.0." + std::to_string(aNumber) + ":7200" : aAddress;
  daemons[aNumber] = std::make_unique<FakeDaemon>(network, loop, self);
  FakeDaemon& daemon = *daemons[aNumber];
  daemon.service.Start();
  if (mDeclaration) {
    AssignOwnersOnChange(daemon);
  }
  return daemon;
}

void
FakeCluster::AssignOwners(const declaration::Declaration& aDeclaration)
{
  mDeclaration = aDeclaration;
  for (const auto& [n, daemon] : daemons) {
    AssignOwnersOnChange(*daemon);
  }
}

void
FakeCluster::AssignOwnersOnChange(FakeDaemon& aDaemon)
{
  auto assign = [this, &aDaemon] {
    aDaemon.handover.SetOwners(
      membership::AssignOwners(*mDeclaration, aDaemon.service.EligibleOwners()));
  };
  aDaemon.service.OnEligibleOwnersChange(assign);
  assign();
}

std::size_t
FakeCluster::CountHolders(const std::string& aReplica)
{
  std::size_t n = 0;
  for (const auto& [number, daemon] : daemons) {
    n += daemon->acquired.count(aReplica);
  }
  return n;
}

void
FakeCluster::StartAll(std::size_t aCount)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    StartDaemon(n);
  }
  SendVmList();
  Advance(std::chrono::seconds{ 5 });
}

void
FakeCluster::Advance(core::Duration aDuration)
{
  const core::TimePoint end = timers.Now() + aDuration;
  while (timers.NextDue() && *timers.NextDue() <= end) {
    timers.RunNext();
    loop.restart();
    loop.poll();
  }
  timers.Advance(end - timers.Now());
}

void
FakeCluster::SendVmList()
{
  std::vector<VmRecord> records;
  for (const auto& [n, daemon] : daemons) {
    const Member& self = daemon->service.Self();
    records.push_back(
      { self.vm, self.failureDomain, self.region, self.callerAddress, self.peerAddress, false });
  }
  for (const auto& [n, daemon] : daemons) {
    daemon->service.MergeVmList(records);
  }
}

std::size_t
FakeCluster::CountWithState(const std::string& aVm, MemberState aState)
{
  std::size_t n = 0;
  for (const auto& [number, daemon] : daemons) {
    const MemberEntry* entry = daemon->service.Table().Find(aVm);
    n += entry != nullptr && entry->member.state == aState ? 1 : 0;
  }
  return n;
}

declaration::Configuration
ConfigurationOf(std::uint64_t aGeneration, std::size_t aServices)
{
  declaration::Configuration configuration;
  configuration.generation = aGeneration;
  configuration.writeId = "write-" + std::to_string(aGeneration);
  auto& services = configuration.declaration.indexes.emplace_back().services;
  for (std::size_t n = 0; n < aServices; ++n) {
    auto& service = services.emplace_back();
    service.name = "service-" + std::to_string(n);
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      auto& replica = service.replicas.emplace_back();
      replica.name = service.name + "-" + std::to_string(domain);
      replica.failureDomain = "domain-" + std::to_string(domain);
    }
  }
  return configuration;
}

std::string
VmOf(std::size_t aNumber)
{
  return "vm-" + std::to_string(aNumber);
}

} // namespace skylarkwing::membership::tests
