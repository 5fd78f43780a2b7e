#include "daemon/daemon_parts.h"

#include "core/hex_text.h"
#include "core/log.h"
#include "daemon/status_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

namespace skylarkwing::daemon {

namespace {

/** Time limit of a change; after it, the outcome is reported as unknown. */
constexpr core::Duration kChangeTimeLimit = std::chrono::seconds{ 10 };

/** @return the token in a file without trailing white space, empty if there is none. */
std::string
ReadToken(const std::string& aFile)
{
  std::ifstream in(aFile);
  std::string token{ std::istreambuf_iterator<char>(in), {} };
  token.erase(token.find_last_not_of(" \t\r\n") + 1);
  if (token.empty()) {
    core::LogEvent(
      core::LogLevel::Warning,
      "daemon",
      "operator_token_missing",
      { { "file", aFile }, { "effect", "requests with this token are not authorized" } });
  }
  return token;
}

console::ChangeVerdict
VerdictOf(store::WriteOutcome aOutcome)
{
  switch (aOutcome) {
    case store::WriteOutcome::Accepted:
      return console::ChangeVerdict::Accepted;
    case store::WriteOutcome::Conflict:
      return console::ChangeVerdict::Conflict;
    case store::WriteOutcome::Refused:
    case store::WriteOutcome::Unavailable:
      return console::ChangeVerdict::Refused;
    case store::WriteOutcome::Unknown:
      break;
  }
  return console::ChangeVerdict::Unknown;
}

console::ChangeOutcome
ToChangeOutcome(store::WriteResult aResult)
{
  console::ChangeOutcome outcome;
  outcome.verdict = VerdictOf(aResult.outcome);
  outcome.generation = aResult.generation;
  outcome.conflicts = std::move(aResult.conflicts);
  outcome.faults = std::move(aResult.faults);
  outcome.reason = std::move(aResult.reason);
  return outcome;
}

} // namespace

void
Daemon::Parts::WireConsole()
{
  burn = std::make_unique<console::BurnTracker>(timers, &metrics);
  BurnExchangeHooks burnHooks;
  burnHooks.peers = [this] { return membership->Peers(); };
  burnExchange =
    std::make_unique<BurnExchange>(timers, *bus, settings.vm, *burn, keeper, std::move(burnHooks));
  keeper.Subscribe([this](const declaration::Configuration& aConfiguration) {
    burn->SetProfiles(aConfiguration.declaration.profiles);
  });

  console::ConsoleHooks hooks;
  hooks.status = [this] { return ReadStatus(); };
  hooks.configuration = [this]() -> std::optional<declaration::Configuration> {
    const auto inForce = keeper.InForce();
    return inForce ? std::optional(*inForce) : std::nullopt;
  };
  hooks.applyChange = [this](console::ChangeRequest aRequest, console::ChangeCallback aCallback) {
    core::Start(loop.get_executor(), ApplyChange(std::move(aRequest), std::move(aCallback)));
  };
  hooks.collectBurn = [this](std::function<void(nlohmann::json)> aCallback) {
    burnExchange->Collect(console::BurnDetail::Full,
                          [callback = std::move(aCallback)](const console::BurnReport& aReport) {
                            callback(console::ToJson(aReport));
                          });
  };
  hooks.quarantine = [this] { return ReadQuarantine(); };
  hooks.releaseQuarantine = [this](const std::string& aFingerprint) {
    return ReleaseQuarantine(aFingerprint);
  };
  console::OperatorTokens tokens;
  tokens.read = ReadToken(settings.readTokenFile);
  tokens.change = ReadToken(settings.changeTokenFile);
  operators =
    std::make_unique<console::OperatorApi>(timers, metrics, std::move(tokens), std::move(hooks));
}

core::Task<void>
Daemon::Parts::ApplyChange(console::ChangeRequest aRequest, console::ChangeCallback aCallback)
{
  store::ConfigurationChange change;
  change.declaration = std::move(aRequest.declaration);
  change.expectedGeneration = aRequest.expectedGeneration;
  change.author = std::move(aRequest.author);
  change.reason = std::move(aRequest.reason);
  store::WriteResult result =
    co_await configurationStore->Write(std::move(change), kChangeTimeLimit);
  aCallback(ToChangeOutcome(std::move(result)));
}

console::ClusterStatus
Daemon::Parts::ReadStatus()
{
  console::ClusterStatus status;
  status.vm = settings.vm;
  status.generation = keeper.Generation();
  status.storeReachable = storeClient->IsReachable();
  status.isolated = !connectivity->MayTakeNewWork();
  const membership::RolloutStatus rollout = configurationSync->RolloutOf(status.generation);
  status.inForce = static_cast<std::uint32_t>(rollout.applied);
  status.members = static_cast<std::uint32_t>(rollout.participants);
  status.missingVms = rollout.outdated;
  status.missingVms.insert(
    status.missingVms.end(), rollout.unreachable.begin(), rollout.unreachable.end());
  status.profiles = burnExchange->Recent();
  status.quarantine = ReadQuarantine();
  const auto configuration = keeper.InForce();
  if (!configuration) {
    return status;
  }
  const declaration::Declaration& declaration = configuration->declaration;
  const std::vector<membership::Member> members = membership->Members();
  const StatusSources sources{ declaration, members, views.Statuses() };
  status.deployment = declaration.deployment;
  status.failureDomains = ReadFailureDomains(sources);
  for (const auto& index : declaration.indexes) {
    auto services = ReadServices(sources, index, views.View(index.name));
    std::move(services.begin(), services.end(), std::back_inserter(status.services));
  }
  status.serviceCount = static_cast<std::uint32_t>(status.services.size());
  status.history = ReadHistory(configuration->history);
  return status;
}

std::vector<console::QuarantineStatus>
Daemon::Parts::ReadQuarantine() const
{
  std::vector<console::QuarantineStatus> list;
  for (const upstream::QuarantinedFingerprint& entry : dispatcher->QuarantinedFingerprints()) {
    console::QuarantineStatus status;
    status.fingerprint = core::ToHex(entry.fingerprint);
    status.crashedReplicas = entry.crashedReplicas;
    const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.sinceLastSeen).count();
    status.since = timers.WallClockMilliseconds() - age;
    list.push_back(std::move(status));
  }
  return list;
}

bool
Daemon::Parts::ReleaseQuarantine(const std::string& aFingerprint)
{
  const std::optional<std::uint64_t> fingerprint = core::ParseHex(aFingerprint);
  if (!fingerprint) {
    return false;
  }
  const auto quarantined = dispatcher->QuarantinedFingerprints();
  const bool isKnown = std::any_of(
    quarantined.begin(), quarantined.end(), [&](const upstream::QuarantinedFingerprint& aEntry) {
      return aEntry.fingerprint == *fingerprint;
    });
  if (isKnown) {
    dispatcher->LiftQuarantine(*fingerprint);
  }
  return isKnown;
}

} // namespace skylarkwing::daemon
