#include "bench/daemon_node.h"

#include "bench/kept_objects.h"
#include "bench/loop_thread.h"
#include "core/log.h"
#include "core/task.h"
#include "daemon/daemon.h"

#include <atomic>
#include <utility>

namespace skylarkwing::bench {

namespace {

settings::Settings
MakeSettings(const NodePlace& aPlace)
{
  constexpr std::uint32_t kStopGraceSeconds = 10;
  settings::Settings settings;
  settings.vm = aPlace.vm;
  settings.failureDomain = aPlace.failureDomain;
  settings.region = aPlace.region;
  settings.clusterName = "experiment";
  settings.callerAddress = aPlace.callerAddress;
  settings.peerAddress = aPlace.peerAddress;
  settings.operatorAddress = aPlace.operatorAddress;
  settings.storeEndpoints = { aPlace.storeAddress };
  settings.vmListAddress = aPlace.vmListAddress;
  settings.readTokenFile = aPlace.readTokenFile;
  settings.changeTokenFile = aPlace.changeTokenFile;
  settings.stopGraceSeconds = kStopGraceSeconds;
  settings.randomSeed = aPlace.seed;
  return settings;
}

core::Task<void>
RunStop(daemon::Daemon& aDaemon, std::shared_ptr<std::atomic<bool>> aIsStopped)
{
  co_await aDaemon.Stop();
  aIsStopped->store(true);
}

} // namespace

/** One daemon and its thread. */
struct DaemonNode::State
{
  NodePlace place;
  std::unique_ptr<daemon::Daemon> daemon;
  std::shared_ptr<std::atomic<bool>> isStopped = std::make_shared<std::atomic<bool>>(false);
  LoopThread thread{ "daemon" };
};

DaemonNode::DaemonNode(NodePlace aPlace)
  : mState(std::make_unique<State>())
{
  mState->place = std::move(aPlace);
}

DaemonNode::~DaemonNode()
{
  Kill();
}

bool
DaemonNode::Start()
{
  State& state = *mState;
  return state.thread.Run([&state] {
    state.daemon = std::make_unique<daemon::Daemon>(state.thread.Loop(), MakeSettings(state.place));
    if (!state.daemon->Setup()) {
      core::LogEvent(core::LogLevel::Error,
                     "bench",
                     "daemon_not_started",
                     { { "vm", state.place.vm }, { "reason", state.daemon->LastError() } });
      return false;
    }
    state.daemon->Start();
    return true;
  });
}

std::uint64_t
DaemonNode::Generation()
{
  State& state = *mState;
  return state.thread.Run([&state] { return state.daemon->Counts().generation; });
}

void
DaemonNode::BeginStop()
{
  State& state = *mState;
  state.thread.Run([&state] {
    core::Start(state.thread.Loop().get_executor(), RunStop(*state.daemon, state.isStopped));
  });
}

bool
DaemonNode::IsStopped()
{
  return mState->isStopped->load();
}

void
DaemonNode::Kill()
{
  State& state = *mState;
  if (!state.daemon) {
    return;
  }
  state.thread.Run([&state] { state.daemon->Cleanup(); });
  state.thread.Abandon();
  // Interrupted tasks still refer to the daemon and to the loop, so neither can be destroyed.
  KeepUntilExit(std::shared_ptr<daemon::Daemon>(std::move(state.daemon)));
}

} // namespace skylarkwing::bench
