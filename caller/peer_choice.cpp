#include "caller/peer_choice.h"

#include "caller/weighted_choice.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::caller {

namespace {

template<typename Container, typename Value>
bool
Contains(const Container& aValues, const Value& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

core::Duration
AvoidanceAfter(PeerFailure aFailure)
{
  switch (aFailure) {
    case PeerFailure::Unreachable:
    case PeerFailure::Partitioned:
      return std::chrono::seconds{ 1 };
    case PeerFailure::Overloaded:
    case PeerFailure::Outdated:
      return std::chrono::milliseconds{ 200 };
    case PeerFailure::Stopping:
      return std::chrono::seconds{ 5 };
    case PeerFailure::Unsupported:
      break;
  }
  return std::chrono::seconds{ 60 };
}

} // namespace

PeerChoice::PeerChoice(core::TimerService& aTimers,
                       core::RandomSource& aRandom,
                       std::string aRegion)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mRegion(std::move(aRegion))
{
}

const ForwardPeer*
PeerChoice::Choose(const std::vector<ForwardPeer>& aPeers,
                   const std::vector<std::string>& aTried,
                   const std::vector<std::string>& aRegions)
{
  std::vector<const ForwardPeer*> near;
  std::vector<const ForwardPeer*> far;
  std::vector<const ForwardPeer*> partitioned;
  for (const ForwardPeer& peer : aPeers) {
    const bool isAllowed = aRegions.empty() || Contains(aRegions, peer.region);
    if (isAllowed && !Contains(aTried, peer.vm) && !IsAvoided(peer.vm)) {
      (peer.isPartitioned ? partitioned : peer.region == mRegion ? near : far).push_back(&peer);
    }
  }
  const std::vector<const ForwardPeer*>& nearest = !near.empty()  ? near
                                                   : !far.empty() ? far
                                                                  : partitioned;
  if (nearest.empty()) {
    return nullptr;
  }
  std::vector<double> weights;
  weights.reserve(nearest.size());
  for (const ForwardPeer* peer : nearest) {
    weights.push_back(peer->weight);
  }
  return nearest[ChooseByWeight(weights, mRandom.Fraction())];
}

void
PeerChoice::RecordFailure(const std::string& aVm, PeerFailure aFailure)
{
  const core::TimePoint now = mTimers.Now();
  std::erase_if(mAvoidedUntil, [now](const auto& aEntry) { return aEntry.second <= now; });
  mAvoidedUntil[aVm] = now + AvoidanceAfter(aFailure);
}

bool
PeerChoice::IsAvoided(const std::string& aVm) const
{
  const auto it = mAvoidedUntil.find(aVm);
  return it != mAvoidedUntil.end() && mTimers.Now() < it->second;
}

} // namespace skylarkwing::caller
