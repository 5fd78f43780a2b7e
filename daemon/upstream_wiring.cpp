#include "daemon/daemon_parts.h"

#include "daemon/owned_replicas.h"
#include "membership/ownership.h"
#include "upstream/upstream_messages.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwing::daemon {

namespace {

constexpr const char* kCrashKind = "crash-evidence";
constexpr const char* kCrashQueryKind = "crash-evidence-query";
/** Number of members that a newly started daemon asks which requests crash replicas. */
constexpr int kEvidenceQueries = 3;
/** How often replicas that were given up are checked for remaining work and connections. */
constexpr core::Duration kReleasePollInterval = std::chrono::milliseconds{ 5 };

/** Crash evidence in messages between daemons. */
struct EvidenceMessage
{
  std::uint64_t fingerprint = 0;
  int kind = 0;
  std::string replica;
  std::string incarnation;
  std::uint32_t shard = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvidenceMessage, fingerprint, kind, replica, incarnation, shard)

EvidenceMessage
ToMessage(const upstream::CrashEvidence& aEvidence)
{
  return { aEvidence.fingerprint,
           static_cast<int>(aEvidence.kind),
           aEvidence.replica,
           aEvidence.incarnation,
           aEvidence.shard };
}

upstream::CrashEvidence
ToEvidence(const EvidenceMessage& aMessage)
{
  return { aMessage.fingerprint,
           static_cast<upstream::EvidenceKind>(aMessage.kind),
           aMessage.replica,
           aMessage.incarnation,
           aMessage.shard };
}

void
RefuseAsNotOwner(const upstream::PartRequest& aPart, const upstream::PartCallback& aCallback)
{
  upstream::PartAnswer answer;
  answer.partId = aPart.partId;
  answer.status = upstream::PartStatus::NotRun;
  answer.refusal = upstream::PartRefusal::NotOwner;
  answer.snapshot = aPart.snapshot;
  answer.shard = aPart.shard;
  aCallback(std::move(answer));
}

} // namespace

void
Daemon::Parts::WireUpstream()
{
  upstream::DispatcherHooks hooks;
  WirePermits(hooks);
  hooks.broadcastCrash = [this](const upstream::CrashEvidence& aEvidence) {
    const EvidenceMessage message = ToMessage(aEvidence);
    for (const std::string& vm : membership->Peers()) {
      bus->Send(vm, kCrashKind, message);
    }
  };
  dispatcher = std::make_unique<upstream::PartDispatcher>(
    loop.get_executor(), timers, random, metrics, std::move(hooks));
  dispatcher->OnStatusChange([this](const upstream::ReplicaStatus& aStatus) {
    upstream::ReplicaStatus status = aStatus;
    status.owner = settings.vm;
    views.Update(std::move(status));
  });
  bus->OnMessage(kCrashKind, [this](const net::PeerMessageOrigin&, const nlohmann::json& aBody) {
    dispatcher->Merge(ToEvidence(aBody.get<EvidenceMessage>()));
  });
  bus->OnMessage(kCrashQueryKind,
                 [this](const net::PeerMessageOrigin& aOrigin, const nlohmann::json&) {
                   for (const upstream::CrashEvidence& evidence : dispatcher->Evidence()) {
                     bus->Send(aOrigin.vm, kCrashKind, ToMessage(evidence));
                   }
                 });

  WireHandover();
  WireRouter();
}

void
Daemon::Parts::WireHandover()
{
  membership::HandoverHooks handoverHooks;
  handoverHooks.onAcquire = [this](const std::string& aReplica) {
    held.insert(aReplica);
    releasing.erase(aReplica);
    RefreshHeld();
  };
  handoverHooks.onRelease = [this](const std::string& aReplica) {
    held.erase(aReplica);
    RefreshHeld();
    const bool isFirst = releasing.empty();
    releasing.insert(aReplica);
    if (isFirst) {
      timers.Schedule(kReleasePollInterval, [this] { ReportReleased(); });
    }
  };
  handover = std::make_unique<membership::Handover>(
    timers, random, metrics, *membership, std::move(handoverHooks));
}

void
Daemon::Parts::WireRouter()
{
  upstream::PartRouterHooks routerHooks;
  routerHooks.ownerOf = [this](const std::string& aReplica) { return views.OwnerOf(aReplica); };
  routerHooks.dispatch = [this](upstream::PartRequest aPart, upstream::PartCallback aCallback) {
    if (!handover->MayUse(aPart.replica)) {
      RefuseAsNotOwner(aPart, aCallback);
      return;
    }
    dispatcher->Dispatch(std::move(aPart), std::move(aCallback));
  };
  routerHooks.cancel = [this](const std::string& aPartId) { dispatcher->Cancel(aPartId); };
  router = std::make_unique<upstream::PartRouter>(
    timers, metrics, *bus, settings.vm, std::move(routerHooks));
}

void
Daemon::Parts::RequestCrashEvidence(const membership::Member& aMember)
{
  if (aMember.state != membership::MemberState::Alive || evidenceQueries >= kEvidenceQueries) {
    return;
  }
  ++evidenceQueries;
  bus->Send(aMember.vm, kCrashQueryKind, nlohmann::json::object());
}

void
Daemon::Parts::RefreshOwnership()
{
  const auto configuration = keeper.InForce();
  if (!configuration || !handover) {
    return;
  }
  const std::vector<membership::Member> members = membership->EligibleOwners();
  if (members.empty()) {
    // No other daemon can take over, so the last one keeps its replicas until it stops.
    return;
  }
  handover->SetOwners(membership::AssignOwners(configuration->declaration, members));
  RefreshHeld();
}

void
Daemon::Parts::RefreshHeld()
{
  const auto configuration = keeper.InForce();
  const auto isHeld = [this](const std::string& aReplica) { return held.contains(aReplica); };
  dispatcher->SetOwned(ListOwnedReplicas(configuration->declaration, isHeld));
}

void
Daemon::Parts::ReportReleased()
{
  std::vector<std::string> done;
  for (const std::string& replica : releasing) {
    if (!dispatcher->IsReleasing(replica)) {
      done.push_back(replica);
    }
  }
  for (const std::string& replica : done) {
    releasing.erase(replica);
    handover->ConfirmReleased(replica);
  }
  if (!releasing.empty()) {
    timers.Schedule(kReleasePollInterval, [this] { ReportReleased(); });
  }
}

std::vector<nlohmann::json>
Daemon::Parts::OwnFacts()
{
  std::vector<nlohmann::json> statuses;
  for (upstream::ReplicaStatus& status : dispatcher->Statuses()) {
    status.owner = settings.vm;
    statuses.emplace_back(status);
    views.Update(std::move(status));
  }
  return statuses;
}

} // namespace skylarkwing::daemon
