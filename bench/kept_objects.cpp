#include "bench/kept_objects.h"

#include <utility>
#include <vector>

namespace skylarkwing::bench {

void
KeepUntilExit(std::shared_ptr<void> aObject)
{
  // The list is never deleted, so that no destructor runs at exit; a leak checker still reaches it.
  static auto* const kept = new std::vector<std::shared_ptr<void>>;
  kept->push_back(std::move(aObject));
}

} // namespace skylarkwing::bench
