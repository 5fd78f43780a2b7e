#pragma once

#include "core/metrics.h"
#include "declaration/configuration_keeper.h"
#include "membership/configuration_sync.h"
#include "membership/connectivity_monitor.h"
#include "membership/handover.h"
#include "membership/membership_service.h"
#include "membership/tests/fake_network.h"
#include "membership/warmup_promises.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::membership::tests {

/** A daemon of a fake cluster; it is killed with this object. */
struct FakeDaemon
{
  FakeDaemon(FakeNetwork& aNetwork, boost::asio::io_context& aLoop, const Member& aSelf);
  ~FakeDaemon();

  FakeProcess process;
  core::RandomSource random;
  core::Metrics metrics;
  FakeBus bus;
  std::vector<nlohmann::json> ownFacts;
  std::map<std::string, nlohmann::json> facts;
  std::optional<core::TimePoint> storeConfirmedAt;
  /** Whether releases are confirmed at once, or only by the test. */
  bool isReleasingAtOnce = true;
  std::set<std::string> acquired;
  std::set<std::string> permits;
  MembershipService service;
  declaration::ConfigurationKeeper keeper;
  ConfigurationSync sync;
  ConnectivityMonitor connectivity;
  WarmupPromises promises;
  Handover handover;
};

/** @return a configuration with one index, whose services have three replicas each. */
declaration::Configuration
ConfigurationOf(std::uint64_t aGeneration, std::size_t aServices = 3);

/** Daemons "vm-0" and up, in three failure domains of one region each, under virtual time. */
class FakeCluster
{
public:
  explicit FakeCluster(std::uint64_t aSeed);

  /** Starts or restarts a daemon, at its own address or a given one. */
  FakeDaemon& StartDaemon(std::size_t aNumber, const std::string& aAddress = {});

  /** Starts daemons 0 to aCount - 1, sends them the VM list, and lets them settle. */
  void StartAll(std::size_t aCount);

  /** Kills a daemon without an announcement. */
  void Kill(std::size_t aNumber) { daemons.erase(aNumber); }

  /** Advances time, and runs the handlers of the event loop. */
  void Advance(core::Duration aDuration);

  /** Sets on every daemon the owners that it computes for a declaration, now and on changes. */
  void AssignOwners(const declaration::Declaration& aDeclaration);

  /** @return how many daemons hold a replica. */
  std::size_t CountHolders(const std::string& aReplica);

  /** Sends every daemon the VM list of all running daemons. */
  void SendVmList();

  FakeDaemon& At(std::size_t aNumber) { return *daemons.at(aNumber); }

  /** @return how many daemons have a VM in a state. */
  std::size_t CountWithState(const std::string& aVm, MemberState aState);

  core::VirtualTimerService timers;
  FakeNetwork network;
  boost::asio::io_context loop;
  std::map<std::size_t, std::unique_ptr<FakeDaemon>> daemons;

private:
  void AssignOwnersOnChange(FakeDaemon& aDaemon);

  core::RandomSource mRandom;
  std::optional<declaration::Declaration> mDeclaration;
};

/** @return the name of a daemon's VM. */
std::string
VmOf(std::size_t aNumber);

} // namespace skylarkwing::membership::tests
