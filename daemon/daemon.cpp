#include "daemon/daemon.h"

#include "core/log.h"
#include "daemon/daemon_parts.h"
#include "membership/entry_points.h"

#include <random>
#include <utility>

namespace skylarkwing::daemon {

namespace {

/** How often a stopping daemon checks whether its work has finished. */
constexpr core::Duration kStopPollInterval = std::chrono::milliseconds{ 20 };
/** Time for all daemons to learn that this one is leaving and to stop giving out its address. */
constexpr core::Duration kNoticeMargin = std::chrono::seconds{ 2 };
/** Limit for declarations as written by operators; the stored form is smaller. */
constexpr std::size_t kMaxDeclarationBytes = std::size_t{ 4 } * 1024 * 1024;
/** Log lines for clients that are closed for want of progress. */
constexpr std::uint32_t kClosureLinesPerSecond = 2;
/** Time to send the last answers to other daemons before the sockets are closed. */
constexpr core::Duration kFinalSendTime = std::chrono::milliseconds{ 200 };

net::ConnectionLimits
MakeConnectionLimits(const settings::Settings& aSettings)
{
  return aSettings.resources ? net::DeriveConnectionLimits(aSettings.resources->memoryBytes,
                                                           aSettings.resources->maxDescriptors)
                             : net::ConnectionLimits{};
}

std::uint64_t
ChooseSeed(const settings::Settings& aSettings)
{
  return aSettings.randomSeed ? *aSettings.randomSeed : std::random_device{}();
}

} // namespace

Daemon::Parts::Parts(boost::asio::io_context& aLoop,
                     settings::Settings aSettings,
                     DaemonOptions aOptions)
  : loop(aLoop)
  , settings(std::move(aSettings))
  , options(std::move(aOptions))
  , timers(aLoop)
  , random(ChooseSeed(settings))
  , incarnation(random.Token())
  , startedAt(timers.Now())
  , loadMeter(timers, LoadMeter::ThreadProcessorTime)
  , connectionLimits(MakeConnectionLimits(settings))
  , clientMemory(net::MakeBudget(connectionLimits))
  , closureLines(kClosureLinesPerSecond)
{
}

bool
Daemon::Parts::IsBusy() const
{
  const bool isHandingOver = !membership->EligibleOwners().empty() && handover->HeldCount() > 0;
  return front->Running() > 0 || callerServer->ActiveRequests() > 0 || isHandingOver;
}

void
Daemon::Parts::WireServers()
{
  callerServer = std::make_unique<net::HttpServer>(
    loop, ClientServerLimits(connectionLimits.callers), [this](net::HttpRequest aRequest) {
      return front->Handle(std::move(aRequest));
    });
  callerServer->SetErrorHandler(
    [this](net::HttpRequestError aError) { return front->RefuseUnreadable(aError); });
  net::HttpServerLimits operatorLimits = ClientServerLimits(connectionLimits.peers);
  operatorLimits.bodyBytes = kMaxDeclarationBytes;
  operatorServer =
    std::make_unique<net::HttpServer>(loop, operatorLimits, [this](net::HttpRequest aRequest) {
      return operators->Handle(std::move(aRequest));
    });
  for (net::HttpServer* server : { callerServer.get(), operatorServer.get() }) {
    server->SetClosureHandler([this](net::ClientPhase aPhase) { RecordClosure(aPhase); });
    server->SetBudget(clientMemory);
  }
}

net::HttpServerLimits
Daemon::Parts::ClientServerLimits(std::size_t aMaxConnections) const
{
  net::HttpServerLimits limits;
  limits.connections = aMaxConnections;
  limits.refusalWait = net::kClientRefusalWait;
  if (connectionLimits.isDerived) {
    limits.closeStalled = true;
    limits.sendBufferBytes = net::kClientSendBufferBytes;
    limits.receiveBufferBytes = net::kClientReceiveBufferBytes;
  }
  return limits;
}

void
Daemon::Parts::RecordClosure(net::ClientPhase aPhase)
{
  const std::string phase(net::NameOf(aPhase));
  metrics
    .Counter("skylarkwing_clients_closed_total",
             "Connections of clients that were closed for want of progress.",
             { { "phase", phase } })
    .Increment();
  if (closureLines.Allow(timers.Now())) {
    core::LogEvent(core::LogLevel::Warning,
                   "daemon",
                   "client_closed",
                   { { "phase", phase },
                     { "callers", std::to_string(callerServer->OpenConnections()) },
                     { "memory_bytes", std::to_string(clientMemory->UsedBytes()) },
                     { "unlogged", std::to_string(closureLines.TakeDroppedCount()) } });
  }
}

bool
Daemon::Parts::Listen()
{
  if (!bus->Listen(settings.peerAddress)) {
    lastError = bus->LastError();
    return false;
  }
  if (!callerServer->Listen(settings.callerAddress)) {
    lastError = callerServer->LastError();
    return false;
  }
  if (!operatorServer->Listen(settings.operatorAddress)) {
    lastError = operatorServer->LastError();
    return false;
  }
  return true;
}

Daemon::Daemon(boost::asio::io_context& aLoop, settings::Settings aSettings, DaemonOptions aOptions)
  : mParts(std::make_unique<Parts>(aLoop, std::move(aSettings), std::move(aOptions)))
{
}

Daemon::~Daemon()
{
  Cleanup();
}

bool
Daemon::Setup()
{
  Parts& parts = *mParts;
  const net::PeerIdentity identity{ parts.settings.clusterName,
                                    parts.settings.vm,
                                    parts.incarnation };
  parts.bus = std::make_unique<net::NngPeerBus>(parts.loop, parts.timers, parts.metrics, identity);
  parts.replySender = std::make_unique<net::RetryingSender>(parts.timers, *parts.bus);
  if (parts.options.sendFilter) {
    parts.bus->SetSendFilter(parts.options.sendFilter);
  }
  parts.WireStore();
  parts.WireMembership();
  parts.WireUpstream();
  parts.WireCaller();
  parts.WireConsole();
  parts.WireServers();
  return parts.Listen();
}

void
Daemon::Start()
{
  core::LogEvent(core::LogLevel::Info,
                 "daemon",
                 "started",
                 { { "vm", mParts->settings.vm },
                   { "incarnation", mParts->incarnation },
                   { "callers", CallerAddress() },
                   { "operators", OperatorAddress() } });
  mParts->membership->Start();
  mParts->loadMeter.Start([this](double aLoad) {
    mParts->membership->SetLoad(aLoad);
    mParts->storeClient->SetFleetSize(mParts->LiveMembers());
  });
  mParts->configurationWatch->Start(mParts->loop.get_executor());
}

core::Task<void>
Daemon::Stop()
{
  Parts& parts = *mParts;
  if (parts.isLeaving) {
    co_return;
  }
  parts.isLeaving = true;
  core::LogEvent(core::LogLevel::Info, "daemon", "leaving", { { "vm", parts.settings.vm } });
  parts.membership->AnnounceLeaving();
  parts.RefreshOwnership();
  // Callers may use this address until their list of entry points expires.
  co_await core::Sleep(parts.timers, membership::kEntryPointsMaxAge + kNoticeMargin);
  parts.callerServer->CloseAfterResponses();
  parts.callerServer->StopAccepting();
  const core::TimePoint end =
    parts.timers.Now() + std::chrono::seconds{ parts.settings.stopGraceSeconds };
  while (parts.IsBusy() && parts.timers.Now() < end) {
    co_await core::Sleep(parts.timers, kStopPollInterval);
  }
  parts.isRefusing = true;
  co_await parts.dispatcher->Stop();
  parts.operators->Stop();
  co_await core::Sleep(parts.timers, kFinalSendTime);
  core::LogEvent(core::LogLevel::Info, "daemon", "stopped", { { "vm", parts.settings.vm } });
}

void
Daemon::Cleanup()
{
  Parts& parts = *mParts;
  if (parts.configurationWatch) {
    parts.configurationWatch->Stop();
  }
  if (parts.membership) {
    parts.membership->Stop();
  }
  if (parts.callerServer) {
    parts.callerServer->Close();
  }
  if (parts.operatorServer) {
    parts.operatorServer->Close();
  }
  if (parts.bus) {
    parts.bus->Close();
  }
}

const std::string&
Daemon::LastError() const
{
  return mParts->lastError;
}

std::string
Daemon::CallerAddress() const
{
  return mParts->callerServer->Address();
}

std::string
Daemon::OperatorAddress() const
{
  return mParts->operatorServer->Address();
}

DaemonCounts
Daemon::Counts() const
{
  DaemonCounts counts;
  counts.generation = mParts->keeper.Generation();
  counts.runningQueries = mParts->front->Running();
  return counts;
}

} // namespace skylarkwing::daemon
