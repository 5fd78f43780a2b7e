#pragma once

#include "upstream/part.h"

#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query {

/**
 * Which replicas a query's fingerprint has crashed or may be crashing now, so that it never takes a
 * third one.
 */
class CrashExposure
{
public:
  /** @param aCrashed replicas known to have crashed while running the fingerprint. */
  explicit CrashExposure(const std::vector<std::string>& aCrashed);

  /** Takes in what another query or an owner knows. */
  template<typename Names>
  void AddCrashed(const Names& aCrashed)
  {
    mCrashed.insert(aCrashed.begin(), aCrashed.end());
  }

  /** Notes that a replica gets the fingerprint while it is not known to be harmless. */
  void RecordSent(const std::string& aReplica);

  /** Notes how a part ended at a replica. */
  void RecordEnded(const std::string& aReplica, upstream::PartStatus aStatus);

  /** Forgets everything, because a replica has answered the fingerprint. */
  void Clear();

  /** @return whether one more replica may be put at risk. */
  bool HasRoom() const;

  /** @return whether any replica has crashed. */
  bool HasCrashed() const { return !mCrashed.empty(); }

  /** @return whether the fingerprint must not run any more. */
  bool IsQuarantined() const;

  /** @return whether a replica runs it now, or has been silent about it. */
  bool IsAtRisk() const { return !mAtRisk.empty(); }

  /** @return the replicas that crashed. */
  const std::set<std::string>& Crashed() const { return mCrashed; }

private:
  std::set<std::string> mCrashed;
  std::set<std::string> mAtRisk;
};

} // namespace skylarkwing::query
