#include "console/status_feed.h"

#include "core/virtual_timer_service.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

namespace skylarkwing::console {

namespace {

using std::chrono::milliseconds;

struct FeedFixture
{
  ClusterStatus Read()
  {
    ++reads;
    timers.Advance(cost);
    return status;
  }

  /** @return the sections of an event. */
  static nlohmann::json Sections(const std::string& aEvent)
  {
    const std::size_t data = aEvent.find("data: ");
    return nlohmann::json::parse(aEvent.substr(data + 6));
  }

  core::VirtualTimerService timers;
  ClusterStatus status;
  core::Duration cost{};
  int reads = 0;
  StatusFeed feed{ timers, [this] { return Read(); } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(status_feed, FeedFixture)

BOOST_AUTO_TEST_CASE(all_screens_share_one_status_read)
{
  for (int n = 0; n < 10; ++n) {
    feed.Refresh();
  }
  BOOST_TEST(reads == 1);
  timers.Advance(StatusFeed::kRefreshInterval);
  feed.Refresh();
  BOOST_TEST(reads == 2);
  feed.Invalidate();
  feed.Refresh();
  BOOST_TEST(reads == 3);
}

BOOST_AUTO_TEST_CASE(an_event_holds_only_what_changed)
{
  feed.Refresh();
  const std::uint64_t first = feed.Version();
  BOOST_TEST(feed.EventSince(first).empty());
  BOOST_TEST(Sections(feed.EventSince(0)).contains("services"));
  status.generation = 5;
  feed.Invalidate();
  feed.Refresh();
  BOOST_TEST(Sections(feed.EventSince(first)) == nlohmann::json({ { "generation", 5 } }));
  BOOST_TEST(nlohmann::json::parse(feed.Text()).contains("services"));
}

BOOST_AUTO_TEST_CASE(a_slow_status_is_read_less_often_within_the_maximum_interval)
{
  cost = milliseconds{ 8 };
  feed.Refresh();
  timers.Advance(milliseconds{ 791 });
  feed.Refresh();
  BOOST_TEST(reads == 1);
  timers.Advance(milliseconds{ 1 });
  cost = milliseconds{ 500 };
  feed.Refresh();
  BOOST_TEST(reads == 2);
  timers.Advance(StatusFeed::kMaxRefreshInterval - cost);
  feed.Refresh();
  BOOST_TEST(reads == 3);
}

BOOST_AUTO_TEST_CASE(the_bounded_status_does_not_grow_with_the_fleet)
{
  status.generation = 7;
  FailureDomainStatus domain;
  for (int n = 0; n < 500; ++n) {
    domain.vms.push_back({ "vm-" + std::to_string(n), "alive", 7, 0.0 });
    ServiceStatus service;
    service.service = "service-" + std::to_string(n);
    service.shards = 1;
    service.shardsHeld = n == 400 ? 0 : 1;
    status.services.push_back(service);
  }
  domain.vms[300].generation = 6;
  status.failureDomains.push_back(domain);
  BoundStatus(status);
  const StatusBounds bounds;
  BOOST_TEST(status.services.size() == bounds.services);
  BOOST_TEST(status.serviceCount == 500U);
  BOOST_TEST(status.services[0].service == "service-400");
  BOOST_TEST(status.failureDomains[0].vms.size() == bounds.vmsPerFailureDomain);
  BOOST_TEST(status.failureDomains[0].vmCount == 500U);
  BOOST_TEST(status.failureDomains[0].vms[0].vm == "vm-300");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console
