#include "caller/stop_admission.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::caller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint kStart = core::TimePoint{} + seconds{ 100 };

struct Fixture
{
  StopAdmission admission;

  bool IsAccepted(core::Duration aSinceStart, core::Duration aDeadline) const
  {
    const core::TimePoint now = kStart + aSinceStart;
    return !admission.Refuse(now, now + aDeadline).has_value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stop_admission, Fixture)

BOOST_AUTO_TEST_CASE(a_request_is_refused_although_the_daemon_does_not_stop)
{
  BOOST_TEST(IsAccepted(seconds{ 50 }, seconds{ 60 }));
  BOOST_TEST(!admission.LateFrom().has_value());
}

BOOST_AUTO_TEST_CASE(a_request_late_in_the_grace_period_is_accepted_and_cut_off)
{
  admission.Begin(kStart, kStart + seconds{ 6 });
  BOOST_TEST(IsAccepted(milliseconds{ 2900 }, seconds{ 5 }));
  BOOST_TEST(!IsAccepted(milliseconds{ 3000 }, seconds{ 5 }));
  BOOST_TEST(!IsAccepted(milliseconds{ 4700 }, milliseconds{ 1300 }));
  BOOST_TEST(!IsAccepted(seconds{ 7 }, milliseconds{ 1 }));
}

BOOST_AUTO_TEST_CASE(a_request_that_ends_in_time_is_refused_during_a_stop)
{
  admission.Begin(kStart, kStart + seconds{ 6 });
  BOOST_TEST(IsAccepted(milliseconds{ 3000 }, milliseconds{ 1500 }));
  BOOST_TEST(IsAccepted(milliseconds{ 4700 }, milliseconds{ 1100 }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::caller
