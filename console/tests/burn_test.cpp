#include "console/burn_report.h"
#include "console/burn_report_page.h"
#include "console/burn_report_text.h"
#include "console/burn_tracker.h"
#include "core/virtual_timer_service.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace skylarkwing::console {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

std::vector<declaration::ProfileDeclaration>
Profiles()
{
  declaration::ProfileDeclaration profile;
  profile.name = "quote";
  profile.objective = { milliseconds{ 100 }, 0.99, 0.999 };
  return { profile };
}

struct BurnFixture
{
  BurnFixture() { tracker.SetProfiles(Profiles()); }

  void Record(int aCount, milliseconds aLatency, bool aIsComplete = true)
  {
    for (int n = 0; n < aCount; ++n) {
      AnswerOutcome outcome;
      outcome.profile = "quote";
      outcome.latency = aLatency;
      outcome.isComplete = aIsComplete;
      if (!aIsComplete) {
        outcome.faults = { { { "orders", 4, "Ikeja" }, ShardFaultKind::Missing } };
      }
      tracker.Record(outcome);
    }
  }

  BurnReport Report()
  {
    BurnMerger merger(Profiles());
    merger.Merge("vm-1", tracker.Snapshot(BurnDetail::Full));
    return merger.Report("adebayo", 0, { "vm-2" });
  }

  WindowReport Window(BurnWindow aWindow)
  {
    return Report().profiles.at(0).windows.at(static_cast<std::size_t>(aWindow));
  }

  core::VirtualTimerService timers;
  core::Metrics metrics;
  BurnTracker tracker{ timers, &metrics };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(burn, BurnFixture)

// Figures from "The Site Reliability Workbook", chapter "Alerting on SLOs": an SLO of
// 99.9 % over 30 days, its table of burn rates and times to exhaustion, and its recommended
// parameters (2 % of the budget in 1 h, 5 % in 6 h, 10 % in 3 days).
BOOST_AUTO_TEST_CASE(burn_rates_agree_with_the_workbook)
{
  struct Row
  {
    std::uint64_t badOfAMillion;
    double burnRate;
    double hoursToExhaustion;
  };
  const std::vector<Row> rows{
    { 1000, 1.0, 720.0 }, { 2000, 2.0, 360.0 }, { 10000, 10.0, 72.0 }, { 1000000, 1000.0, 0.72 }
  };
  for (const Row& row : rows) {
    const double rate = BurnRate(row.badOfAMillion, 1000000, 0.999);
    BOOST_TEST(rate == row.burnRate, boost::test_tools::tolerance(1e-9));
    const std::chrono::duration<double, std::ratio<3600>> left = TimeToExhaustion(rate);
    BOOST_TEST(left.count() == row.hoursToExhaustion, boost::test_tools::tolerance(1e-9));
  }
  BOOST_TEST(BudgetSpent(14.4, hours{ 1 }) == 0.02, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(BudgetSpent(6.0, hours{ 6 }) == 0.05, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(BudgetSpent(1.0, hours{ 72 }) == 0.1, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_rule_fires_only_when_both_windows_burn)
{
  BOOST_TEST((UrgencyOf({ 14.4, 0, 14.4, 0, 0 }) == BurnUrgency::Page));
  BOOST_TEST((UrgencyOf({ 0, 0, 14.4, 0, 0 }) == BurnUrgency::None));
  BOOST_TEST((UrgencyOf({ 14.4, 0, 14.3, 0, 0 }) == BurnUrgency::None));
  BOOST_TEST((UrgencyOf({ 0, 6, 0, 6, 0 }) == BurnUrgency::Page));
  BOOST_TEST((UrgencyOf({ 0, 5.9, 0, 6, 1 }) == BurnUrgency::Ticket));
  BOOST_TEST((UrgencyOf({ 99, 99, 0, 0.9, 1 }) == BurnUrgency::None));
}

BOOST_AUTO_TEST_CASE(windows_count_late_incomplete_and_refused_answers)
{
  Record(90, milliseconds{ 100 });
  Record(6, milliseconds{ 101 });
  Record(3, milliseconds{ 50 }, false);
  AnswerOutcome refusal;
  refusal.profile = "quote";
  refusal.isRefused = true;
  tracker.Record(refusal);
  refusal.profile = "unknown";
  tracker.Record(refusal);
  const std::string rendered = metrics.Render();
  for (const char* line : { "console_answers_total{profile=\"quote\"} 100",
                            "console_slow_answers_total{profile=\"quote\"} 7",
                            "console_incomplete_answers_total{profile=\"quote\"} 4" }) {
    BOOST_TEST(rendered.find(line) != std::string::npos);
  }
  const WindowReport window = Window(BurnWindow::FiveMinutes);
  BOOST_TEST((window.counts == BurnCounts{ 100, 7, 4 }));
  BOOST_TEST(window.latencyBurn == 7.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(window.coverageBurn == 40.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_short_history_does_not_spend_the_budget_of_a_long_window)
{
  timers.Advance(seconds{ 30 });
  Record(100, milliseconds{ 500 });
  BOOST_TEST(Window(BurnWindow::OneHour).latencyBurn == 100.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Report().profiles[0].latencyUrgency == "none");
  timers.Advance(minutes{ 10 });
  Record(100, milliseconds{ 500 });
  BOOST_TEST(Report().profiles[0].latencyUrgency == "page");
  const ProfileStatus shown = ToProfileStatus(Report().profiles[0]);
  BOOST_TEST(shown.latencyUrgency == "page");
  BOOST_TEST(shown.latencyBurn1h == 100.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(shown.queriesPerSecond == 100.0 / 300.0, boost::test_tools::tolerance(1e-9));
  timers.Advance(hours{ 36 } - minutes{ 10 } - seconds{ 30 });
  Record(9800, milliseconds{ 10 });
  const ProfileReport report = Report().profiles[0];
  BOOST_TEST(report.windows[4].latencyBurn == 2.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(report.latencyBudgetLeft == 0.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(counts_expire_from_each_window)
{
  Record(10, milliseconds{ 500 });
  struct Step
  {
    core::Duration advance;
    BurnWindow left;
    BurnWindow kept;
  };
  const std::vector<Step> steps{
    { minutes{ 5 }, BurnWindow::FiveMinutes, BurnWindow::HalfHour },
    { minutes{ 25 }, BurnWindow::HalfHour, BurnWindow::OneHour },
    { minutes{ 30 }, BurnWindow::OneHour, BurnWindow::SixHours },
    { hours{ 5 }, BurnWindow::SixHours, BurnWindow::ThreeDays },
  };
  for (const Step& step : steps) {
    timers.Advance(step.advance);
    BOOST_TEST(Window(step.left).counts.total == 0U);
    BOOST_TEST(Window(step.kept).counts.total == 10U);
  }
  timers.Advance(hours{ 66 });
  BOOST_TEST(Window(BurnWindow::ThreeDays).counts.total == 0U);
}

BOOST_AUTO_TEST_CASE(the_report_states_the_history_it_is_based_on)
{
  timers.Advance(minutes{ 3 });
  BOOST_TEST(Window(BurnWindow::FiveMinutes).known == 0.6, boost::test_tools::tolerance(1e-9));
  const std::string text = ToText(Report());
  BOOST_TEST(text.find("1 VM, shortest first: vm-1 3.0 min") != std::string::npos);
  BOOST_TEST(text.find("No counts came from 1: vm-2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(snapshots_are_merged_once_per_vm)
{
  Record(98, milliseconds{ 10 });
  Record(2, milliseconds{ 10 }, false);
  const nlohmann::json snapshot = tracker.Snapshot(BurnDetail::Full);
  BurnMerger merger(Profiles());
  BOOST_TEST(merger.Merge("vm-1", snapshot));
  BOOST_TEST(merger.Merge("vm-1", snapshot));
  BOOST_TEST(
    merger.Merge("vm-2", nlohmann::json::from_msgpack(nlohmann::json::to_msgpack(snapshot))));
  BOOST_TEST(!merger.Merge("vm-3", { { "version", 99 } }));
  BOOST_TEST(!merger.Merge("vm-4", nlohmann::json::array()));
  const BurnReport report = merger.Report("adebayo", 0);
  BOOST_TEST(report.vms.size() == 2U);
  BOOST_TEST((report.profiles[0].windows[0].counts == BurnCounts{ 200, 0, 4 }));
  BOOST_TEST((report.profiles[0].minutes[0] == BurnCounts{ 200, 0, 4 }));
  BOOST_REQUIRE(report.worstShards.size() == 1U);
  BOOST_TEST(report.worstShards[0].missing == 4U);
  BOOST_TEST(report.worstDomains[0].failureDomain == "Ikeja");
}

BOOST_AUTO_TEST_CASE(the_report_round_trips_json_and_the_page_escapes_names)
{
  Record(2, milliseconds{ 10 }, false);
  BurnReport report = Report();
  report.deployment = "<script>";
  const auto read = BurnReportFromJson(ToJson(report));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(ToJson(*read) == ToJson(report));
  const std::string page = ToHtml(*read);
  BOOST_TEST(page.find("<script>") == std::string::npos);
  BOOST_TEST(page.find("&lt;script&gt;") != std::string::npos);
  BOOST_TEST(page.find("http") == std::string::npos);
  BOOST_TEST(!BurnReportFromJson(nlohmann::json::array()));
}

BOOST_AUTO_TEST_CASE(quantiles_are_accurate_to_one_bucket)
{
  LatencyHistogram histogram;
  for (int n = 1; n <= 100; ++n) {
    histogram.Record(milliseconds{ n });
  }
  const double p99 = histogram.Quantile(0.99);
  BOOST_TEST(p99 >= 99.0);
  BOOST_TEST(p99 <= 99.0 * 1.19);
  BOOST_TEST(LatencyHistogram().Quantile(0.99) == 0.0);
}

BOOST_AUTO_TEST_CASE(the_shard_fault_table_is_bounded_and_keeps_the_worst)
{
  ShardFaultTable table;
  for (std::uint32_t n = 0; n < 3000; ++n) {
    table.Add(timers.Now(), { { "orders", n, "Ikeja" }, ShardFaultKind::Slow });
    table.Add(timers.Now(), { { "orders", 99999, "Ikeja" }, ShardFaultKind::Missing });
  }
  const std::vector<ShardFaultCount> worst = table.Worst(timers.Now());
  BOOST_TEST(worst.size() == ShardFaultTable::kMaxLocations);
  BOOST_TEST(worst[0].place.shard == 99999U);
  BOOST_TEST(worst[0].missing == 3000U);
  BOOST_TEST(worst[0].slow == 0U);
  timers.Advance(2 * ShardFaultTable::kRetentionTime);
  BOOST_TEST(table.Worst(timers.Now()).empty());
}

BOOST_AUTO_TEST_CASE(ring_sums_match_a_plain_list_of_answers)
{
  BOOST_TEST(rc::check("BurnRing", [](const std::vector<std::uint16_t>& aGapsSeconds) {
    BurnRing ring(seconds{ 10 }, 30);
    core::TimePoint now{};
    std::vector<std::int64_t> buckets;
    for (const std::uint16_t gap : aGapsSeconds) {
      now += seconds{ gap % 400 };
      ring.Add(now, { 1, 0, 0 });
      buckets.push_back(now.time_since_epoch() / seconds{ 10 });
    }
    const std::int64_t present = now.time_since_epoch() / seconds{ 10 };
    const auto kept = std::count_if(
      buckets.begin(), buckets.end(), [&](std::int64_t aBucket) { return present - aBucket < 30; });
    RC_ASSERT(ring.Sum(now, 30).total == static_cast<std::uint64_t>(kept));
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console
