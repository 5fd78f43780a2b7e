#include "query/record_merge.h"

#include <algorithm>
#include <functional>

namespace skylarkwing::query {

std::string
MergeRecords(const std::vector<std::string_view>& aParts, std::size_t aMaxRecords)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t n = std::min(aMaxRecords, records.size());
  const auto middle = records.begin() + static_cast<std::ptrdiff_t>(n);
  std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(n * kRecordBytes);
  for (std::size_t i = 0; i < n; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

} // namespace skylarkwing::query
