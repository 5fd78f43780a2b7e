#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkwing::membership {

/** Number of buckets that keys are hashed into. */
constexpr std::size_t kDigestBuckets = 64;

/** A summary of many entries: one hash sum for each bucket, so that two digests can be compared. */
class Digest
{
public:
  /** @return the bucket of a key. */
  static std::size_t BucketOf(std::string_view aKey);

  /** Adds one entry; digests do not depend on the order of entries. */
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
