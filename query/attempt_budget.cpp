#include "query/attempt_budget.h"

#include <algorithm>

namespace skylarkwing::query {

void
AttemptBudget::RecordFirstAttempt(double aShare)
{
  mTokens = std::min(mTokens + aShare, kMaxTokens);
}

bool
AttemptBudget::TryTake()
{
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace skylarkwing::query
