#include "membership/feed_router.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace skylarkwing::membership::tests {

namespace {

const core::TimePoint kNow = core::TimePoint{} + std::chrono::hours{ 1 };

const std::string kFeed = "replicas";

EntryDirectory
MakeDirectory(int aDomains, int aDaemons)
{
  EntryDirectory directory;
  for (int domain = 0; domain < aDomains; ++domain) {
    for (int n = 0; n < aDaemons; ++n) {
      EntryMember member;
      member.failureDomain = "d" + std::to_string(domain);
      member.vm = member.failureDomain + "-" + std::to_string(n);
      directory.Put(member);
    }
  }
  return directory;
}

/** @return how many daemons call the store. */
std::size_t
CountDirect(const EntryDirectory& aDirectory)
{
  std::size_t direct = 0;
  for (const auto& [vm, member] : aDirectory.Members()) {
    direct += FeedRouter(vm, member.failureDomain).Route(aDirectory, kFeed, kNow).relay ? 0 : 1;
  }
  return direct;
}

} // namespace

BOOST_AUTO_TEST_SUITE(feed_router)

BOOST_AUTO_TEST_CASE(store_watchers_grow_with_domains_and_not_with_daemons)
{
  BOOST_TEST(CountDirect(MakeDirectory(3, 2)) == 3U);
  BOOST_TEST(CountDirect(MakeDirectory(6, 10)) == 6U);
  BOOST_TEST(CountDirect(MakeDirectory(6, 49)) == 6U);
  BOOST_TEST(CountDirect(MakeDirectory(8, 260)) == 48U);
}

BOOST_AUTO_TEST_CASE(no_daemon_follows_a_follower)
{
  const EntryDirectory directory = MakeDirectory(4, 9);
  for (const auto& [vm, member] : directory.Members()) {
    const auto relay = FeedRouter(vm, member.failureDomain).Route(directory, kFeed, kNow).relay;
    if (relay) {
      BOOST_TEST(relay->failureDomain == member.failureDomain);
      FeedRouter router(relay->vm, relay->failureDomain);
      BOOST_TEST(!router.Route(directory, kFeed, kNow).relay.has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failed_relay_is_avoided_and_retried_later)
{
  const EntryDirectory directory = MakeDirectory(1, 60);
  FeedRouter router("d0-7", "d0");
  std::set<std::string> relays;
  while (const auto relay = router.Route(directory, kFeed, kNow).relay) {
    relays.insert(relay->vm);
    router.AvoidRelay(relay->vm, kNow, FeedRouter::kFailedRelayBackoff);
  }
  BOOST_TEST(relays.size() == 2U + FeedRouter::kStandbyRelays);
  BOOST_TEST(
    router.Route(directory, kFeed, kNow + FeedRouter::kFailedRelayBackoff).relay.has_value());
}

BOOST_AUTO_TEST_CASE(one_standby_calls_the_store_for_the_followers_of_a_relay_that_is_cut_off)
{
  const EntryDirectory directory = MakeDirectory(1, 14);
  std::size_t direct = 0;
  for (const auto& [vm, member] : directory.Members()) {
    FeedRouter router(vm, member.failureDomain);
    router.AvoidRelay("d0-0", kNow, FeedRouter::kFailedRelayBackoff);
    const auto relay = router.Route(directory, kFeed, kNow).relay;
    // The relay that is cut off still acts as a relay and calls the store too.
    direct += relay ? 0 : 1;
    BOOST_TEST((!relay || relay->vm == "d0-1"));
  }
  BOOST_TEST(direct == 2U);
}

BOOST_AUTO_TEST_CASE(followers_rarely_call_a_store_that_all_relays_have_lost)
{
  constexpr std::chrono::seconds kOutage{ 10 };
  constexpr std::chrono::milliseconds kRefusal{ 5 };
  const EntryDirectory directory = MakeDirectory(1, 14);
  for (int n = 1 + FeedRouter::kStandbyRelays; n < 10; ++n) {
    FeedRouter router("d0-" + std::to_string(n), "d0");
    core::TimePoint now = kNow;
    int direct = 0;
    int asked = 0;
    while (now < kNow + kOutage) {
      const FeedRoute route = router.Route(directory, kFeed, now);
      now += route.delay + kRefusal;
      if (route.relay) {
        router.AvoidRelay(route.relay->vm, now, FeedRouter::kRefusedRelayBackoff);
        ++asked;
      } else {
        ++direct;
      }
    }
    BOOST_TEST(direct <= kOutage / FeedRouter::kDirectReadInterval + 1);
    BOOST_TEST(direct >= kOutage / FeedRouter::kDirectReadInterval - 1);
    // Each relay is retried only after its backoff.
    BOOST_TEST(asked <= 3 * (kOutage / FeedRouter::kRefusedRelayBackoff + 1));
  }
}

BOOST_AUTO_TEST_CASE(a_follower_whose_relays_are_gone_gets_changes_in_time)
{
  constexpr std::chrono::seconds kGone{ 10 };
  const EntryDirectory directory = MakeDirectory(1, 14);
  FeedRouter router("d0-9", "d0");
  core::TimePoint now = kNow;
  core::TimePoint lastCall = kNow;
  while (now < kNow + kGone) {
    const FeedRoute route = router.Route(directory, kFeed, now);
    now += route.delay + std::chrono::milliseconds{ 1 };
    if (route.relay) {
      router.AvoidRelay(route.relay->vm, now, FeedRouter::kFailedRelayBackoff);
      continue;
    }
    BOOST_TEST((now - lastCall < std::chrono::seconds{ 3 }));
    lastCall = now;
  }
  BOOST_TEST((lastCall > kNow + kGone - std::chrono::seconds{ 3 }));
}

BOOST_AUTO_TEST_CASE(each_feed_has_its_own_interval_of_calls_to_the_store)
{
  const EntryDirectory directory = MakeDirectory(1, 14);
  FeedRouter router("d0-9", "d0");
  for (const auto& [vm, member] : directory.Members()) {
    router.AvoidRelay(vm, kNow, FeedRouter::kFailedRelayBackoff);
  }
  BOOST_TEST((router.Route(directory, "one", kNow).delay == core::Duration::zero()));
  BOOST_TEST((router.Route(directory, "two", kNow).delay == core::Duration::zero()));
  BOOST_TEST((router.Route(directory, "one", kNow).delay > core::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_feed_is_never_delayed_by_more_than_the_interval)
{
  const EntryDirectory directory = MakeDirectory(1, 14);
  FeedRouter router("d0-9", "d0");
  for (const auto& [vm, member] : directory.Members()) {
    router.AvoidRelay(vm, kNow, FeedRouter::kFailedRelayBackoff);
  }
  for (int n = 0; n < 20; ++n) {
    router.Route(directory, kFeed, kNow + std::chrono::milliseconds{ n });
  }
  const core::TimePoint later = kNow + std::chrono::milliseconds{ 20 };
  BOOST_TEST((router.Route(directory, kFeed, later).delay <= FeedRouter::kDirectReadInterval));
}

BOOST_AUTO_TEST_CASE(a_daemon_that_knows_no_members_calls_the_store)
{
  FeedRouter router("a", "d");
  for (int n = 0; n < 3; ++n) {
    const FeedRoute route = router.Route(EntryDirectory(), kFeed, kNow);
    BOOST_TEST(!route.relay.has_value());
    BOOST_TEST((route.delay == core::Duration::zero()));
  }
}

BOOST_AUTO_TEST_CASE(daemons_that_start_together_wait_for_their_first_relays)
{
  const auto delay = FeedRouter::kInitialRelayDelay;
  FeedRouter router("vm-9", "gent");
  BOOST_TEST((router.Route(EntryDirectory(), kFeed, kNow, delay).delay == delay));
  // Daemons of another failure domain can't be relays.
  EntryDirectory directory;
  EntryMember other;
  other.vm = "vm-1";
  other.failureDomain = "namur";
  directory.Put(other);
  BOOST_TEST((router.Route(directory, kFeed, kNow, delay).delay == delay));
  other.vm = "vm-2";
  other.failureDomain = "gent";
  directory.Put(other);
  const FeedRoute route = router.Route(directory, kFeed, kNow, delay);
  BOOST_TEST(route.relay.value().vm == "vm-2");
  BOOST_TEST((route.delay == core::Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
