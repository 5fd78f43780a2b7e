#include "daemon/daemon_parts.h"

#include "core/log.h"
#include "daemon/vm_list_fetch.h"
#include "declaration/configuration_codec.h"
#include "upstream/upstream_messages.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwing::daemon {

namespace {

/** Load changes constantly and may be slightly outdated; data used for routing may not. */
bool
IsUrgent(const nlohmann::json& aBefore, const nlohmann::json& aAfter)
{
  for (const char* key : { "owner", "incarnation", "state", "holdings" }) {
    if (!aBefore.is_object() || aBefore.value(key, nlohmann::json()) != aAfter.at(key)) {
      return true;
    }
  }
  return false;
}

membership::Member
MakeSelf(const settings::Settings& aSettings,
         const std::string& aIncarnation,
         std::int64_t aWallClockMilliseconds)
{
  membership::Member self;
  self.vm = aSettings.vm;
  self.incarnation = aIncarnation;
  self.startOrder = static_cast<std::uint64_t>(aWallClockMilliseconds);
  self.failureDomain = aSettings.failureDomain;
  self.region = aSettings.region;
  self.callerAddress = aSettings.callerAddress;
  self.peerAddress = aSettings.peerAddress;
  self.state = membership::MemberState::Alive;
  return self;
}

} // namespace

void
Daemon::Parts::WireMembership()
{
  membership::MembershipHooks hooks;
  hooks.fetchVmList = [this] { return FetchVmList(loop.get_executor(), settings.vmListAddress); };
  hooks.ownFacts = [this] { return OwnFacts(); };
  hooks.isUrgentFact = IsUrgent;
  hooks.onFact = [this](const std::string& aVm, const nlohmann::json& aFact) {
    auto status = aFact.get<upstream::ReplicaStatus>();
    if (status.owner == aVm) {
      views.Update(std::move(status));
    }
  };
  membership = std::make_unique<membership::MembershipService>(
    loop.get_executor(),
    timers,
    random,
    metrics,
    *bus,
    MakeSelf(settings, incarnation, timers.WallClockMilliseconds()),
    std::move(hooks));
  membership->OnChange([this](const membership::Member& aMember) { OnMemberChange(aMember); });
  membership->OnEligibleOwnersChange([this] { RefreshOwnership(); });

  membership::ConfigurationSyncHooks syncHooks;
  syncHooks.toDocument = [](const declaration::Configuration& aConfiguration) {
    return declaration::ToJson(aConfiguration);
  };
  syncHooks.offer = [this](const nlohmann::json& aDocument, const std::string& aVm) {
    auto result = declaration::ReadConfiguration(aDocument);
    if (!result.configuration) {
      return false;
    }
    keeper.Offer(std::move(*result.configuration), aVm);
    return true;
  };
  configurationSync = std::make_unique<membership::ConfigurationSync>(
    timers, random, metrics, *membership, keeper, std::move(syncHooks));

  membership::ConnectivityHooks connectivityHooks;
  connectivityHooks.storeConfirmedAt = [this] { return configurationWatch->LastConfirmed(); };
  connectivity = std::make_unique<membership::ConnectivityMonitor>(
    timers, metrics, *membership, std::move(connectivityHooks));

  keeper.Subscribe([this](const declaration::Configuration& aConfiguration) {
    membership->SetGeneration(aConfiguration.generation);
    RefreshOwnership();
  });
}

void
Daemon::Parts::OnMemberChange(const membership::Member& aMember)
{
  if (aMember.vm == settings.vm) {
    return;
  }
  const auto known = memberIncarnations.find(aMember.vm);
  const bool isReplaced = known != memberIncarnations.end() && known->second != aMember.incarnation;
  memberIncarnations[aMember.vm] = aMember.incarnation;
  RequestCrashEvidence(aMember);
  if (aMember.state != membership::MemberState::Gone && !isReplaced) {
    return;
  }
  router->OnMemberGone(aMember.vm);
  views.ForgetOwner(aMember.vm);
}

} // namespace skylarkwing::daemon
