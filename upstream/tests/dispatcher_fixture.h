#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/virtual_timer_service.h"
#include "upstream/part_dispatcher.h"
#include "upstream/tests/fake_upstream.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

/** The permits of several daemons, as the store would lease them. */
struct PermitService
{
  std::map<std::string, std::string> holders;
  std::map<std::string, std::uint32_t> grants;
  /** The next holder waits until the requests of the former one have ended. */
  std::map<std::string, core::TimePoint> barredUntil;
  core::Duration answerTime = std::chrono::milliseconds{ 2 };
  bool isDown = false;
};

/** The answer of a part, and how often its callback was called. */
struct Ended
{
  PartAnswer answer;
  int count = 0;
};

/** Dispatchers of several daemons over fake upstreams, in virtual time. */
class DispatcherFixture
{
public:
  DispatcherFixture() = default;
  ~DispatcherFixture() { ShutDown(); }

  /** Lets every task end; derived fixtures with their own callbacks call it first. */
  void ShutDown()
  {
    dispatchers.clear();
    RunFor(std::chrono::seconds{ 10 });
  }

  core::VirtualTimerService timers;
  core::RandomSource random{ 20261204 };
  core::Metrics metrics;
  boost::asio::io_context loop;
  PermitService permits;
  std::map<std::string, std::unique_ptr<FakeUpstream>> upstreams;
  std::map<std::string, std::unique_ptr<PartDispatcher>> dispatchers;
  std::map<std::string, Ended> ended;
  core::Duration broadcastDelay{};
  /** Evidence is lost, as for daemons that are down or partitioned. */
  bool losesEvidence = false;
  std::vector<CrashEvidence> evidence;

  FakeUpstream& AddUpstream(const std::string& aName)
  {
    upstreams[aName] = std::make_unique<FakeUpstream>(timers);
    return *upstreams[aName];
  }

  PartDispatcher& AddDispatcher(const std::string& aVm)
  {
    dispatchers[aVm] =
      std::make_unique<PartDispatcher>(loop.get_executor(), timers, random, metrics, HooksOf(aVm));
    return *dispatchers[aVm];
  }

  OwnedReplica Declare(const std::string& aName, bool aIsOut = false) const
  {
    const FakeUpstream& upstream = *upstreams.at(aName);
    OwnedReplica replica;
    replica.declaration = { aName, aName, "Gent" };
    replica.index = "routeplanner";
    replica.service = "service-1";
    replica.limits = {
      upstream.slots, upstream.coldSlots, upstream.connectionLimit, std::chrono::milliseconds{ 6 }
    };
    replica.isDomainOut = aIsOut;
    return replica;
  }

  PartRequest Request(const std::string& aReplica, core::Duration aDeadline)
  {
    PartRequest request;
    request.partId = "part-" + std::to_string(++mLastPart);
    request.index = "routeplanner";
    request.snapshot = 7;
    request.replica = aReplica;
    request.search = "{}";
    request.deadline = timers.Now() + aDeadline;
    request.fingerprint = 1000 + mLastPart;
    return request;
  }

  std::string Send(const std::string& aVm, PartRequest aRequest)
  {
    const std::string id = aRequest.partId;
    dispatchers.at(aVm)->Dispatch(std::move(aRequest), [this, id](PartAnswer aAnswer) {
      ++ended[id].count;
      ended[id].answer = std::move(aAnswer);
    });
    return id;
  }

  std::string Send(const std::string& aVm,
                   const std::string& aReplica,
                   core::Duration aDeadline = std::chrono::milliseconds{ 400 })
  {
    return Send(aVm, Request(aReplica, aDeadline));
  }

  /** Sends several parts at once. */
  std::vector<std::string> SendMany(int aCount, const std::string& aVm, const std::string& aReplica)
  {
    std::vector<std::string> ids(static_cast<std::size_t>(aCount));
    for (std::string& id : ids) {
      id = Send(aVm, aReplica);
    }
    return ids;
  }

  /** Expires every lease, as when its holder is paused. */
  void LapsePermits(core::Duration aMaxRunTime)
  {
    for (const auto& [name, holder] : permits.holders) {
      permits.barredUntil[name] = timers.Now() + aMaxRunTime;
    }
    permits.holders.clear();
  }

  void RunFor(core::Duration aSpan)
  {
    const core::TimePoint end = timers.Now() + aSpan;
    while (true) {
      loop.restart();
      loop.poll();
      const auto due = timers.NextDue();
      if (!due || *due > end) {
        break;
      }
      timers.RunNext();
    }
    timers.Advance(end - timers.Now());
  }

  /** Sends parts one after another until the replica is warm for that daemon. */
  void MakeWarm(const std::string& aVm, const std::string& aReplica)
  {
    for (int n = 0; n < 60 && Status(aVm, aReplica).state != ReplicaState::Warm; ++n) {
      Send(aVm, aReplica);
      RunFor(std::chrono::milliseconds{ 20 });
    }
  }

  ReplicaStatus Status(const std::string& aVm, const std::string& aReplica) const
  {
    for (const ReplicaStatus& status : dispatchers.at(aVm)->Statuses()) {
      if (status.replica == aReplica) {
        return status;
      }
    }
    return {};
  }

  DispatcherHooks HooksOf(const std::string& aVm)
  {
    DispatcherHooks hooks;
    hooks.acquirePermit = [this, aVm](std::string aName) { return Acquire(aVm, std::move(aName)); };
    hooks.isPermitHeld = [this, aVm](const std::string& aName) {
      const auto it = permits.holders.find(aName);
      return it != permits.holders.end() && it->second == aVm;
    };
    hooks.releasePermit = [this, aVm](const std::string& aName) {
      const auto it = permits.holders.find(aName);
      if (it != permits.holders.end() && it->second == aVm) {
        permits.holders.erase(it);
      }
    };
    hooks.broadcastCrash = [this, aVm](const CrashEvidence& aEvidence) {
      Broadcast(aVm, aEvidence);
    };
    hooks.connect = [this](const std::string& aAddress) {
      return upstreams.at(aAddress)->Connect();
    };
    return hooks;
  }

private:
  std::uint32_t mLastPart = 0;

  core::Task<bool> Acquire(std::string aVm, std::string aName)
  {
    co_await core::Sleep(timers, permits.answerTime);
    std::string& holder = permits.holders[aName];
    const bool isBarred = timers.Now() < permits.barredUntil[aName];
    if (!permits.isDown && !isBarred && holder.empty()) {
      holder = aVm;
      ++permits.grants[aName];
    }
    co_return holder == aVm;
  }

  void Broadcast(const std::string& aVm, const CrashEvidence& aEvidence)
  {
    evidence.push_back(aEvidence);
    if (losesEvidence) {
      return;
    }
    timers.Schedule(broadcastDelay, [this, aVm, aEvidence] {
      for (const auto& [vm, dispatcher] : dispatchers) {
        if (vm != aVm) {
          dispatcher->Merge(aEvidence);
        }
      }
    });
  }
};

} // namespace skylarkwing::upstream::test
