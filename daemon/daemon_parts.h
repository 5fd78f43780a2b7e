#pragma once

#include "caller/caller_frontend.h"
#include "console/burn_tracker.h"
#include "console/operator_api.h"
#include "core/asio_timer_service.h"
#include "core/log_rate_limiter.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "daemon/burn_exchange.h"
#include "daemon/daemon.h"
#include "daemon/index_view_cache.h"
#include "daemon/load_meter.h"
#include "declaration/configuration_keeper.h"
#include "membership/configuration_sync.h"
#include "membership/connectivity_monitor.h"
#include "membership/handover.h"
#include "membership/membership_service.h"
#include "membership/warmup_promises.h"
#include "net/connection_limits.h"
#include "net/http_server.h"
#include "net/memory_budget.h"
#include "net/nng_peer_bus.h"
#include "net/retrying_sender.h"
#include "query/query_engine.h"
#include "store/configuration_store.h"
#include "store/configuration_watch.h"
#include "store/store_client.h"
#include "store/warmup_permits.h"
#include "upstream/part_dispatcher.h"
#include "upstream/part_router.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::daemon {

/**
 * The components of a daemon, in the order of their construction. The hooks between them are set in
 * the `*_wiring.cpp` files.
 */
struct Daemon::Parts
{
  Parts(boost::asio::io_context& aLoop, settings::Settings aSettings, DaemonOptions aOptions);

  // daemon.cpp
  void WireServers();
  bool Listen();
  net::HttpServerLimits ClientServerLimits(std::size_t aMaxConnections) const;
  void RecordClosure(net::ClientPhase aPhase);
  /** @return whether work for callers or other daemons is still running. */
  bool IsBusy() const;

  // membership_wiring.cpp
  void WireMembership();
  void OnMemberChange(const membership::Member& aMember);

  // store_wiring.cpp
  void WireStore();
  void WirePermits(upstream::DispatcherHooks& aHooks);
  /** @return the longest deadline of all profiles. */
  core::Duration LongestDeadline() const;

  // upstream_wiring.cpp
  void WireUpstream();
  void WireHandover();
  void WireRouter();
  void RequestCrashEvidence(const membership::Member& aMember);
  void RefreshOwnership();
  void RefreshHeld();
  void ReportReleased();
  std::vector<nlohmann::json> OwnFacts();

  // caller_wiring.cpp
  void WireCaller();
  bool SendForCaller(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody);
  void RecordOutcome(const caller::QueryOutcome& aOutcome);
  std::uint64_t IdentityEpoch() const;
  std::size_t LiveMembers() const;
  std::optional<std::string> IncarnationOf(const std::string& aVm) const;
  caller::EntryPointsResponse ChooseEntryPoints(const std::optional<std::string>& aFailureDomain);

  // console_wiring.cpp
  void WireConsole();
  core::Task<void> ApplyChange(console::ChangeRequest aRequest, console::ChangeCallback aCallback);
  console::ClusterStatus ReadStatus();
  std::vector<console::QuarantineStatus> ReadQuarantine() const;
  bool ReleaseQuarantine(const std::string& aFingerprint);

  boost::asio::io_context& loop;
  settings::Settings settings;
  DaemonOptions options;
  std::string lastError;
  core::AsioTimerService timers;
  core::RandomSource random;
  core::Metrics metrics;
  std::string incarnation;
  core::TimePoint startedAt;
  LoadMeter loadMeter;
  declaration::ConfigurationKeeper keeper;
  IndexViewCache views;
  net::ConnectionLimits connectionLimits;
  /** Memory for what callers and operators send and get; null without resources. */
  std::shared_ptr<net::MemoryBudget> clientMemory;
  core::LogRateLimiter closureLines;
  std::unique_ptr<net::NngPeerBus> bus;
  std::unique_ptr<net::RetryingSender> replySender;
  std::unique_ptr<store::StoreClient> storeClient;
  std::unique_ptr<store::ConfigurationStore> configurationStore;
  std::unique_ptr<store::ConfigurationWatch> configurationWatch;
  std::unique_ptr<membership::MembershipService> membership;
  std::unique_ptr<membership::ConfigurationSync> configurationSync;
  std::unique_ptr<membership::ConnectivityMonitor> connectivity;
  std::unique_ptr<membership::Handover> handover;
  std::unique_ptr<membership::WarmupPromises> promises;
  std::unique_ptr<store::WarmupPermits> permits;
  std::unique_ptr<upstream::PartDispatcher> dispatcher;
  std::unique_ptr<upstream::PartRouter> router;
  std::unique_ptr<query::QueryEngine> engine;
  std::unique_ptr<caller::CallerFrontend> front;
  std::unique_ptr<console::BurnTracker> burn;
  std::unique_ptr<BurnExchange> burnExchange;
  std::unique_ptr<console::OperatorApi> operators;
  std::unique_ptr<net::HttpServer> callerServer;
  std::unique_ptr<net::HttpServer> operatorServer;
  /** Replicas that this daemon may connect to. */
  std::set<std::string> held;
  /** Replicas that were given up and still have running work or open connections here. */
  std::set<std::string> releasing;
  /** The last known incarnation of each other VM. */
  std::map<std::string, std::string> memberIncarnations;
  /** Number of members that were asked for crash evidence. */
  int evidenceQueries = 0;
  /** The daemon has started to stop and announced that it is leaving. */
  bool isLeaving = false;
  /** New requests are refused. */
  bool isRefusing = false;
};

} // namespace skylarkwing::daemon
