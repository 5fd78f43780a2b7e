#include "core/nearest_name.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace skylarkwing::core {

namespace {

/** Longer names are not compared: they cannot be typos of known names, and it would cost time. */
constexpr std::size_t kMaxNameLength = 64;

/** Largest edit distance of a typo: one edit per three characters, at least two. */
std::size_t
MaxTypoEdits(std::string_view aName)
{
  return std::max<std::size_t>(2, aName.size() / 3);
}

} // namespace

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> rowBeforeLast(aRight.size() + 1);
  std::vector<std::size_t> lastRow(aRight.size() + 1);
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(lastRow.begin(), lastRow.end(), std::size_t{ 0 });
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    row[0] = i;
    for (std::size_t n = 1; n <= aRight.size(); ++n) {
      const std::size_t substituted = lastRow[n - 1] + (aLeft[i - 1] == aRight[n - 1] ? 0 : 1);
      row[n] = std::min({ lastRow[n] + 1, row[n - 1] + 1, substituted });
      const bool isTransposition =
        i > 1 && n > 1 && aLeft[i - 1] == aRight[n - 2] && aLeft[i - 2] == aRight[n - 1];
      if (isTransposition) {
        row[n] = std::min(row[n], rowBeforeLast[n - 2] + 1);
      }
    }
    std::swap(rowBeforeLast, lastRow);
    std::swap(lastRow, row);
  }
  return lastRow[aRight.size()];
}

std::optional<std::string_view>
NearestName(std::string_view aName, const std::vector<std::string_view>& aKnown)
{
  if (aName.size() > kMaxNameLength) {
    return std::nullopt;
  }
  std::optional<std::string_view> nearest;
  std::size_t fewest = MaxTypoEdits(aName) + 1;
  for (const std::string_view name : aKnown) {
    const std::size_t edits = EditDistance(aName, name);
    if (edits < fewest) {
      fewest = edits;
      nearest = name;
    }
  }
  return nearest;
}

} // namespace skylarkwing::core
