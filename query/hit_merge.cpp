#include "query/hit_merge.h"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>

namespace skylarkwing::query {

namespace {

bool
ComesBefore(const upstream::Hit& aLeft, const upstream::Hit& aRight)
{
  if (aLeft.score != aRight.score) {
    return aLeft.score > aRight.score;
  }
  return aLeft.id < aRight.id;
}

} // namespace

std::vector<upstream::Hit>
MergeHits(std::vector<upstream::Hit> aHits, std::size_t aSize)
{
  std::stable_sort(aHits.begin(), aHits.end(), ComesBefore);
  std::vector<upstream::Hit> merged;
  std::unordered_set<std::string> ids;
  for (upstream::Hit& hit : aHits) {
    if (merged.size() >= aSize) {
      break;
    }
    if (ids.insert(hit.id).second) {
      merged.push_back(std::move(hit));
    }
  }
  return merged;
}

} // namespace skylarkwing::query
