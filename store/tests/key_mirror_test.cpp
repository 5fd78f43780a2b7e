#include "store/key_mirror.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::store::tests {

namespace {

KeyItem
Item(const std::string& aKey, std::uint64_t aRevision, bool aIsDeleted = false)
{
  return { aKey, aIsDeleted ? "" : "v" + std::to_string(aRevision), aRevision, aIsDeleted };
}

} // namespace

BOOST_AUTO_TEST_SUITE(key_mirror)

BOOST_AUTO_TEST_CASE(a_reader_within_the_history_gets_every_change_once)
{
  KeyMirror mirror;
  mirror.Reset({ Item("a", 3) }, { 1, 5 });
  mirror.Apply({ Item("b", 6), Item("a", 8, true) }, 9);
  const auto changes = mirror.ChangesSince({ 1, 5 });
  BOOST_TEST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->size() == 2U);
  BOOST_TEST(mirror.ChangesSince({ 1, 6 })->size() == 1U);
  BOOST_TEST(mirror.ChangesSince({ 1, 9 })->empty());
  BOOST_TEST(mirror.Items().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_reader_behind_the_history_must_read_all_keys)
{
  KeyMirror mirror;
  mirror.Reset({ Item("a", 3) }, { 1, 5 });
  BOOST_TEST(!mirror.ChangesSince({ 1, 4 }).has_value());
  for (std::uint64_t n = 0; n < KeyMirror::kHistorySize + 10; ++n) {
    mirror.Apply({ Item("a", 6 + n) }, 6 + n);
  }
  BOOST_TEST(!mirror.ChangesSince({ 1, 5 }).has_value());
  BOOST_TEST(mirror.ChangesSince({ 1, 16 })->size() == KeyMirror::kHistorySize - 1);
}

BOOST_AUTO_TEST_CASE(a_reader_of_an_earlier_era_must_read_all_keys)
{
  KeyMirror mirror;
  mirror.Reset({ Item("a", 3) }, { 1, 9 });
  mirror.Reset({ Item("a", 2) }, { 2, 5 });
  mirror.Apply({ Item("a", 6) }, 6);
  BOOST_TEST(!mirror.ChangesSince({ 1, 9 }).has_value());
  BOOST_TEST(!mirror.ChangesSince({ 1, 5 }).has_value());
  BOOST_TEST(mirror.ChangesSince({ 2, 5 })->size() == 1U);
}

BOOST_AUTO_TEST_CASE(readers_are_notified_of_changes_and_of_the_end_of_freshness)
{
  KeyMirror mirror;
  mirror.SetFresh(true);
  int woken = 0;
  mirror.OnNextChange([&woken] { ++woken; });
  mirror.Apply({}, 7);
  BOOST_TEST(woken == 0);
  mirror.Apply({ Item("a", 8) }, 8);
  BOOST_TEST(woken == 1);
  mirror.OnNextChange([&woken] { ++woken; });
  mirror.SetFresh(false);
  BOOST_TEST(woken == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::store::tests
