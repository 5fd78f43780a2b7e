#pragma once

#include "membership/digest.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** The fact about a replica with its origin and version. */
struct FactEntry
{
  /** The VM whose daemon published it. */
  std::string owner;
  /** Number of facts published about this replica so far, by any daemon. */
  std::uint64_t version = 0;
  nlohmann::json fact;
  /** Encoded size in a message. */
  std::size_t bytes = 0;
  /** Published by this process; facts of an earlier process of this VM must be published again. */
  bool isOwn = false;
};

/** A fact with its replica's name, as in a message. */
struct NamedFact
{
  std::string replica;
  FactEntry entry;
};

/**
 * The latest fact about every replica.
 *
 * A daemon publishes with the version after the latest one that it knows, so that the facts of a
 * new owner replace those of the previous owner.
 */
class FactTable
{
public:
  explicit FactTable(std::string aSelf);

  /**
   * Records a fact of this daemon.
   *
   * @param aFact a JSON object with the replica's name at "replica".
   * @return the previous fact, null when there was none; or nothing when the fact is unchanged or
   *         has no name.
   */
  std::optional<nlohmann::json> Publish(const nlohmann::json& aFact);

  /** Records another daemon's fact. @return whether it is newer than the known one. */
  bool Merge(NamedFact aFact);

  /** @return the entry of a replica, or null. */
  const FactEntry* Find(const std::string& aReplica) const;

  /** @return a digest of all entries. */
  Digest Summarize() const;

  /** @return the entries in some buckets of a digest, at least one and about aMaxBytes of them. */
  std::vector<NamedFact> EntriesIn(const std::vector<std::size_t>& aBuckets,
                                   std::size_t aMaxBytes) const;

  /** @return the current facts whose latest version a VM published. */
  std::vector<nlohmann::json> FactsOf(const std::string& aOwner) const;

  std::size_t Size() const { return mEntries.size(); }

private:
  std::string mSelf;
  std::map<std::string, FactEntry> mEntries;
};

/** @return the facts encoded for a message. */
nlohmann::json
FactsToJson(const std::vector<NamedFact>& aFacts);

/** @return the facts of a message; malformed ones are skipped. */
std::vector<NamedFact>
FactsFromJson(const nlohmann::json& aJson);

} // namespace skylarkwing::membership
