#pragma once

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace skylarkwing::console {

/** Time windows over which burn rates are computed, shortest first. */
enum class BurnWindow
{
  FiveMinutes,
  HalfHour,
  OneHour,
  SixHours,
  ThreeDays,
};

constexpr std::size_t kBurnWindowCount = 5;

/** All windows, shortest first. */
constexpr std::array<BurnWindow, kBurnWindowCount> kBurnWindows{ BurnWindow::FiveMinutes,
                                                                 BurnWindow::HalfHour,
                                                                 BurnWindow::OneHour,
                                                                 BurnWindow::SixHours,
                                                                 BurnWindow::ThreeDays };

/** The period that an error budget covers. */
constexpr std::chrono::hours kBudgetPeriod{ 30 * 24 };

/** @return the name of a window, such as "5m". */
std::string_view
NameOf(BurnWindow aWindow);

/** @return the length of a window. */
std::chrono::seconds
SpanOf(BurnWindow aWindow);

/** Number of answers of one profile, and of those that missed its objective. */
struct BurnCounts
{
  std::uint64_t total = 0;
  /** Answers later than the objective's latency, and refusals. */
  std::uint64_t slow = 0;
  /** Answers that lacked shards, and refusals. */
  std::uint64_t incomplete = 0;

  BurnCounts& operator+=(const BurnCounts& aOther);
  bool operator==(const BurnCounts& aOther) const = default;
};

/** Reads and writes [total, slow, incomplete]; reading throws nlohmann::json::exception. */
void
to_json(nlohmann::json& aJson, const BurnCounts& aCounts);
void
from_json(const nlohmann::json& aJson, BurnCounts& aCounts);

/**
 * Computes the rate at which an error budget is spent.
 *
 * @param aBad answers that missed the objective.
 * @param aTotal all answers.
 * @param aObjective share of answers that must meet the objective, 0 to 1.
 * @return 1 when the budget lasts exactly kBudgetPeriod, 0 without answers.
 */
double
BurnRate(std::uint64_t aBad, std::uint64_t aTotal, double aObjective);

/**
 * @param aBurnRate a burn rate above 0.
 * @return how long a full budget of kBudgetPeriod lasts at that rate.
 */
std::chrono::duration<double>
TimeToExhaustion(double aBurnRate);

/**
 * @param aBurnRate the burn rate of a window.
 * @param aSpan the length of the window.
 * @return the share of the budget of kBudgetPeriod spent in the window; may exceed 1.
 */
double
BudgetSpent(double aBurnRate, std::chrono::seconds aSpan);

/** Alert severity of a burn rate. */
enum class BurnUrgency
{
  None,
  /** The budget will run out before its period ends: handle during working hours. */
  Ticket,
  /** The budget is being spent fast: handle immediately. */
  Page,
};

/** @return the name of an urgency, for reports and screens. */
std::string_view
NameOf(BurnUrgency aUrgency);

/** The burn rates of one objective by window, in the order of kBurnWindows. */
using BurnRates = std::array<double, kBurnWindowCount>;

/**
 * Computes the urgency by the multiwindow, multi-burn-rate method of "The Site Reliability
 * Workbook", chapter "Alerting on SLOs": the long window shows that the burn is significant, the
 * short one that it is still going on.
 */
BurnUrgency
UrgencyOf(const BurnRates& aRates);

} // namespace skylarkwing::console
