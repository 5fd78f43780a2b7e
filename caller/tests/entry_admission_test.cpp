#include "caller/entry_admission.h"
#include "caller/weighted_choice.h"

#include <boost/test/unit_test.hpp>

#include <array>

namespace skylarkwing::caller::tests {

namespace {

using std::chrono::milliseconds;

const core::TimePoint kNow = core::TimePoint{} + std::chrono::hours{ 1 };

/** @return the terms of a request without a customer. */
upstream::RequestTerms
Terms(std::uint32_t aPriority)
{
  upstream::RequestTerms terms;
  terms.priority = aPriority;
  return terms;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_admission)

BOOST_AUTO_TEST_CASE(less_important_requests_are_refused_first)
{
  EntryAdmission admission({ 100, milliseconds{ 60 } });
  for (int n = 0; n < 80; ++n) {
    admission.Begin(Terms(0), kNow);
  }
  BOOST_TEST(!admission.Refuse(Terms(0), kNow).has_value());
  BOOST_TEST(!admission.Refuse(Terms(1), kNow).has_value());
  BOOST_TEST(admission.Refuse(Terms(2), kNow).has_value());
  for (int n = 0; n < 20; ++n) {
    admission.Begin(Terms(0), kNow);
  }
  BOOST_TEST(admission.Refuse(Terms(0), kNow).has_value());
  admission.End(Terms(0), kNow);
  BOOST_TEST(!admission.Refuse(Terms(0), kNow).has_value());
}

BOOST_AUTO_TEST_CASE(requests_of_other_daemons_are_refused_before_those_of_own_callers)
{
  EntryAdmission admission({ 100, milliseconds{ 60 } });
  for (int n = 0; n < 60; ++n) {
    admission.Begin(Terms(0), kNow);
  }
  BOOST_TEST(admission.RefuseForwarded(Terms(0), kNow).has_value());
  BOOST_TEST(!admission.Refuse(Terms(0), kNow).has_value());
  BOOST_TEST(!admission.Refuse(Terms(2), kNow).has_value());
}

// Clients that ask for long answers and don't read them used up the places of all others.
BOOST_AUTO_TEST_CASE(requests_whose_answers_wait_for_memory_take_no_place)
{
  EntryAdmission admission({ 100, milliseconds{ 60 } });
  std::size_t waiting = 40;
  admission.SetWaitingCounter([&waiting] { return waiting; });
  for (int n = 0; n < 139; ++n) {
    admission.Begin(Terms(0), kNow);
  }
  BOOST_TEST(!admission.Refuse(Terms(0), kNow).has_value());
  admission.Begin(Terms(0), kNow);
  BOOST_TEST(admission.Refuse(Terms(0), kNow).has_value());
  waiting = 1000;
  BOOST_TEST(!admission.Refuse(Terms(0), kNow).has_value());
}

BOOST_AUTO_TEST_CASE(refuses_while_the_event_loop_lags)
{
  EntryAdmission admission({ 100, milliseconds{ 60 } });
  admission.RecordLag(milliseconds{ 80 }, kNow);
  BOOST_TEST(admission.Refuse(Terms(0), kNow + milliseconds{ 50 }).has_value());
  BOOST_TEST(!admission.Refuse(Terms(0), kNow + milliseconds{ 150 }).has_value());
}

BOOST_AUTO_TEST_CASE(the_average_lag_adapts_within_seconds_and_ignores_a_single_late_timer)
{
  EntryAdmission admission({ 100, milliseconds{ 60 } });
  admission.RecordLag(milliseconds{ 40 }, kNow);
  BOOST_TEST((admission.AverageLag() <= milliseconds{ 2 }));
  for (int n = 1; n <= 60; ++n) {
    admission.RecordLag(milliseconds{ 10 }, kNow + n * milliseconds{ 50 });
  }
  BOOST_TEST((admission.AverageLag() > milliseconds{ 9 }));
  BOOST_TEST((admission.AverageLag() < milliseconds{ 12 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(weighted_choice)

BOOST_AUTO_TEST_CASE(shares_follow_the_weights)
{
  const std::vector<declaration::WeightedService> services{ { "a", 3.0 },
                                                            { "b", 0.0 },
                                                            { "c", 1.0 } };
  std::array<int, 3> counts{};
  constexpr int kDraws = 1000;
  for (int n = 0; n < kDraws; ++n) {
    ++counts[ChooseByWeight(services, static_cast<double>(n) / kDraws)];
  }
  BOOST_TEST(counts[0] == 750);
  BOOST_TEST(counts[1] == 0);
  BOOST_TEST(counts[2] == 250);
}

BOOST_AUTO_TEST_CASE(a_fraction_close_to_one_gives_a_valid_index)
{
  const std::vector<declaration::WeightedService> services{ { "a", 0.1 },
                                                            { "b", 0.2 },
                                                            { "c", 0.0 } };
  BOOST_TEST(ChooseByWeight(services, 0.9999999999999999) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller::tests
