#include "standin/run_ledger.h"

#include <algorithm>

namespace skylarkwing::standin {

std::uint64_t
RunLedger::RecordStart(const std::string& aToken)
{
  const std::scoped_lock lock(mMutex);
  return ++mStarts[aToken];
}

std::uint64_t
RunLedger::Starts(const std::string& aToken) const
{
  const std::scoped_lock lock(mMutex);
  const auto it = mStarts.find(aToken);
  return it == mStarts.end() ? 0 : it->second;
}

std::size_t
CrashLedger::RecordCrash(const std::string& aFingerprint, const std::string& aReplica)
{
  const std::scoped_lock lock(mMutex);
  std::set<std::string>& replicas = mReplicas[aFingerprint];
  replicas.insert(aReplica);
  return replicas.size();
}

std::size_t
CrashLedger::MostReplicas() const
{
  const std::scoped_lock lock(mMutex);
  std::size_t most = 0;
  for (const auto& [fingerprint, replicas] : mReplicas) {
    most = std::max(most, replicas.size());
  }
  return most;
}

} // namespace skylarkwing::standin
