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
  hooks.onFact = [&aDaemon](const std::string&, const nlohmann::json& aFact) {
    aDaemon.facts[aFact["replica"].get<std::string>()] = aFact;
  };
  return hooks;
}

} // namespace

FakeDaemon::FakeDaemon(FakeNetwork& aNetwork, boost::asio::io_context& aLoop, Member aSelf)
  : process(aNetwork.Timers())
  , random(HashOf(aSelf.incarnation))
  , bus(aNetwork, process, aSelf.vm, aSelf.incarnation, aSelf.peerAddress)
  , service(aLoop.get_executor(), process, random, metrics, bus, aSelf, HooksOf(*this))
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
  daemons[aNumber] = std::make_unique<FakeDaemon>(network, loop, std::move(self));
  daemons[aNumber]->service.Start();
  return *daemons[aNumber];
}

void
FakeCluster::StartAll(std::size_t aCount)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    StartDaemon(n);
  }
  ShowVmList();
  Advance(std::chrono::seconds{ 5 });
}

void
FakeCluster::Advance(core::Duration aSpan)
{
  timers.Advance(aSpan);
  loop.restart();
  loop.poll();
}

void
FakeCluster::ShowVmList()
{
  std::vector<VmRecord> records;
  for (const auto& [n, daemon] : daemons) {
    const Member& self = daemon->service.Self();
    records.push_back(
      { self.vm, self.failureDomain, self.region, self.callerAddress, self.peerAddress, false });
  }
  for (const auto& [n, daemon] : daemons) {
    daemon->service.LearnVms(records);
  }
}

std::size_t
FakeCluster::CountHolding(const std::string& aVm, MemberState aState)
{
  std::size_t n = 0;
  for (const auto& [number, daemon] : daemons) {
    const MemberEntry* entry = daemon->service.Table().Find(aVm);
    n += entry != nullptr && entry->member.state == aState ? 1 : 0;
  }
  return n;
}

std::string
VmOf(std::size_t aNumber)
{
  return "vm-" + std::to_string(aNumber);
}

} // namespace skylarkwing::membership::tests
