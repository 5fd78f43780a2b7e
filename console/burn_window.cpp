#include "console/burn_window.h"

#include "core/name_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkwing::console {

namespace {

constexpr core::NameTable<BurnWindow, kBurnWindowCount> kWindowNames{
  { "5m", "30m", "1h", "6h", "3d" }
};
constexpr core::NameTable<BurnUrgency, 3> kUrgencyNames{ { "none", "ticket", "page" } };

constexpr std::array<std::chrono::seconds, kBurnWindowCount> kSpans{ std::chrono::minutes{ 5 },
                                                                     std::chrono::minutes{ 30 },
                                                                     std::chrono::hours{ 1 },
                                                                     std::chrono::hours{ 6 },
                                                                     std::chrono::hours{ 72 } };

/** Lower bound of the allowed error share; keeps the burn rate finite for an objective of 1. */
constexpr double kMinErrorShare = 1e-9;

/** One alerting rule: it fires when both windows reach the burn rate. */
struct BurnRule
{
  BurnWindow longWindow;
  BurnWindow shortWindow;
  double burnRate;
  BurnUrgency urgency;
};

constexpr std::array<BurnRule, 3> kRules{ {
  { BurnWindow::OneHour, BurnWindow::FiveMinutes, 14.4, BurnUrgency::Page },
  { BurnWindow::SixHours, BurnWindow::HalfHour, 6.0, BurnUrgency::Page },
  { BurnWindow::ThreeDays, BurnWindow::SixHours, 1.0, BurnUrgency::Ticket },
} };

double
RateIn(const BurnRates& aRates, BurnWindow aWindow)
{
  return aRates.at(static_cast<std::size_t>(aWindow));
}

} // namespace

std::string_view
NameOf(BurnWindow aWindow)
{
  return kWindowNames.NameOf(aWindow);
}

std::chrono::seconds
SpanOf(BurnWindow aWindow)
{
  return kSpans.at(static_cast<std::size_t>(aWindow));
}

BurnCounts&
BurnCounts::operator+=(const BurnCounts& aOther)
{
  total += aOther.total;
  slow += aOther.slow;
  incomplete += aOther.incomplete;
  return *this;
}

void
to_json(nlohmann::json& aJson, const BurnCounts& aCounts)
{
  aJson = nlohmann::json::array({ aCounts.total, aCounts.slow, aCounts.incomplete });
}

void
from_json(const nlohmann::json& aJson, BurnCounts& aCounts)
{
  aCounts.total = aJson.at(0).get<std::uint64_t>();
  aCounts.slow = aJson.at(1).get<std::uint64_t>();
  aCounts.incomplete = aJson.at(2).get<std::uint64_t>();
}

double
BurnRate(std::uint64_t aBad, std::uint64_t aTotal, double aObjective)
{
  if (aTotal == 0) {
    return 0.0;
  }
  const double badShare = static_cast<double>(aBad) / static_cast<double>(aTotal);
  return badShare / std::max(1.0 - aObjective, kMinErrorShare);
}

std::chrono::duration<double>
TimeToExhaustion(double aBurnRate)
{
  return std::chrono::duration<double>(kBudgetPeriod) / aBurnRate;
}

double
BudgetSpent(double aBurnRate, std::chrono::seconds aSpan)
{
  return aBurnRate * (std::chrono::duration<double>(aSpan) / kBudgetPeriod);
}

std::string_view
NameOf(BurnUrgency aUrgency)
{
  return kUrgencyNames.NameOf(aUrgency);
}

BurnUrgency
UrgencyOf(const BurnRates& aRates)
{
  for (const BurnRule& rule : kRules) {
    const bool longWindowBurns = RateIn(aRates, rule.longWindow) >= rule.burnRate;
    const bool shortWindowBurns = RateIn(aRates, rule.shortWindow) >= rule.burnRate;
    if (longWindowBurns && shortWindowBurns) {
      return rule.urgency;
    }
  }
  return BurnUrgency::None;
}

} // namespace skylarkwing::console
