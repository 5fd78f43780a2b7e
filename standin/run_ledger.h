#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace skylarkwing::standin {

/**
 * Counts how often each logical request ran, over all stand-ins of an experiment.
 *
 * Thread-safe, because the stand-ins may run on several event loops.
 */
class RunLedger
{
public:
  /**
   * Records that a request begins to run.
   *
   * @param aToken the caller's own name of the logical request.
   * @return how often it has begun to run, this time included.
   */
  std::uint64_t RecordStart(const std::string& aToken);

  /** @return how often a request has begun to run. */
  std::uint64_t Starts(const std::string& aToken) const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::uint64_t> mStarts;
};

/**
 * Remembers which replicas each search crashed, over all stand-ins of an experiment.
 *
 * Thread-safe, because the stand-ins may run on several event loops.
 */
class CrashLedger
{
public:
  /**
   * Records that a search crashed a replica.
   *
   * @param aFingerprint the index and the search.
   * @param aReplica the replica that crashed.
   * @return how many replicas it has crashed, this one included.
   */
  std::size_t RecordCrash(const std::string& aFingerprint, const std::string& aReplica);

  /** @return the most replicas that any one search crashed. */
  std::size_t MostReplicas() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::set<std::string>> mReplicas;
};

} // namespace skylarkwing::standin
