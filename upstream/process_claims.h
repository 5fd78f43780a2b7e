#pragma once

#include "upstream/replica_registry.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwing::upstream {

/** What is known of an entry that names a process. */
struct ProcessClaim
{
  /** Id of the entry. */
  std::string_view id;
  /** Sequence number of its last announcement. */
  std::uint64_t sequence = 0;
  /** Whether the process has answered to this id. */
  bool isConfirmed = false;
  /** Whether the process has refused this id. */
  bool isRefuted = false;
};

/** @return whether an entry is more likely than another one to be the process's own. */
bool
IsLikelier(const ProcessClaim& aLeft, const ProcessClaim& aRight);

/**
 * Finds entries that name the same process.
 *
 * A process has one id, so that only one of them is its own, and the others are copies by another
 * writer. Requests under a wrong id are refused, and each refusal costs a request an attempt.
 * Processes whose start isn't known are left out: a replica may have got the address of another one
 * whose entry has not been removed yet.
 */
class ProcessClaims
{
public:
  /** Adds an entry. */
  void Add(const AnnouncedReplica& aReplica);

  /** Removes an entry that was added with the same process. */
  void Remove(const AnnouncedReplica& aReplica);

  /** @return what is known of an entry, by its id. */
  using ClaimFunction = std::function<ProcessClaim(const std::string& aId)>;

  /** @return whether another entry is likelier to be the own one of an entry's process. */
  bool IsLikelyCopy(const AnnouncedReplica& aReplica, const ClaimFunction& aClaimOf) const;

private:
  /** Address and start. */
  using Process = std::pair<std::string, std::uint64_t>;

  /** The likeliest entry as of the last check comes first, so that copies are found at once. */
  mutable std::map<Process, std::vector<std::string>> mIds;
  /** Number of processes that several entries name. */
  std::size_t mContested = 0;
};

} // namespace skylarkwing::upstream
