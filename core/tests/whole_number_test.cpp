#include "core/whole_number.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::core {

BOOST_AUTO_TEST_SUITE(whole_number)

BOOST_AUTO_TEST_CASE(a_whole_text_holds_digits_only)
{
  BOOST_TEST(ParseWhole("0").value() == 0U);
  BOOST_TEST(ParseWhole("18446744073709551615").value() == UINT64_MAX);
  for (const char* text : { "", "-1", "+1", " 1", "1 ", "1x", "x", "18446744073709551616" }) {
    BOOST_TEST(!ParseWhole(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(a_leading_number_may_be_followed_by_anything)
{
  BOOST_TEST(ParseLeadingWhole("15, max=100").value() == 15U);
  BOOST_TEST(ParseLeadingWhole("7").value() == 7U);
  for (const char* text : { "", " 7", "x7", "-7" }) {
    BOOST_TEST(!ParseLeadingWhole(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::core
