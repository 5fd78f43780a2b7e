#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/**
 * News that waits to be passed on, one entry for each key: what is said of the same key later
 * takes the place of what still waits, so that the queue is bounded by the number of keys.
 */
class GossipQueue
{
public:
  /** Adds news about a key, or starts it anew. */
  void Add(const std::string& aKey, std::uint32_t aRounds) { mRounds[aKey] = aRounds; }

  /** Drops a key. */
  void Drop(const std::string& aKey) { mRounds.erase(aKey); }

  /** @return up to so many keys, each with one round fewer left; those without are dropped. */
  std::vector<std::string> Take(std::size_t aMost);

  bool Has(const std::string& aKey) const { return mRounds.count(aKey) > 0; }
  bool IsEmpty() const { return mRounds.empty(); }
  std::size_t Size() const { return mRounds.size(); }

private:
  std::map<std::string, std::uint32_t> mRounds;
  std::string mLast;
};

} // namespace skylarkwing::membership
