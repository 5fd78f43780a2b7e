#include "query/crash_exposure.h"

namespace skylarkwing::query {

namespace {

/** Replicas that one fingerprint may crash. */
constexpr std::size_t kMaxReplicasAtRisk = 2;

} // namespace

CrashExposure::CrashExposure(const std::vector<std::string>& aCrashed)
  : mCrashed(aCrashed.begin(), aCrashed.end())
{
}

void
CrashExposure::RecordSent(const std::string& aReplica)
{
  mAtRisk.insert(aReplica);
}

void
CrashExposure::RecordEnded(const std::string& aReplica, upstream::PartStatus aStatus)
{
  // Without an answer the replica may have crashed, so it stays at risk.
  if (aStatus == upstream::PartStatus::Unknown) {
    return;
  }
  mAtRisk.erase(aReplica);
  if (aStatus == upstream::PartStatus::Crashed) {
    mCrashed.insert(aReplica);
  }
}

void
CrashExposure::Clear()
{
  mCrashed.clear();
  mAtRisk.clear();
}

bool
CrashExposure::MayExposeAnother() const
{
  return mCrashed.size() + mAtRisk.size() < kMaxReplicasAtRisk;
}

bool
CrashExposure::IsQuarantined() const
{
  return mCrashed.size() >= kMaxReplicasAtRisk;
}

} // namespace skylarkwing::query
