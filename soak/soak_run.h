#pragma once

#include "core/asio_timer_service.h"
#include "core/random_source.h"
#include "net/http_client.h"
#include "platform/tests/platform_fakes.h"
#include "soak/daemon_process.h"
#include "soak/soak_replica.h"
#include "soak/tcp_proxy.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::soak {

/** What one run does. */
struct SoakOptions
{
  std::string program;
  /** Where settings and logs of the daemons go. */
  std::string folder;
  std::uint64_t seed = 1;
  int seconds = 10;
  int processes = 4;
  int clients = 12;
};

/** What was counted in one run. */
struct SoakCounts
{
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cut = 0;
  std::uint64_t faults = 0;
};

/**
 * One randomized run: daemons as processes, stand-ins and proxies in this one, faults from outside
 * in series that overlap, and clients that check every answer against what the replicas did.
 */
class SoakRun
{
public:
  explicit SoakRun(SoakOptions aOptions);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /** Plays the run. @return each broken promise in words; none when all were kept. */
  std::vector<std::string> Play();

  const SoakCounts& Counts() const { return mCounts; }

private:
  /** One daemon with its own way to the store. */
  struct Daemon
  {
    std::string name;
    std::string address;
    std::unique_ptr<TcpProxy> storeProxy;
    std::unique_ptr<DaemonProcess> process;
    bool isStopping = false;
    bool isPaused = false;
  };

  /** One replica behind a proxy. */
  struct Replica
  {
    std::unique_ptr<SoakReplica> server;
    std::unique_ptr<TcpProxy> proxy;
    std::uint64_t sequence = 0;
    bool isDraining = false;
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
  std::vector<std::string> mBroken;
  /** Ids that were answered as not run: they must never run. */
  std::vector<std::string> mRefusedIds;
  std::uint64_t mLastId = 0;
  std::uint64_t mVersion = 1;
  bool mIsOver = false;
  /** Since when no fault is in force. */
  core::TimePoint mCalmSince{};

  void SetUp();
  void AddDaemon(int aNumber);
  void WriteConfiguration();
  core::Task<void> Beat();
  core::Task<void> Supervise();
  core::Task<void> InjectFaults(core::TimePoint aEnd);
  core::Task<void> InjectOne();
  core::Task<void> StopGracefully(Daemon& aDaemon);
  core::Task<void> RunClient(std::uint64_t aNumber);
  core::Task<void> CheckCalm();
  net::HttpRequest MakeRequest(std::uint64_t aKind, std::string aId) const;
  void Check(std::uint64_t aKind, const std::string& aId, const net::HttpResult& aReply);
  void CheckGather(const std::string& aId, const net::HttpResponse& aResponse);
  void CheckLedger();
  void Break(const std::string& aWhat);
  core::Duration Between(int aLeastMs, int aMostMs);
};

} // namespace skylarkwing::soak
