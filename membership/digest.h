#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkwing::membership {

/** How many parts a digest has. */
constexpr std::size_t kDigestBuckets = 64;

/** A short summary of many entries: one number for each bucket, equal when the entries are equal.
 */
class Digest
{
public:
  /** @return the bucket of a key. */
  static std::size_t BucketOf(std::string_view aKey);

  /** Adds one entry; the order of entries does not matter. */
  void Add(std::string_view aKey, std::uint64_t aValue);

  /** @return the buckets in which two digests differ. */
  std::vector<std::size_t> Differences(const Digest& aOther) const;

  nlohmann::json ToJson() const;

  /** @return the digest, or nothing when it is malformed. */
  static std::optional<Digest> FromJson(const nlohmann::json& aJson);

private:
  std::array<std::uint32_t, kDigestBuckets> mBuckets{};
};

} // namespace skylarkwing::membership
