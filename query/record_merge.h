#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::query {

/** Length of a record in a shard's answer. */
constexpr std::size_t kRecordBytes = 16;

/**
 * Merges the records of several shards.
 *
 * @param aParts answer bodies with records in any order; an incomplete record at the end is
 * ignored.
 * @param aMaxRecords maximum number of records to return.
 * @return the greatest records in descending byte order; duplicates are kept.
 */
std::string
MergeRecords(const std::vector<std::string_view>& aParts, std::size_t aMaxRecords);

} // namespace skylarkwing::query
