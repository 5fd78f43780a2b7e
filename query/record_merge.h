#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::query {

/** Length of one record of a shard's answer, in bytes. */
constexpr std::size_t kRecordBytes = 16;

/**
 * Merges the records of several shards.
 *
 * @param aParts bodies of records in any order; a remainder shorter than a record is none.
 * @param aMost how many records are wanted.
 * @return the greatest records, compared byte by byte, greatest first; equal ones all count.
 */
std::string
MergeRecords(const std::vector<std::string_view>& aParts, std::size_t aMost);

} // namespace skylarkwing::query
