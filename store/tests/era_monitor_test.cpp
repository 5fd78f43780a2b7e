#include "store/era_monitor.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

namespace skylarkwing::store::tests {

BOOST_AUTO_TEST_SUITE(era_monitor)

BOOST_AUTO_TEST_CASE(a_restore_is_reported_once_and_earlier_answers_are_rejected)
{
  std::vector<std::pair<std::uint64_t, std::uint64_t>> restores;
  EraMonitor eras([&restores](std::uint64_t aPrevious, std::uint64_t aEra) {
    restores.emplace_back(aPrevious, aEra);
  });
  BOOST_TEST(eras.Observe(4));
  BOOST_TEST(eras.Observe(4));
  BOOST_TEST(restores.empty());
  BOOST_TEST(eras.Observe(6));
  BOOST_TEST(!eras.Observe(4));
  BOOST_TEST(!eras.Observe(5));
  BOOST_TEST(eras.Observe(6));
  BOOST_TEST_REQUIRE(restores.size() == 1U);
  BOOST_TEST(restores[0].first == 4U);
  BOOST_TEST(restores[0].second == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store::tests
