#include "daemon/daemon_parts.h"

#include "caller/home_messages.h"
#include "membership/entry_points.h"

#include <chrono>
#include <utility>

namespace skylarkwing::daemon {

namespace {

/** Duration of one epoch of request identities. */
constexpr core::Duration kIdentityEpoch = std::chrono::seconds{ 30 };
/** A daemon that has just joined may forward requests before replies can reach it. */
constexpr core::Duration kReplyTimeout = std::chrono::seconds{ 2 };

query::QueryHooks
MakeQueryHooks(upstream::PartRouter& aRouter,
               const IndexViewCache& aViews,
               const upstream::PartDispatcher& aDispatcher)
{
  query::QueryHooks hooks;
  hooks.sendPart = [&aRouter](upstream::PartRequest aPart, upstream::PartCallback aCallback) {
    aRouter.Send(std::move(aPart), std::move(aCallback));
  };
  hooks.cancelPart = [&aRouter](const std::string& aReplica, const std::string& aPartId) {
    aRouter.Cancel(aReplica, aPartId);
  };
  hooks.indexView = [&aViews](const std::string& aIndex) { return aViews.View(aIndex); };
  hooks.crashedReplicas = [&aDispatcher](std::uint64_t aFingerprint) {
    return aDispatcher.CrashedReplicas(aFingerprint);
  };
  return hooks;
}

} // namespace

void
Daemon::Parts::WireCaller()
{
  query::QuerySettings querySettings;
  querySettings.failureDomain = settings.failureDomain;
  engine = std::make_unique<query::QueryEngine>(
    timers, random, metrics, MakeQueryHooks(*router, views, *dispatcher), querySettings);

  caller::CallerHooks hooks;
  hooks.configuration = [this] { return keeper.InForce(); };
  hooks.runQuery = [this](query::QueryRequest aRequest) {
    return engine->Run(std::move(aRequest));
  };
  hooks.entryPoints = [this](const std::optional<std::string>& aFailureDomain) {
    return ChooseEntryPoints(aFailureDomain);
  };
  hooks.mayTakeNewWork = [this] { return connectivity->MayTakeNewWork(); };
  hooks.isLeaving = [this] { return isRefusing; };
  hooks.liveMemberCount = [this] { return LiveMembers(); };
  hooks.incarnationOf = [this](const std::string& aVm) { return IncarnationOf(aVm); };
  hooks.identityEpoch = [this] { return IdentityEpoch(); };
  hooks.sendToPeer =
    [this](const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody) {
      return SendForCaller(aVm, aKind, aBody);
    };
  hooks.start = [this](core::Task<void> aTask) {
    core::Start(loop.get_executor(), std::move(aTask));
  };
  hooks.onOutcome = [this](const caller::QueryOutcome& aOutcome) { RecordOutcome(aOutcome); };
  caller::CallerSettings callerSettings;
  callerSettings.vm = settings.vm;
  callerSettings.incarnation = incarnation;
  front = std::make_unique<caller::CallerFrontend>(
    timers, random, metrics, std::move(hooks), std::move(callerSettings));
  front->RegisterHandlers(*bus);
}

void
Daemon::Parts::RecordOutcome(const caller::QueryOutcome& aOutcome)
{
  console::AnswerOutcome record;
  record.profile = aOutcome.profile;
  record.latency = aOutcome.latency;
  record.isRefused = aOutcome.isRefused;
  record.isComplete = aOutcome.result && aOutcome.result->complete;
  if (aOutcome.result) {
    for (const std::uint32_t shard : aOutcome.result->coverage.missing) {
      record.faults.push_back({ { aOutcome.index, shard, "" }, console::ShardFaultKind::Missing });
    }
  }
  burn->Record(record);
}

bool
Daemon::Parts::SendForCaller(const std::string& aVm,
                             std::string_view aKind,
                             const nlohmann::json& aBody)
{
  if (aKind != caller::kHomeReplyKind) {
    return bus->Send(aVm, aKind, aBody);
  }
  replySender->Send(aVm, std::string(aKind), aBody, kReplyTimeout);
  return true;
}

std::uint64_t
Daemon::Parts::IdentityEpoch() const
{
  return static_cast<std::uint64_t>((timers.Now() - startedAt) / kIdentityEpoch) + 1;
}

std::size_t
Daemon::Parts::LiveMembers() const
{
  std::size_t n = 0;
  for (const membership::Member& member : membership->Members()) {
    const bool isLive = member.state == membership::MemberState::Alive ||
                        member.state == membership::MemberState::Suspect;
    n += isLive ? 1 : 0;
  }
  return n;
}

std::optional<std::string>
Daemon::Parts::IncarnationOf(const std::string& aVm) const
{
  if (aVm == settings.vm) {
    return incarnation;
  }
  const membership::MemberEntry* entry = membership->Table().Find(aVm);
  if (!entry || entry->member.state == membership::MemberState::Gone) {
    return std::nullopt;
  }
  return entry->member.incarnation;
}

caller::EntryPointsResponse
Daemon::Parts::ChooseEntryPoints(const std::optional<std::string>& aFailureDomain)
{
  membership->SetIdentityEpoch(IdentityEpoch());
  caller::EntryPointsResponse list;
  const auto configuration = keeper.InForce();
  if (!configuration) {
    return list;
  }
  const auto selection = membership::SelectEntryPoints(
    membership->Members(), configuration->declaration, aFailureDomain.value_or(""), random);
  list.keep = selection.maxAge;
  for (const membership::SelectedEntryPoint& entry : selection.entryPoints) {
    list.entryPoints.push_back(
      { entry.vm, entry.address, entry.failureDomain, entry.identityPrefix });
  }
  return list;
}

} // namespace skylarkwing::daemon
