#include "membership/tests/fake_network.h"

#include <utility>

namespace skylarkwing::membership::tests {

namespace {

/** Bytes that the bus adds to each body: lengths, version, cluster, sender, kind and send time. */
constexpr std::size_t kEnvelopeBytes = 80;

} // namespace

FakeNetwork::FakeNetwork(core::VirtualTimerService& aTimers, std::uint64_t aSeed)
  : mTimers(aTimers)
  , mRandom(aSeed)
{
}

bool
FakeNetwork::Deliver(FakeBus& aFrom,
                     const std::string& aVm,
                     const std::string& aAddress,
                     std::string_view aKind,
                     const nlohmann::json& aBody)
{
  const auto encoded = nlohmann::json::to_msgpack(aBody);
  const std::size_t size = encoded.size() + kEnvelopeBytes;
  const std::string kind(aKind);
  ++messages;
  bytes += size;
  ++aFrom.sentMessages[kind];
  aFrom.sentBytes[kind] += size;
  if ((isCut && isCut(aFrom.mVm, aVm)) || mRandom.Fraction() < loss) {
    return true;
  }
  const net::PeerMessageOrigin origin{ aFrom.mVm, aFrom.mIncarnation, {} };
  const core::TimePoint due = mTimers.Now() + delay;
  mTimers.Schedule(delay, [this, origin, due, aAddress, kind, encoded, size] {
    const auto it = mBuses.find(aAddress);
    if (it == mBuses.end()) {
      return;
    }
    FakeBus* bus = it->second;
    bus->receivedBytes += size;
    bus->mProcess.Run([this, aAddress, bus, origin, due, kind, encoded] {
      const auto current = mBuses.find(aAddress);
      if (current == mBuses.end() || current->second != bus) {
        return;
      }
      const auto handler = bus->mHandlers.find(kind);
      if (handler != bus->mHandlers.end()) {
        net::PeerMessageOrigin late = origin;
        late.age = mTimers.Now() - due;
        handler->second(late, nlohmann::json::from_msgpack(encoded));
      }
    });
  });
  return true;
}

core::TimerId
FakeProcess::Schedule(core::Duration aDelay, Callback aCallback)
{
  return mTimers.Schedule(aDelay, [this, isKilled = mIsKilled, call = std::move(aCallback)] {
    if (!*isKilled) {
      Run(call);
    }
  });
}

void
FakeProcess::Cancel(core::TimerId aTimer)
{
  mTimers.Cancel(aTimer);
}

void
FakeProcess::Run(Callback aCallback)
{
  if (*mIsKilled) {
    return;
  }
  if (*mIsPaused) {
    mDeferred.push_back(std::move(aCallback));
    return;
  }
  aCallback();
}

void
FakeProcess::Resume()
{
  *mIsPaused = false;
  const auto deferred = std::exchange(mDeferred, {});
  for (const auto& call : deferred) {
    call();
  }
}

FakeBus::FakeBus(FakeNetwork& aNetwork,
                 FakeProcess& aProcess,
                 std::string aVm,
                 std::string aIncarnation,
                 std::string aAddress)
  : mNetwork(aNetwork)
  , mProcess(aProcess)
  , mVm(std::move(aVm))
  , mIncarnation(std::move(aIncarnation))
  , mAddress(std::move(aAddress))
{
  mNetwork.mBuses[mAddress] = this;
}

FakeBus::~FakeBus()
{
  const auto it = mNetwork.mBuses.find(mAddress);
  if (it != mNetwork.mBuses.end() && it->second == this) {
    mNetwork.mBuses.erase(it);
  }
}

void
FakeBus::Connect(const std::string& aVm, const std::string& aAddress)
{
  mPeers[aVm] = aAddress;
}

void
FakeBus::Disconnect(const std::string& aVm)
{
  mPeers.erase(aVm);
}

bool
FakeBus::Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)
{
  const auto it = mPeers.find(aVm);
  return it != mPeers.end() && mNetwork.Deliver(*this, aVm, it->second, aKind, aBody);
}

void
FakeBus::OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler)
{
  mHandlers[aKind] = std::move(aHandler);
}

} // namespace skylarkwing::membership::tests
