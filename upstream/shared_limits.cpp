#include "upstream/shared_limits.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace skylarkwing::upstream {

SharedLimits::SharedLimits(std::string aVm, std::map<std::string, std::string> aRegions)
  : mVm(std::move(aVm))
  , mRegions(std::move(aRegions))
{
}

void
SharedLimits::SetFleet(const FleetWeights& aFleet, core::TimePoint aNow)
{
  mIsComplete = aFleet.isComplete;
  mRecentFleet.Update(aFleet, aNow);
  mFleet = mRecentFleet.Fleet();
  mRateShares.reset();
}

void
SharedLimits::Expire(core::TimePoint aNow)
{
  if (mRecentFleet.Expire(aNow)) {
    mFleet = mRecentFleet.Fleet();
    mRateShares.reset();
  }
}

bool
SharedLimits::MaySendCold(const std::string& aReplica) const
{
  return mIsComplete && upstream::MaySendCold(mFleet.members, mVm, aReplica);
}

RateShare
SharedLimits::ShareOf(const ReplicaRateLimit& aLimit, const std::string& aRegion)
{
  return mIsComplete ? Shares().ShareOf(aLimit.MaxSenders(), aRegion) : RateShare{};
}

std::vector<std::string>
SharedLimits::SendersOf(const ReplicaRateLimit& aLimit)
{
  std::vector<std::string> senders = Shares().Ranking();
  senders.resize(std::min(senders.size(), aLimit.MaxSenders()));
  return senders;
}

const RateShares&
SharedLimits::Shares()
{
  if (!mRateShares) {
    mRateShares.emplace(mFleet.members, mVm, mRegions);
  }
  return *mRateShares;
}

} // namespace skylarkwing::upstream
