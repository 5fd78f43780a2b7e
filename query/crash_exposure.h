#pragma once

#include "upstream/part.h"

#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query {

/**
 * Tracks the replicas that a query's fingerprint has crashed or may be crashing, so that it is
 * never sent to a third one.
 */
class CrashExposure
{
public:
  /** @param aCrashed replicas known to have crashed while running the fingerprint. */
  explicit CrashExposure(const std::vector<std::string>& aCrashed);

  /** Adds crashed replicas reported by another query or by the daemon that owns a replica. */
  template<typename Names>
  void AddCrashed(const Names& aCrashed)
  {
    mCrashed.insert(aCrashed.begin(), aCrashed.end());
  }

  /** Records that a fingerprint not known to be safe was sent to a replica. */
  void RecordSent(const std::string& aReplica);

  /** Records how a part ended at a replica. */
  void RecordEnded(const std::string& aReplica, upstream::PartStatus aStatus);

  /** Resets the state after a replica answered the fingerprint. */
  void Clear();

  /** @return whether the fingerprint may be sent to one more replica. */
  bool MayExposeAnother() const;

  bool HasCrashed() const { return !mCrashed.empty(); }

  /** @return whether the fingerprint has crashed too many replicas to run again. */
  bool IsQuarantined() const;

  /** @return whether a replica runs the fingerprint or has not reported its outcome. */
  bool HasReplicasAtRisk() const { return !mAtRisk.empty(); }

  const std::set<std::string>& Crashed() const { return mCrashed; }

private:
  std::set<std::string> mCrashed;
  std::set<std::string> mAtRisk;
};

} // namespace skylarkwing::query
