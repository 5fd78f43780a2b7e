#include "bench/experiment.h"

#include "bench/daemon_node.h"
#include "bench/external_node.h"
#include "bench/load_run.h"
#include "bench/naive_node.h"
#include "core/name_table.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace skylarkwing::bench {

namespace {

using declaration::Declaration;
using declaration::IndexDeclaration;
using standin::UpstreamStandin;
using standin::UpstreamStandinOptions;

constexpr core::NameTable<Policy, 2> kPolicyNames{ { "standard", "naive" } };
constexpr std::chrono::milliseconds kPollInterval{ 50 };
constexpr std::chrono::milliseconds kWarmUpTime{ 6000 };
constexpr double kWarmUpRate = 0.3;
/** Queries per second and index, shared by its idempotent profiles. */
constexpr double kIdempotentQueriesPerSecond = 40.0;
constexpr double kNonIdempotentQueriesPerSecond = 20.0;

/** Executes the events of a scenario on a cluster. */
class ScenarioPlayer
{
public:
  ScenarioPlayer(ClusterFixture& aCluster, LoadDriver& aDriver, LoopThread& aDriverThread)
    : mCluster(aCluster)
    , mDriver(aDriver)
    , mDriverThread(aDriverThread)
  {
  }

  void Play(const ScenarioEvent& aEvent);

private:
  ClusterFixture& mCluster;
  LoadDriver& mDriver;
  LoopThread& mDriverThread;

  bool PlayUpstreams(const ScenarioEvent& aEvent);
  bool PlayPlatform(const ScenarioEvent& aEvent);
  void PlayCluster(const ScenarioEvent& aEvent);
  void ForEachTarget(const ScenarioEvent& aEvent,
                     const std::function<void(UpstreamStandin&)>& aAction);
  bool IsTarget(const ScenarioEvent& aEvent, const UpstreamStandinOptions& aOptions) const;
  std::string DomainName(const ScenarioEvent& aEvent) const;
  const IndexDeclaration& Index(const ScenarioEvent& aEvent) const;
  void AddVersion(const ScenarioEvent& aEvent);
  void SendPoison(const ScenarioEvent& aEvent);
};

void
ScenarioPlayer::Play(const ScenarioEvent& aEvent)
{
  if (PlayUpstreams(aEvent) || PlayPlatform(aEvent)) {
    return;
  }
  PlayCluster(aEvent);
}

bool
ScenarioPlayer::PlayUpstreams(const ScenarioEvent& aEvent)
{
  std::function<void(UpstreamStandin&)> action;
  switch (aEvent.action) {
    case ScenarioAction::Stragglers:
      action = [&aEvent](UpstreamStandin& aUpstream) {
        aUpstream.SetStragglers(aEvent.value, aEvent.factor);
      };
      break;
    case ScenarioAction::Restart:
      action = [](UpstreamStandin& aUpstream) { aUpstream.Restart(); };
      break;
    case ScenarioAction::TurnCold:
      action = [](UpstreamStandin& aUpstream) { aUpstream.TurnCold(); };
      break;
    case ScenarioAction::Drain:
      action = [](UpstreamStandin& aUpstream) { aUpstream.Drain(); };
      break;
    case ScenarioAction::DropConnections:
      action = [](UpstreamStandin& aUpstream) { aUpstream.DropConnections(); };
      break;
    case ScenarioAction::Lose:
      action = [](UpstreamStandin& aUpstream) { aUpstream.Stop(); };
      break;
    case ScenarioAction::Return:
      action = [](UpstreamStandin& aUpstream) { aUpstream.Start(); };
      break;
    case ScenarioAction::RemoveVersion:
      action = [&aEvent](UpstreamStandin& aUpstream) { aUpstream.RemoveVersion(aEvent.snapshot); };
      break;
    default:
      return false;
  }
  ForEachTarget(aEvent, action);
  return true;
}

bool
ScenarioPlayer::PlayPlatform(const ScenarioEvent& aEvent)
{
  std::function<void(standin::StoreStandin&)> action;
  switch (aEvent.action) {
    case ScenarioAction::StoreDown:
      action = [](standin::StoreStandin& aStore) { aStore.SetDown(true); };
      break;
    case ScenarioAction::StoreUp:
      action = [](standin::StoreStandin& aStore) {
        aStore.SetDown(false);
        aStore.SetDelay(core::Duration::zero());
      };
      break;
    case ScenarioAction::StoreSlow:
      action = [&aEvent](standin::StoreStandin& aStore) {
        aStore.SetDelay(std::chrono::milliseconds{ static_cast<std::int64_t>(aEvent.value) });
      };
      break;
    case ScenarioAction::StoreLosesAnswers:
      action = [&aEvent](standin::StoreStandin& aStore) { aStore.DropResponses(aEvent.count); };
      break;
    default:
      return false;
  }
  mCluster.RunOnStore(action);
  return true;
}

void
ScenarioPlayer::PlayCluster(const ScenarioEvent& aEvent)
{
  switch (aEvent.action) {
    case ScenarioAction::DomainOut:
      mCluster.SetDomainOut(DomainName(aEvent), true, "step of the scenario");
      return;
    case ScenarioAction::DomainBack:
      mCluster.SetDomainOut(DomainName(aEvent), false, {});
      return;
    case ScenarioAction::AddVersion:
      AddVersion(aEvent);
      return;
    case ScenarioAction::ReplaceNode:
      mCluster.ReplaceNode(aEvent.node);
      return;
    case ScenarioAction::KillNode:
      mCluster.KillNode(aEvent.node);
      return;
    case ScenarioAction::Poison:
      SendPoison(aEvent);
      return;
    default:
      mDriverThread.Run([this, &aEvent] { mDriver.SetRateFactor(aEvent.value); });
      return;
  }
}

void
ScenarioPlayer::ForEachTarget(const ScenarioEvent& aEvent,
                              const std::function<void(UpstreamStandin&)>& aAction)
{
  mCluster.ForEachUpstream(
    [this, &aEvent](const UpstreamStandinOptions& aOptions) { return IsTarget(aEvent, aOptions); },
    aAction);
}

bool
ScenarioPlayer::IsTarget(const ScenarioEvent& aEvent, const UpstreamStandinOptions& aOptions) const
{
  if (aEvent.domain && aOptions.failureDomain != DomainName(aEvent)) {
    return false;
  }
  if (aEvent.index && aOptions.index != Index(aEvent).name) {
    return false;
  }
  if (!aEvent.service && !aEvent.replica) {
    return true;
  }
  for (const IndexDeclaration& index : mCluster.Declaration().indexes) {
    for (std::size_t s = 0; s < index.services.size(); ++s) {
      const auto& replicas = index.services[s].replicas;
      for (std::size_t r = 0; r < replicas.size(); ++r) {
        if (replicas[r].name == aOptions.replica) {
          return aEvent.service.value_or(s) == s && aEvent.replica.value_or(r) == r;
        }
      }
    }
  }
  return false;
}

std::string
ScenarioPlayer::DomainName(const ScenarioEvent& aEvent) const
{
  const auto& domains = mCluster.Declaration().failureDomains;
  return domains[aEvent.domain.value_or(0) % domains.size()].name;
}

const IndexDeclaration&
ScenarioPlayer::Index(const ScenarioEvent& aEvent) const
{
  const auto& indexes = mCluster.Declaration().indexes;
  return indexes[aEvent.index.value_or(0) % indexes.size()];
}

void
ScenarioPlayer::AddVersion(const ScenarioEvent& aEvent)
{
  const IndexDeclaration& index = Index(aEvent);
  const auto services = static_cast<std::uint32_t>(index.services.size());
  mCluster.AddVersion(
    index.name, aEvent.snapshot, services * aEvent.count, aEvent.replica.value_or(0));
}

void
ScenarioPlayer::SendPoison(const ScenarioEvent& aEvent)
{
  const std::string index = Index(aEvent).name;
  for (const auto& profile : mCluster.Declaration().profiles) {
    if (profile.idempotent && profile.indexes.front() == index) {
      mDriverThread.Run([this, &profile, &index, &aEvent] {
        mDriver.SendPoison(profile.name, index, aEvent.count);
      });
      return;
    }
  }
}

ClusterOptions
MakeClusterOptions(const ExperimentOptions& aOptions)
{
  ClusterOptions options;
  options.declaration = aOptions.declaration;
  options.nodes = aOptions.nodes;
  options.seed = aOptions.seed;
  options.upstream.serviceTime = aOptions.scenario.serviceTime;
  return options;
}

ClusterNodeFactory
MakeNodeFactory(const ExperimentOptions& aOptions)
{
  if (!aOptions.externalFolder.empty()) {
    return [folder = aOptions.externalFolder](
             const NodePlace& aPlace,
             const Declaration&,
             const std::vector<NodePlace>&) -> std::unique_ptr<EntryNode> {
      return std::make_unique<ExternalNode>(aPlace, folder);
    };
  }
  if (aOptions.policy == Policy::Naive) {
    return [](const NodePlace& aPlace,
              const Declaration& aDeclaration,
              const std::vector<NodePlace>& aAll) -> std::unique_ptr<EntryNode> {
      return std::make_unique<NaiveNode>(aPlace, aDeclaration, aAll);
    };
  }
  return [](const NodePlace& aPlace, const Declaration&, const std::vector<NodePlace>&)
           -> std::unique_ptr<EntryNode> { return std::make_unique<DaemonNode>(aPlace); };
}

LoadOptions
MakeLoadOptions(const ExperimentOptions& aOptions,
                const ClusterFixture& aCluster,
                double aRate,
                std::chrono::milliseconds aLength,
                std::uint64_t aSeed)
{
  LoadOptions options;
  options.seeds = aCluster.CallerAddresses();
  options.streams = DefaultStreams(aOptions.declaration, aRate);
  options.length = aLength;
  options.seed = aSeed;
  for (const auto& domain : aOptions.declaration.failureDomains) {
    options.failureDomains.push_back(domain.name);
  }
  return options;
}

/** Runs a light load so that connections are open and replicas are warm. */
CallerFaults
WarmUp(const ExperimentOptions& aOptions, ClusterFixture& aCluster)
{
  constexpr std::uint64_t kSeedOffset = 1'000'000;
  const LoadOptions options = MakeLoadOptions(
    aOptions, aCluster, kWarmUpRate * aOptions.rate, kWarmUpTime, aOptions.seed + kSeedOffset);
  LoadRun run(aCluster, options);
  while (!run.IsOver()) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return run.Result().faults;
}

/** Runs the load and plays the scenario. */
LoadResult
Measure(const ExperimentOptions& aOptions,
        ClusterFixture& aCluster,
        const ExperimentProgress& aProgress)
{
  const Scenario& scenario = aOptions.scenario;
  const LoadOptions options = MakeLoadOptions(
    aOptions, aCluster, aOptions.rate * scenario.rate, scenario.length, aOptions.seed);
  LoadRun run(aCluster, options);
  ScenarioPlayer player(aCluster, run.Driver(), run.Thread());
  const auto begin = std::chrono::steady_clock::now();
  std::size_t next = 0;
  std::chrono::seconds lastReported{ -1 };
  while (!run.IsOver()) {
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    const double progress = std::chrono::duration<double>(elapsed) / scenario.length;
    while (next < scenario.events.size() && scenario.events[next].at <= progress) {
      player.Play(scenario.events[next]);
      ++next;
    }
    aCluster.RemoveStoppedNodes();
    const auto elapsedSeconds = std::chrono::duration_cast<std::chrono::seconds>(elapsed);
    if (aProgress && elapsedSeconds != lastReported) {
      lastReported = elapsedSeconds;
      aProgress(elapsedSeconds, run.Result());
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return run.Result();
}

} // namespace

std::string_view
NameOf(Policy aPolicy)
{
  return kPolicyNames.NameOf(aPolicy);
}

std::vector<LoadStream>
DefaultStreams(const Declaration& aDeclaration, double aRate)
{
  std::vector<LoadStream> streams;
  for (const auto& profile : aDeclaration.profiles) {
    const std::string& index = profile.indexes.front();
    const auto profileCount =
      std::count_if(aDeclaration.profiles.begin(),
                    aDeclaration.profiles.end(),
                    [&index](const declaration::ProfileDeclaration& aOther) {
                      return aOther.idempotent && aOther.indexes.front() == index;
                    });
    LoadStream stream;
    stream.profile = profile.name;
    stream.index = index;
    stream.isIdempotent = profile.idempotent;
    stream.deadline = profile.defaultDeadline;
    stream.queriesPerSecond =
      aRate * (profile.idempotent ? kIdempotentQueriesPerSecond / static_cast<double>(profileCount)
                                  : kNonIdempotentQueriesPerSecond);
    streams.push_back(std::move(stream));
  }
  return streams;
}

ExperimentResult
RunExperiment(const ExperimentOptions& aOptions, const ExperimentProgress& aProgress)
{
  ExperimentResult result;
  result.deployment = aOptions.declaration.deployment;
  result.scenario = aOptions.scenario.name;
  result.policy = aOptions.policy;
  result.seed = aOptions.seed;
  ClusterFixture cluster(MakeClusterOptions(aOptions), MakeNodeFactory(aOptions));
  if (!cluster.Start()) {
    result.error = cluster.LastError();
    return result;
  }
  const CallerFaults warmUpFaults = WarmUp(aOptions, cluster);
  LoadResult before;
  cluster.Collect(before);
  result.load = Measure(aOptions, cluster, aProgress);
  cluster.Collect(result.load);
  result.store = cluster.StoreCalls();
  cluster.Stop();
  // Property violations during the warm-up count; its load does not.
  result.load.upstream.received -= before.upstream.received;
  result.load.upstream.started -= before.upstream.started;
  result.load.upstream.shed -= before.upstream.shed;
  result.load.faults.malformed += warmUpFaults.malformed;
  result.load.faults.mixedSnapshots += warmUpFaults.mixedSnapshots;
  result.load.faults.falseCoverage += warmUpFaults.falseCoverage;
  result.load.faults.wrongHits += warmUpFaults.wrongHits;
  result.load.faults.falseNotRun += warmUpFaults.falseNotRun;
  return result;
}

} // namespace skylarkwing::bench
