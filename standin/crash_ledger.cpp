#include "standin/crash_ledger.h"

#include <algorithm>

namespace skylarkwing::standin {

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
