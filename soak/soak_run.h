#pragma once

#include "core/asio_timer_service.h"
#include "core/random_source.h"
#include "net/http_client.h"
#include "platform/tests/platform_fakes.h"
#include "soak/crashing_requests.h"
#include "soak/daemon_process.h"
#include "soak/misbehaving_clients.h"
#include "soak/soak_replica.h"
#include "soak/tcp_proxy.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::soak {

/** Options of one run. */
struct SoakOptions
{
  std::string program;
  /** Folder for the settings and logs of the daemons. */
  std::string folder;
  std::uint64_t seed = 1;
  int seconds = 10;
  int processes = 4;
  int clients = 12;
  /** Program of an older build, which every second pair of daemons runs; empty for none. */
  std::string otherProgram;
};

/** Counts of one run. */
struct SoakCounts
{
  /** Requests that clients sent. */
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  /** Answered searches with missing shards. */
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  /** Requests that ended without a response. */
  std::uint64_t unanswered = 0;
  std::uint64_t faults = 0;
};

/**
 * One randomized run: daemons in child processes, replicas and proxies in this one, overlapping
 * external faults, and clients that check every response against what the replicas ran.
 */
class SoakRun
{
public:
  explicit SoakRun(SoakOptions aOptions);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /** Executes the run. @return a description of each violated guarantee. */
  std::vector<std::string> Execute();

  const SoakCounts& Counts() const { return mCounts; }

  /** @return the number of replicas that ended under requests that end them. */
  std::uint64_t EndsUnderRequests() const { return mCrashingRequests->Ends(); }

  /** @return the number of clients that misbehaved. */
  std::size_t MisbehavingClientCount() const { return mMisbehavingClients->Count(); }

private:
  /** A daemon and its proxy to the store. */
  struct Daemon
  {
    std::string name;
    std::string address;
    /** Its failure domain in kDomains. */
    std::size_t domain = 0;
    bool runsOtherProgram = false;
    std::unique_ptr<TcpProxy> storeProxy;
    std::unique_ptr<DaemonProcess> process;
    bool isStopping = false;
    bool isPaused = false;
    /** When it was last started, or a fault of it or of its way to the store began or ended. */
    core::TimePoint disturbedAt{};
  };

  /** First tries of clients at some daemons, and those that were served. */
  struct Tally
  {
    std::size_t tries = 0;
    std::size_t served = 0;
  };

  /** A replica, behind a proxy for the daemons of each failure domain. */
  struct Replica
  {
    std::unique_ptr<SoakReplica> server;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
    std::uint64_t sequence = 0;
    bool isDraining = false;
    bool hasEnded = false;
    /** Number of times its process has ended. */
    std::uint64_t ends = 0;
  };

  SoakOptions mOptions;
  boost::asio::io_context mLoop;
  core::AsioTimerService mTimers;
  core::RandomSource mRandom;
  SoakLedger mLedger;
  SoakCounts mCounts;
  std::unique_ptr<platform::tests::FakePlatformStore> mStore;
  std::vector<Daemon> mDaemons;
  std::vector<Replica> mReplicas;
  /** Addresses of the store for the daemons of each failure domain. */
  std::vector<std::string> mStoreViews;
  /** The cut between the daemons of each failure domain and all replicas, and its last change. */
  std::vector<CutKind> mCuts;
  std::vector<core::TimePoint> mCutChangedAt;
  /** Requests that were under way at a daemon while it was cut off. */
  std::set<std::string> mCutIds;
  /** First tries at daemons that are cut off and at others, while these are counted. */
  bool mIsCountingTries = false;
  Tally mCutTries;
  Tally mOtherTries;
  std::unique_ptr<CrashingRequests> mCrashingRequests;
  std::unique_ptr<MisbehavingClients> mMisbehavingClients;
  core::TimePoint mStoreDisturbedAt{};
  std::vector<std::string> mViolations;
  /** Ids of requests refused as not run; these must never run. */
  std::vector<std::string> mRefusedIds;
  std::uint64_t mLastId = 0;
  std::uint64_t mVersion = 1;
  /** The configuration that the operator wrote last. */
  std::string mConfiguration;
  bool mIsFinished = false;
  /** When the last fault had ended; unset while faults are injected. */
  core::TimePoint mFaultsEndedAt{};

  void SetUp();
  void AddDaemon(int aNumber);
  void WriteConfiguration();
  core::Task<void> WriteReplicaEntries();
  core::Task<void> WriteOddEntries(core::TimePoint aEnd);
  core::Task<void> RestartDaemons();
  core::Task<void> InjectFaults(core::TimePoint aEnd);
  core::Task<void> InjectFault();
  core::Task<void> RestoreStore(core::TimePoint aEnd);
  void EndReplica(Replica& aReplica, core::Duration aDownTime);
  core::Task<void> EndReplicas(core::TimePoint aEnd);
  void SetReplicaMode(Replica& aReplica, ProxyMode aMode);
  std::string AddressFor(std::size_t aDomain, const std::string& aKey, const std::string& aValue);
  void SetCut(std::size_t aDomain, CutKind aCut);
  core::Task<void> CutPaths(core::TimePoint aEnd);
  core::Task<void> CheckCutDaemonsServe();
  void RecordTry(const Daemon& aDaemon,
                 const std::string& aId,
                 core::TimePoint aSentAt,
                 const net::HttpResult& aReply);
  bool IsInTouch(std::size_t aDaemon) const;
  core::Task<void> StopGracefully(Daemon& aDaemon);
  core::Task<void> RunClient(std::uint64_t aNumber);
  core::Task<void> CheckRecovery();
  /** Checks that no process uses more memory than its settings name. */
  core::Task<void> CheckMemory();
  net::HttpRequest MakeRequest(std::uint64_t aKind, std::string aId) const;
  void CheckResponse(std::uint64_t aKind, const std::string& aId, const net::HttpResult& aReply);
  void CheckSearchResponse(const std::string& aId, const net::HttpResponse& aResponse);
  void CheckLedger();
  void AddViolation(const std::string& aDescription);
  core::Duration RandomDuration(int aMinMs, int aMaxMs);
};

} // namespace skylarkwing::soak
