#pragma once

#include "core/random_source.h"
#include "core/virtual_timer_service.h"
#include "net/peer_bus.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::membership::tests {

class FakeBus;

/** Delivers messages between fake buses in one process under virtual time. */
class FakeNetwork
{
public:
  FakeNetwork(core::VirtualTimerService& aTimers, std::uint64_t aSeed);

  core::VirtualTimerService& Timers() { return mTimers; }

  core::Duration delay = std::chrono::milliseconds{ 2 };
  /** Ratio of messages that are lost, 0 to 1. */
  double loss = 0.0;
  /** Whether messages from one VM to another are lost. */
  std::function<bool(const std::string& aFrom, const std::string& aTo)> isCut;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;

private:
  friend class FakeBus;

  bool Deliver(FakeBus& aFrom,
               const std::string& aVm,
               const std::string& aAddress,
               std::string_view aKind,
               const nlohmann::json& aBody);

  core::VirtualTimerService& mTimers;
  core::RandomSource mRandom;
  std::map<std::string, FakeBus*> mBuses;
};

/** A process whose timers and messages are deferred while it is paused. */
class FakeProcess : public core::TimerService
{
public:
  explicit FakeProcess(core::VirtualTimerService& aTimers)
    : mTimers(aTimers)
  {
  }

  core::TimePoint Now() const override { return mTimers.Now(); }
  std::int64_t WallClockMilliseconds() const override { return mTimers.WallClockMilliseconds(); }
  core::TimerId Schedule(core::Duration aDelay, Callback aCallback) override;
  void Cancel(core::TimerId aTimer) override;

  /** Runs a callback now, or at the end of a pause; never after Kill(). */
  void Run(Callback aCallback);

  void Pause() { *mIsPaused = true; }
  void Resume();
  void Kill() { *mIsKilled = true; }

private:
  core::VirtualTimerService& mTimers;
  std::shared_ptr<bool> mIsPaused = std::make_shared<bool>(false);
  std::shared_ptr<bool> mIsKilled = std::make_shared<bool>(false);
  std::vector<Callback> mDeferred;
};

/** The peer bus of one process in the fake network. */
class FakeBus : public net::PeerBus
{
public:
  FakeBus(FakeNetwork& aNetwork,
          FakeProcess& aProcess,
          std::string aVm,
          std::string aIncarnation,
          std::string aAddress);
  ~FakeBus() override;

  void Connect(const std::string& aVm, const std::string& aAddress) override;
  void Disconnect(const std::string& aVm) override;
  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody) override;
  void OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler) override;

  /** Messages and bytes that this process sent, by kind. */
  std::map<std::string, std::uint64_t> sentMessages;
  std::map<std::string, std::uint64_t> sentBytes;
  std::uint64_t receivedBytes = 0;

private:
  friend class FakeNetwork;

  FakeNetwork& mNetwork;
  FakeProcess& mProcess;
  std::string mVm;
  std::string mIncarnation;
  std::string mAddress;
  std::map<std::string, std::string> mPeers;
  std::map<std::string, net::PeerMessageHandler> mHandlers;
};

} // namespace skylarkwing::membership::tests
