#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace skylarkwing::standin {

/**
 * Records which replicas each search crashed, across all stand-ins of an experiment.
 *
 * Thread-safe, because the stand-ins may run on several event loops.
 */
class CrashLedger
{
public:
  /**
   * Records that a search crashed a replica.
   *
   * @param aFingerprint the index and the search text.
   * @param aReplica the replica that crashed.
   * @return the number of distinct replicas it has crashed, including this one.
   */
  std::size_t RecordCrash(const std::string& aFingerprint, const std::string& aReplica);

  /** @return the maximum number of replicas that a single search crashed. */
  std::size_t MostReplicas() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::set<std::string>> mReplicas;
};

} // namespace skylarkwing::standin
