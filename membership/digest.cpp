#include "membership/digest.h"

#include "membership/hash.h"

namespace skylarkwing::membership {

std::size_t
Digest::BucketOf(std::string_view aKey)
{
  return HashOf(aKey) % kDigestBuckets;
}

void
Digest::Add(std::string_view aKey, std::uint64_t aValue)
{
  const std::uint64_t key = HashOf(aKey);
  mBuckets[key % kDigestBuckets] += static_cast<std::uint32_t>(CombineHashes(key, aValue));
}

std::vector<std::size_t>
Digest::Differences(const Digest& aOther) const
{
  std::vector<std::size_t> buckets;
  for (std::size_t n = 0; n < kDigestBuckets; ++n) {
    if (mBuckets[n] != aOther.mBuckets[n]) {
      buckets.push_back(n);
    }
  }
  return buckets;
}

nlohmann::json
Digest::ToJson() const
{
  return mBuckets;
}

std::optional<Digest>
Digest::FromJson(const nlohmann::json& aJson)
{
  if (!aJson.is_array() || aJson.size() != kDigestBuckets) {
    return std::nullopt;
  }
  Digest digest;
  for (std::size_t n = 0; n < kDigestBuckets; ++n) {
    if (!aJson[n].is_number_unsigned()) {
      return std::nullopt;
    }
    digest.mBuckets[n] = aJson[n].get<std::uint32_t>();
  }
  return digest;
}

} // namespace skylarkwing::membership
