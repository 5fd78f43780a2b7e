#include "upstream/replica_rate_limit.h"

#include "core/name_table.h"

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<RateLimitChange, 4> kChangeNames{
  { "none", "began", "changed", "ended" }
};

} // namespace

std::string_view
NameOf(RateLimitChange aChange)
{
  return kChangeNames.NameOf(aChange);
}

RateLimitChange
ReplicaRateLimit::Apply(std::optional<double> aMaxRate,
                        core::TimePoint aSentAt,
                        core::TimePoint aNow)
{
  if (!mMaxRate && !aMaxRate) {
    return RateLimitChange::None;
  }
  if (!mMaxRate) {
    mMaxRate = aMaxRate;
    mReceivedAt = aNow;
    return RateLimitChange::Began;
  }
  const bool isStricter = aMaxRate && *aMaxRate <= *mMaxRate;
  if (!isStricter && aSentAt < mReceivedAt) {
    return RateLimitChange::None;
  }
  const bool isSame = aMaxRate == mMaxRate;
  mMaxRate = aMaxRate;
  mReceivedAt = aNow;
  if (isSame) {
    return RateLimitChange::None;
  }
  return mMaxRate ? RateLimitChange::Changed : RateLimitChange::Ended;
}

} // namespace skylarkwing::upstream
