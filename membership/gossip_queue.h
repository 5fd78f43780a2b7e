#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/**
 * Keys whose current values wait to be sent, each with the number of rounds left. A key is queued
 * once, which bounds the queue by the number of keys.
 */
class GossipQueue
{
public:
  /** Queues a key for so many rounds, also when it is queued already. */
  void Add(const std::string& aKey, std::uint32_t aRounds) { mRounds[aKey] = aRounds; }

  void Remove(const std::string& aKey) { mRounds.erase(aKey); }

  /**
   * Uses up one round of the next keys, in turn; keys without rounds left are removed.
   *
   * @return up to aMaxKeys keys.
   */
  std::vector<std::string> TakeNext(std::size_t aMaxKeys);

  bool Has(const std::string& aKey) const { return mRounds.count(aKey) > 0; }
  bool IsEmpty() const { return mRounds.empty(); }
  std::size_t Size() const { return mRounds.size(); }

private:
  std::map<std::string, std::uint32_t> mRounds;
  std::string mLast;
};

} // namespace skylarkwing::membership
