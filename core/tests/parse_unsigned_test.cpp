#include "core/parse_unsigned.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::core {

BOOST_AUTO_TEST_SUITE(parse_unsigned)

BOOST_AUTO_TEST_CASE(parse_unsigned_accepts_only_digits)
{
  BOOST_TEST(ParseUnsigned("0").value() == 0U);
  BOOST_TEST(ParseUnsigned("18446744073709551615").value() == UINT64_MAX);
  for (const char* text : { "", "-1", "+1", " 1", "1 ", "1x", "x", "18446744073709551616" }) {
    BOOST_TEST(!ParseUnsigned(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(parse_leading_unsigned_ignores_what_follows)
{
  BOOST_TEST(ParseLeadingUnsigned("15, max=100").value() == 15U);
  BOOST_TEST(ParseLeadingUnsigned("7").value() == 7U);
  for (const char* text : { "", " 7", "x7", "-7" }) {
    BOOST_TEST(!ParseLeadingUnsigned(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::core
