#include "store/lost_keys.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace skylarkwing::store::tests {

namespace {

using std::chrono::seconds;

KeyItem
Item(const std::string& aKey)
{
  return { aKey, "value", 7, false };
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_keys)

BOOST_AUTO_TEST_CASE(only_keys_that_the_restored_store_lacks_are_held)
{
  const core::TimePoint start{};
  LostKeys lost(seconds{ 5 });
  lost.Hold({ Item("a"), Item("b") }, { Item("b"), Item("c") }, start);
  BOOST_TEST_REQUIRE(lost.Items().size() == 1U);
  BOOST_TEST(lost.Items()[0].key == "a");
  BOOST_TEST((lost.NextExpiry() == start + seconds{ 5 }));
}

BOOST_AUTO_TEST_CASE(a_key_that_is_not_written_again_is_deleted_at_the_end_of_the_hold_time)
{
  const core::TimePoint start{};
  LostKeys lost(seconds{ 5 });
  lost.Hold({ Item("a"), Item("b") }, {}, start);
  lost.Release("a");
  BOOST_TEST(lost.TakeExpired(start + seconds{ 4 }).empty());
  const std::vector<KeyItem> deletions = lost.TakeExpired(start + seconds{ 5 });
  BOOST_TEST_REQUIRE(deletions.size() == 1U);
  BOOST_TEST(deletions[0].key == "b");
  BOOST_TEST(deletions[0].isDeleted);
  BOOST_TEST(!lost.NextExpiry().has_value());
}

BOOST_AUTO_TEST_CASE(a_second_restore_extends_the_hold)
{
  const core::TimePoint start{};
  LostKeys lost(seconds{ 5 });
  lost.Hold({ Item("a") }, {}, start);
  lost.Hold(lost.Items(), {}, start + seconds{ 4 });
  BOOST_TEST(lost.TakeExpired(start + seconds{ 6 }).empty());
  BOOST_TEST(lost.TakeExpired(start + seconds{ 9 }).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store::tests
