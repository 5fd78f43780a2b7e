#include "caller/entry_admission.h"
#include "core/random_source.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <queue>
#include <string>
#include <vector>

namespace skylarkwing::caller::tests {

namespace {

using std::chrono::milliseconds;

/** Requests of one customer at random times, and what became of them. */
struct Demand
{
  upstream::RequestTerms terms;
  double perSecond = 1.0;
  core::Duration work = milliseconds{ 100 };
  core::Duration start{};
  double asked = 0.0;
  double served = 0.0;

  double ServedShare() const { return served / asked; }
};

Demand
MakeDemand(const std::string& aCustomer, double aPerSecond, double aWeight)
{
  Demand demand;
  demand.terms.customer = aCustomer;
  demand.terms.weight = aWeight;
  demand.perSecond = aPerSecond;
  return demand;
}

/** Plays demands against one daemon. @return the delays told to refused callers. */
std::vector<core::Duration>
Play(EntryAdmission& aAdmission, std::vector<Demand>& aDemands, core::Duration aSpan)
{
  const core::TimePoint start = core::TimePoint{} + std::chrono::hours{ 1 };
  core::RandomSource random{ 20261206 };
  const auto gap = [&random](const Demand& aDemand) {
    const std::chrono::duration<double> mean{ 1.0 / aDemand.perSecond };
    return std::chrono::duration_cast<core::Duration>(mean * -std::log(1.0 - random.Fraction()));
  };
  using End = std::pair<core::TimePoint, const Demand*>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::vector<core::TimePoint> next;
  for (std::size_t n = 0; n < aDemands.size(); ++n) {
    next.push_back(start + aDemands[n].start + gap(aDemands[n]));
  }
  std::vector<core::Duration> delays;
  for (core::TimePoint now = start; now < start + aSpan; now += milliseconds{ 1 }) {
    for (; !ends.empty() && ends.top().first <= now; ends.pop()) {
      aAdmission.End(ends.top().second->terms, now);
    }
    for (std::size_t n = 0; n < aDemands.size(); ++n) {
      Demand& demand = aDemands[n];
      for (; next[n] <= now; next[n] += gap(demand)) {
        demand.asked += 1.0;
        if (const auto delay = aAdmission.Refuse(demand.terms, now)) {
          delays.push_back(*delay);
          continue;
        }
        demand.served += 1.0;
        aAdmission.Begin(demand.terms, now);
        ends.emplace(now + demand.work, &demand);
      }
    }
  }
  return delays;
}

/** Served shares of all but the first customer. */
struct OthersShare
{
  double least = 1.0;
  double mean = 0.0;
};

/** Plays 72 customers with capacity for 400 requests a second, of which 360 are usual. */
OthersShare
PlayCustomers(double aFactorOfFirst)
{
  EntryAdmission admission({ 40, milliseconds{ 60 } });
  std::vector<Demand> demands{ MakeDemand("large", aFactorOfFirst * 30.0, 30.0) };
  for (int n = 1; n < 72; ++n) {
    demands.push_back(MakeDemand("c" + std::to_string(n), n % 2 == 0 ? 2.3 : 7.0, 4.65));
  }
  Play(admission, demands, std::chrono::seconds{ 60 });
  OthersShare share;
  for (std::size_t n = 1; n < demands.size(); ++n) {
    share.least = std::min(share.least, demands[n].ServedShare());
    share.mean += demands[n].ServedShare() / static_cast<double>(demands.size() - 1);
  }
  BOOST_TEST_MESSAGE("first " << demands[0].ServedShare() << ", others " << share.mean << ", least "
                              << share.least);
  // The large one still gets about its usual rate.
  BOOST_TEST(demands[0].ServedShare() >= 0.8 / aFactorOfFirst);
  return share;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_shares)

BOOST_AUTO_TEST_CASE(a_customer_at_seven_times_its_usual_rate_takes_capacity_from_71_others)
{
  const OthersShare usual = PlayCustomers(1.0);
  const OthersShare beside = PlayCustomers(7.0);
  BOOST_TEST(beside.mean >= 0.9 * usual.mean);
  BOOST_TEST(beside.least >= 0.8 * beside.mean);
}

BOOST_AUTO_TEST_CASE(a_burst_of_long_work_of_low_priority_keeps_urgent_requests_out)
{
  EntryAdmission admission({ 40, milliseconds{ 60 } });
  Demand urgent = MakeDemand("", 36.4, 1.0);
  urgent.work = std::chrono::microseconds{ 6700 };
  Demand burst = MakeDemand("", 400.0, 1.0);
  burst.terms.priority = 2;
  burst.work = milliseconds{ 160 };
  burst.start = std::chrono::seconds{ 2 };
  std::vector<Demand> demands{ urgent, burst };
  const std::vector<core::Duration> delays = Play(admission, demands, std::chrono::seconds{ 6 });
  BOOST_TEST(demands[0].ServedShare() == 1.0);
  BOOST_TEST(demands[1].ServedShare() < 1.0);
  // Refused callers must not return together: no tenth of the delays' range has a third of them.
  const auto [shortest, longest] = std::minmax_element(delays.begin(), delays.end());
  BOOST_TEST_REQUIRE((*longest - *shortest >= milliseconds{ 50 }));
  const core::Duration tenth = (*longest - *shortest) / 10;
  for (int n = 0; n < 10; ++n) {
    const auto inTenth =
      std::count_if(delays.begin(), delays.end(), [&, from = *shortest + tenth * n](auto aDelay) {
        return aDelay >= from && aDelay < from + tenth;
      });
    BOOST_TEST(static_cast<std::size_t>(inTenth) * 3 < delays.size());
  }
}

BOOST_AUTO_TEST_CASE(chance_fluctuations_of_a_customer_outweigh_its_priority)
{
  EntryAdmission admission({ 100, milliseconds{ 60 } });
  const core::TimePoint now = core::TimePoint{} + std::chrono::hours{ 1 };
  const upstream::RequestTerms urgent = MakeDemand("a", 1.0, 1.0).terms;
  upstream::RequestTerms lower = MakeDemand("b", 1.0, 1.0).terms;
  lower.priority = 1;
  for (int n = 0; n < 86; ++n) {
    admission.Begin(n < 55 ? urgent : lower, now);
  }
  BOOST_TEST(admission.UseOf(urgent, now) > 1.2);
  BOOST_TEST(!admission.Refuse(urgent, now).has_value());
  BOOST_TEST(admission.Refuse(lower, now).has_value());
}

BOOST_AUTO_TEST_CASE(a_customer_that_had_a_burst_is_refused_long_after_it)
{
  EntryAdmission admission({ 100, milliseconds{ 60 } });
  const core::TimePoint now = core::TimePoint{} + std::chrono::hours{ 1 };
  const upstream::RequestTerms burst = MakeDemand("a", 1.0, 1.0).terms;
  const upstream::RequestTerms other = MakeDemand("b", 1.0, 1.0).terms;
  for (int n = 0; n < 90; ++n) {
    admission.Begin(burst, now);
  }
  for (int n = 0; n < 90; ++n) {
    admission.End(burst, now + milliseconds{ 500 });
  }
  for (int n = 0; n < 90; ++n) {
    admission.Begin(other, now + milliseconds{ 500 });
  }
  BOOST_TEST(admission.UseOf(burst, now + milliseconds{ 500 }) > 0.2);
  BOOST_TEST(admission.UseOf(burst, now + std::chrono::seconds{ 5 }) < 0.02);
  BOOST_TEST(!admission.Refuse(burst, now + std::chrono::seconds{ 5 }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::tests
