#include "bench/kept_objects.h"

#include <utility>
#include <vector>

namespace skylarkwing::bench {

void
KeepUntilExit(std::shared_ptr<void> aObject)
{
  // Never deleted, so that no destructor runs at exit; still reachable for a leak checker.
  static auto* const kept = new std::vector<std::shared_ptr<void>>;
  kept->push_back(std::move(aObject));
}

} // namespace skylarkwing::bench
