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

/** One fact about a replica, as daemons pass it on. */
struct FactEntry
{
  /** The VM whose daemon stated it. */
  std::string owner;
  /** Counts the statements about this replica, whoever made them. */
  std::uint64_t version = 0;
  nlohmann::json fact;
  /** Size as a message carries it. */
  std::size_t bytes = 0;
  /** Stated by this process; what an earlier one of the same VM stated has to be said again. */
  bool isOwn = false;
};

/** One fact with its replica's name, as in a message. */
struct NamedFact
{
  std::string replica;
  FactEntry entry;
};

/**
 * The latest fact about every replica.
 *
 * Every statement counts on from the latest one that its maker knew, so that a new owner's
 * statements replace those of the owner before.
 */
class FactTable
{
public:
  explicit FactTable(std::string aSelf);

  /**
   * States a fact of this daemon's own.
   *
   * @param aFact a JSON object with the replica's name under "replica".
   * @return the fact before, null when there was none, or nothing when it is the same as before or
   *         has no name.
   */
  std::optional<nlohmann::json> State(const nlohmann::json& aFact);

  /** Takes another daemon's fact. @return whether it is newer than what is known. */
  bool Merge(NamedFact aFact);

  /** @return the entry of a replica, or null. */
  const FactEntry* Find(const std::string& aReplica) const;

  /** @return a summary of all entries. */
  Digest Summarize() const;

  /** @return the entries in a digest's buckets, at most about so many bytes of them. */
  std::vector<NamedFact> EntriesIn(const std::vector<std::size_t>& aBuckets,
                                   std::size_t aMostBytes) const;

  /** @return the facts that a VM stated last. */
  std::vector<nlohmann::json> FactsOf(const std::string& aOwner) const;

  std::size_t Size() const { return mEntries.size(); }

private:
  std::string mSelf;
  std::map<std::string, FactEntry> mEntries;
};

/** @return facts as a message carries them. */
nlohmann::json
FactsToJson(const std::vector<NamedFact>& aFacts);

/** @return the facts of a message; malformed ones are left out. */
std::vector<NamedFact>
FactsFromJson(const nlohmann::json& aJson);

} // namespace skylarkwing::membership
