#include "query/tests/query_fixture.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::query::test {

using namespace std::chrono_literals;
using upstream::PartRefusal;
using upstream::PartRequest;
using upstream::PartStatus;

BOOST_AUTO_TEST_SUITE(query_engine)

BOOST_AUTO_TEST_CASE(merges_every_shard_of_one_version)
{
  QueryFixture fixture;
  fixture.AddVersion(7, 4, 3);
  const QueryResult result = fixture.Ask();
  BOOST_TEST(result.complete);
  BOOST_TEST(result.snapshot == 7U);
  BOOST_TEST(result.coverage.answered == 4U);
  BOOST_TEST(result.coverage.total == 4U);
  BOOST_TEST(result.hits.size() == 12U);
  BOOST_TEST(result.hits.front().id == "v7-s0-0");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
