#include "membership/feed_choice.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace skylarkwing::membership::tests {

namespace {

const core::TimePoint kNow = core::TimePoint{} + std::chrono::hours{ 1 };

const std::string kFeed = "replicas";

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
    direct += FeedChoice(vm, member.failureDomain).Choose(aRoll, kFeed, kNow).relay ? 0 : 1;
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
    const auto relay = FeedChoice(vm, member.failureDomain).Choose(roll, kFeed, kNow).relay;
    if (relay) {
      BOOST_TEST(relay->failureDomain == member.failureDomain);
      FeedChoice choice(relay->vm, relay->failureDomain);
      BOOST_TEST(!choice.Choose(roll, kFeed, kNow).relay.has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failed_relay_is_passed_over_and_tried_again_later)
{
  const EntryRoll roll = MakeRoll(1, 60);
  FeedChoice choice("d0-7", "d0");
  std::set<std::string> relays;
  while (const auto relay = choice.Choose(roll, kFeed, kNow).relay) {
    relays.insert(relay->vm);
    choice.Distrust(relay->vm, kNow, FeedChoice::kDistrust);
  }
  BOOST_TEST(relays.size() == 2U + FeedChoice::kStandbys);
  BOOST_TEST(choice.Choose(roll, kFeed, kNow + FeedChoice::kDistrust).relay.has_value());
}

BOOST_AUTO_TEST_CASE(one_standby_asks_the_store_for_the_followers_of_a_relay_that_is_cut_off)
{
  const EntryRoll roll = MakeRoll(1, 14);
  std::size_t direct = 0;
  for (const auto& [vm, member] : roll.Members()) {
    FeedChoice choice(vm, member.failureDomain);
    choice.Distrust("d0-0", kNow, FeedChoice::kDistrust);
    const auto source = choice.Choose(roll, kFeed, kNow).relay;
    // The cut relay still believes that it is one, and asks the store as well.
    direct += source ? 0 : 1;
    BOOST_TEST((!source || source->vm == "d0-1"));
  }
  BOOST_TEST(direct == 2U);
}

BOOST_AUTO_TEST_CASE(followers_leave_a_store_alone_that_all_relays_have_lost)
{
  constexpr std::chrono::seconds kOutage{ 10 };
  constexpr std::chrono::milliseconds kRefusal{ 5 };
  const EntryRoll roll = MakeRoll(1, 14);
  for (int n = 1 + FeedChoice::kStandbys; n < 10; ++n) {
    FeedChoice choice("d0-" + std::to_string(n), "d0");
    core::TimePoint now = kNow;
    int direct = 0;
    int asked = 0;
    while (now < kNow + kOutage) {
      const FeedTarget target = choice.Choose(roll, kFeed, now);
      now += target.delay + kRefusal;
      if (target.relay) {
        choice.Distrust(target.relay->vm, now, FeedChoice::kRefusedDistrust);
        ++asked;
      } else {
        ++direct;
      }
    }
    BOOST_TEST(direct <= kOutage / FeedChoice::kDirectInterval + 1);
    BOOST_TEST(direct >= kOutage / FeedChoice::kDirectInterval - 1);
    // Each relay is asked again when its refusal is old, and not all the time.
    BOOST_TEST(asked <= 3 * (kOutage / FeedChoice::kRefusedDistrust + 1));
  }
}

BOOST_AUTO_TEST_CASE(a_follower_whose_relays_are_gone_hears_of_changes_in_time)
{
  constexpr std::chrono::seconds kGone{ 10 };
  const EntryRoll roll = MakeRoll(1, 14);
  FeedChoice choice("d0-9", "d0");
  core::TimePoint now = kNow;
  core::TimePoint heard = kNow;
  while (now < kNow + kGone) {
    const FeedTarget target = choice.Choose(roll, kFeed, now);
    now += target.delay + std::chrono::milliseconds{ 1 };
    if (target.relay) {
      choice.Distrust(target.relay->vm, now, FeedChoice::kDistrust);
      continue;
    }
    BOOST_TEST((now - heard < std::chrono::seconds{ 3 }));
    heard = now;
  }
  BOOST_TEST((heard > kNow + kGone - std::chrono::seconds{ 3 }));
}

BOOST_AUTO_TEST_CASE(each_feed_asks_the_store_at_its_own_times)
{
  const EntryRoll roll = MakeRoll(1, 14);
  FeedChoice choice("d0-9", "d0");
  for (const auto& [vm, member] : roll.Members()) {
    choice.Distrust(vm, kNow, FeedChoice::kDistrust);
  }
  BOOST_TEST((choice.Choose(roll, "one", kNow).delay == core::Duration::zero()));
  BOOST_TEST((choice.Choose(roll, "two", kNow).delay == core::Duration::zero()));
  BOOST_TEST((choice.Choose(roll, "one", kNow).delay > core::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_feed_is_never_put_off_for_longer_than_the_interval)
{
  const EntryRoll roll = MakeRoll(1, 14);
  FeedChoice choice("d0-9", "d0");
  for (const auto& [vm, member] : roll.Members()) {
    choice.Distrust(vm, kNow, FeedChoice::kDistrust);
  }
  for (int n = 0; n < 20; ++n) {
    choice.Choose(roll, kFeed, kNow + std::chrono::milliseconds{ n });
  }
  const core::TimePoint later = kNow + std::chrono::milliseconds{ 20 };
  BOOST_TEST((choice.Choose(roll, kFeed, later).delay <= FeedChoice::kDirectInterval));
}

BOOST_AUTO_TEST_CASE(who_knows_nobody_asks_the_store)
{
  FeedChoice choice("a", "d");
  for (int n = 0; n < 3; ++n) {
    const FeedTarget target = choice.Choose(EntryRoll(), kFeed, kNow);
    BOOST_TEST(!target.relay.has_value());
    BOOST_TEST((target.delay == core::Duration::zero()));
  }
}

BOOST_AUTO_TEST_CASE(daemons_that_start_together_wait_for_their_first_relays)
{
  const auto delay = FeedChoice::kFirstRelayDelay;
  FeedChoice choice("vm-9", "gent");
  BOOST_TEST((choice.Choose(EntryRoll(), kFeed, kNow, delay).delay == delay));
  // Daemons of another failure domain are no relays of this one.
  EntryRoll roll;
  EntryMember other;
  other.vm = "vm-1";
  other.failureDomain = "namur";
  roll.Put(other);
  BOOST_TEST((choice.Choose(roll, kFeed, kNow, delay).delay == delay));
  other.vm = "vm-2";
  other.failureDomain = "gent";
  roll.Put(other);
  const FeedTarget target = choice.Choose(roll, kFeed, kNow, delay);
  BOOST_TEST(target.relay.value().vm == "vm-2");
  BOOST_TEST((target.delay == core::Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
