#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace skylarkwing::standin {

/**
 * Counts the runs of each logical request across all stand-ins of an experiment.
 *
 * Thread-safe, because the stand-ins may run on several event loops.
 */
class ExecutionCounter
{
public:
  /**
   * Records that a request starts to run.
   *
   * @param aToken the caller's token for the logical request.
   * @return the number of starts so far, including this one.
   */
  std::uint64_t RecordStart(const std::string& aToken);

  /** @return the number of starts of a request. */
  std::uint64_t Starts(const std::string& aToken) const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::uint64_t> mStarts;
};

} // namespace skylarkwing::standin
