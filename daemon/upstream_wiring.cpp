#include "daemon/daemon_parts.h"

#include "daemon/owned_replicas.h"
#include "upstream/upstream_messages.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace skylarkwing::daemon {

namespace {

constexpr const char* kCrashKind = "crash-evidence";

/** Crash evidence as it travels between daemons. */
struct EvidenceMessage
{
  std::uint64_t fingerprint = 0;
  int kind = 0;
  std::string replica;
  std::string incarnation;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvidenceMessage, fingerprint, kind, replica, incarnation)

} // namespace

void
Daemon::Parts::WireUpstream()
{
  upstream::DispatcherHooks hooks;
  WirePermits(hooks);
  hooks.broadcastCrash = [this](const upstream::CrashEvidence& aEvidence) {
    const EvidenceMessage message{ aEvidence.fingerprint,
                                   static_cast<int>(aEvidence.kind),
                                   aEvidence.replica,
                                   aEvidence.incarnation };
    for (const std::string& vm : membership->Peers()) {
      bus->Send(vm, kCrashKind, message);
    }
  };
  dispatcher = std::make_unique<upstream::PartDispatcher>(
    loop.get_executor(), timers, random, metrics, std::move(hooks));
  dispatcher->OnFactChange([this](const upstream::ReplicaFact& aFact) {
    upstream::ReplicaFact fact = aFact;
    fact.owner = settings.vm;
    views.Update(std::move(fact));
  });
  bus->OnMessage(kCrashKind, [this](const net::PeerMessageOrigin&, const nlohmann::json& aBody) {
    const auto message = aBody.get<EvidenceMessage>();
    upstream::CrashEvidence evidence;
    evidence.fingerprint = message.fingerprint;
    evidence.kind = static_cast<upstream::EvidenceKind>(message.kind);
    evidence.replica = message.replica;
    evidence.incarnation = message.incarnation;
    dispatcher->Merge(evidence);
  });

  upstream::PartRouterHooks routerHooks;
  routerHooks.ownerOf = [this](const std::string& aReplica) { return views.OwnerOf(aReplica); };
  routerHooks.dispatch = [this](upstream::PartRequest aPart, upstream::PartCallback aCallback) {
    dispatcher->Dispatch(std::move(aPart), std::move(aCallback));
  };
  routerHooks.cancel = [this](const std::string& aPartId) { dispatcher->Cancel(aPartId); };
  router = std::make_unique<upstream::PartRouter>(
    timers, metrics, *bus, settings.vm, std::move(routerHooks));
}

void
Daemon::Parts::RefreshOwnership()
{
  const auto configuration = keeper.InForce();
  if (!configuration || !dispatcher || membership->IsRelearning()) {
    return;
  }
  owners = membership::OwnersOf(configuration->declaration, membership->Owners());
  const auto isOwned = [this](const std::string& aReplica) {
    const auto it = owners.find(aReplica);
    return it != owners.end() && it->second == settings.vm;
  };
  dispatcher->SetOwned(ListOwnedReplicas(configuration->declaration, isOwned));
}

std::vector<nlohmann::json>
Daemon::Parts::OwnFacts()
{
  std::vector<nlohmann::json> facts;
  for (upstream::ReplicaFact& fact : dispatcher->Facts()) {
    fact.owner = settings.vm;
    facts.emplace_back(fact);
    views.Update(std::move(fact));
  }
  return facts;
}

} // namespace skylarkwing::daemon
