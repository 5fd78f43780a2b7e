#include "membership/feed_choice.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace skylarkwing::membership::tests {

namespace {

const core::TimePoint kNow = core::TimePoint{} + std::chrono::hours{ 1 };

EntryRoll
MakeRoll(int aDomains, int aDaemons)
{
  EntryRoll roll;
  for (int domain = 0; domain < aDomains; ++domain) {
    for (int n = 0; n < aDaemons; ++n) {
      EntryMember member;
      member.failureDomain = "d" + std::to_string(domain);
      member.vm = member.failureDomain + "-" + std::to_string(n);
      roll.Put(member);
    }
  }
  return roll;
}

/** @return how many daemons ask the store. */
std::size_t
CountDirect(const EntryRoll& aRoll)
{
  std::size_t direct = 0;
  for (const auto& [vm, member] : aRoll.Members()) {
    direct += FeedChoice(vm, member.failureDomain).Choose(aRoll, kNow) ? 0 : 1;
  }
  return direct;
}

} // namespace

BOOST_AUTO_TEST_SUITE(feed_choice)

BOOST_AUTO_TEST_CASE(store_watchers_grow_with_domains_and_not_with_daemons)
{
  BOOST_TEST(CountDirect(MakeRoll(3, 2)) == 3U);
  BOOST_TEST(CountDirect(MakeRoll(6, 10)) == 6U);
  BOOST_TEST(CountDirect(MakeRoll(6, 49)) == 6U);
  BOOST_TEST(CountDirect(MakeRoll(8, 260)) == 48U);
}

BOOST_AUTO_TEST_CASE(no_daemon_follows_one_that_follows_another)
{
  const EntryRoll roll = MakeRoll(4, 9);
  for (const auto& [vm, member] : roll.Members()) {
    if (const auto relay = FeedChoice(vm, member.failureDomain).Choose(roll, kNow)) {
      BOOST_TEST(relay->failureDomain == member.failureDomain);
      BOOST_TEST(!FeedChoice(relay->vm, relay->failureDomain).Choose(roll, kNow).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failed_relay_is_passed_over_and_tried_again_later)
{
  const EntryRoll roll = MakeRoll(1, 60);
  FeedChoice choice("d0-7", "d0");
  std::set<std::string> relays;
  while (const auto relay = choice.Choose(roll, kNow)) {
    relays.insert(relay->vm);
    choice.Distrust(relay->vm, kNow, FeedChoice::kDistrust);
  }
  BOOST_TEST(relays.size() == 2U + FeedChoice::kStandbys);
  BOOST_TEST(choice.Choose(roll, kNow + FeedChoice::kDistrust).has_value());
}

BOOST_AUTO_TEST_CASE(one_standby_asks_the_store_for_the_followers_of_a_relay_that_is_cut_off)
{
  const EntryRoll roll = MakeRoll(1, 14);
  std::size_t direct = 0;
  for (const auto& [vm, member] : roll.Members()) {
    FeedChoice choice(vm, member.failureDomain);
    choice.Distrust("d0-0", kNow, FeedChoice::kDistrust);
    const auto source = choice.Choose(roll, kNow);
    // The cut relay still believes that it is one, and asks the store as well.
    direct += source ? 0 : 1;
    BOOST_TEST((!source || source->vm == "d0-1"));
  }
  BOOST_TEST(direct == 2U);
}

BOOST_AUTO_TEST_CASE(who_knows_nobody_asks_the_store)
{
  BOOST_TEST(!FeedChoice("a", "d").Choose(EntryRoll(), kNow).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
