#include "core/nearest_name.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace skylarkwing::core {

namespace {

/** A longer text is no slip of a known name, and comparing it would cost time for nothing. */
constexpr std::size_t kLongestName = 64;

/** Edits that are still taken for a slip: one for every three letters, and at least two. */
std::size_t
MostEdits(std::string_view aName)
{
  return std::max<std::size_t>(2, aName.size() / 3);
}

} // namespace

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> beforeLast(aRight.size() + 1);
  std::vector<std::size_t> last(aRight.size() + 1);
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(last.begin(), last.end(), std::size_t{ 0 });
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    row[0] = i;
    for (std::size_t n = 1; n <= aRight.size(); ++n) {
      const std::size_t replaced = last[n - 1] + (aLeft[i - 1] == aRight[n - 1] ? 0 : 1);
      row[n] = std::min({ last[n] + 1, row[n - 1] + 1, replaced });
      const bool isSwap =
        i > 1 && n > 1 && aLeft[i - 1] == aRight[n - 2] && aLeft[i - 2] == aRight[n - 1];
      if (isSwap) {
        row[n] = std::min(row[n], beforeLast[n - 2] + 1);
      }
    }
    std::swap(beforeLast, last);
    std::swap(last, row);
  }
  return last[aRight.size()];
}

std::optional<std::string_view>
NearestName(std::string_view aName, const std::vector<std::string_view>& aKnown)
{
  if (aName.size() > kLongestName) {
    return std::nullopt;
  }
  std::optional<std::string_view> nearest;
  std::size_t fewest = MostEdits(aName) + 1;
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
