#include "membership/gossip_queue.h"

#include <algorithm>

namespace skylarkwing::membership {

std::vector<std::string>
GossipQueue::TakeNext(std::size_t aMaxKeys)
{
  std::vector<std::string> keys;
  const std::size_t n = std::min(aMaxKeys, mRounds.size());
  auto it = mRounds.upper_bound(mLast);
  while (keys.size() < n) {
    if (it == mRounds.end()) {
      it = mRounds.begin();
    }
    keys.push_back(it->first);
    mLast = it->first;
    it = it->second <= 1 ? mRounds.erase(it) : (--it->second, std::next(it));
    if (mRounds.empty()) {
      break;
    }
  }
  return keys;
}

} // namespace skylarkwing::membership
