#include "membership/peer_ring.h"

#include "membership/hash.h"

#include <algorithm>

namespace skylarkwing::membership {

void
PeerRing::Assign(const std::vector<std::string>& aVms, const std::string& aSelf)
{
  std::vector<std::pair<std::uint64_t, std::string>> ring;
  for (const auto& vm : aVms) {
    if (vm != aSelf) {
      ring.emplace_back(HashOf(vm), vm);
    }
  }
  std::sort(ring.begin(), ring.end());
  const std::pair self(HashOf(aSelf), aSelf);
  const auto first = std::lower_bound(ring.begin(), ring.end(), self);
  std::rotate(ring.begin(), first, ring.end());
  mPeers.clear();
  for (auto& [hash, vm] : ring) {
    mPeers.push_back(std::move(vm));
  }
  const std::size_t n = IsFullMesh() ? mPeers.size() : kMonitorCount;
  mMonitors.assign(mPeers.begin(), mPeers.begin() + static_cast<std::ptrdiff_t>(n));
}

} // namespace skylarkwing::membership
