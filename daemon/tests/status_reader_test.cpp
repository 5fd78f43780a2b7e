#include "daemon/index_view_cache.h"
#include "daemon/load_meter.h"
#include "daemon/owned_replicas.h"
#include "daemon/status_reader.h"

#include "core/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace skylarkwing::daemon {

namespace {

using namespace std::chrono_literals;

declaration::Declaration
MakeDeclaration()
{
  declaration::Declaration declaration;
  declaration.deployment = "test";
  declaration.failureDomains = { { "north", "region", false, "" },
                                 { "south", "region", true, "power" } };
  declaration::IndexDeclaration index;
  index.name = "orders";
  index.services = { { "orders-1",
                       { { "n1", "127.0.0.1:1", "north" }, { "s1", "127.0.0.1:2", "south" } } },
                     { "orders-2", { { "n2", "127.0.0.1:3", "north" } } } };
  declaration.indexes = { index };
  return declaration;
}

upstream::ReplicaStatus
MakeStatus(const std::string& aReplica, upstream::ReplicaState aState, std::uint32_t aShard)
{
  upstream::ReplicaStatus status;
  status.replica = aReplica;
  status.index = "orders";
  status.owner = "vm-" + aReplica;
  status.state = aState;
  status.holdings = { { 7, 2, { aShard } } };
  status.inFlight = 1;
  return status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(status_reader)

BOOST_AUTO_TEST_CASE(services_list_shards_without_a_usable_replica)
{
  const declaration::Declaration declaration = MakeDeclaration();
  IndexViewCache views;
  views.Update(MakeStatus("n1", upstream::ReplicaState::Warm, 0));
  views.Update(MakeStatus("n2", upstream::ReplicaState::Out, 1));
  const std::vector<membership::Member> members;
  const StatusSources sources{ declaration, members, views.Statuses() };
  const auto services = ReadServices(sources, declaration.indexes[0], views.View("orders"));
  BOOST_REQUIRE(services.size() == 2U);
  BOOST_TEST(services[0].snapshot == 7U);
  BOOST_TEST(services[0].shardsHeld == 1U);
  BOOST_TEST(services[0].missingShards.empty());
  BOOST_TEST(services[1].shards == 1U);
  BOOST_TEST(services[1].shardsHeld == 0U);
  BOOST_REQUIRE(services[1].missingShards.size() == 1U);
  BOOST_TEST(services[1].missingShards[0] == 1U);
}

BOOST_AUTO_TEST_CASE(failure_domains_count_unreported_replicas_as_unknown)
{
  const declaration::Declaration declaration = MakeDeclaration();
  IndexViewCache views;
  views.Update(MakeStatus("n1", upstream::ReplicaState::Warm, 0));
  membership::Member member;
  member.vm = "vm-1";
  member.failureDomain = "south";
  const std::vector<membership::Member> members{ member };
  const auto domains = ReadFailureDomains({ declaration, members, views.Statuses() });
  BOOST_REQUIRE(domains.size() == 2U);
  BOOST_REQUIRE(domains[0].upstreams.size() == 2U);
  BOOST_TEST(domains[0].upstreams[0].state == "unknown");
  BOOST_TEST(domains[0].upstreams[1].state == "warm");
  BOOST_TEST(domains[0].inFlight == 1U);
  BOOST_TEST(domains[1].out);
  BOOST_TEST(domains[1].vmCount == 1U);
}

BOOST_AUTO_TEST_CASE(a_view_is_shared_until_a_status_changes_or_an_owner_is_forgotten)
{
  IndexViewCache views;
  BOOST_TEST(!views.View("orders"));
  views.Update(MakeStatus("n1", upstream::ReplicaState::Warm, 0));
  const auto first = views.View("orders");
  BOOST_TEST(first == views.View("orders"));
  BOOST_TEST(views.OwnerOf("n1") == "vm-n1");
  views.Update(MakeStatus("n1", upstream::ReplicaState::Cold, 0));
  BOOST_TEST(first != views.View("orders"));
  views.ForgetOwner("vm-n1");
  BOOST_TEST(views.OwnerOf("n1").empty());
  BOOST_TEST(!views.View("orders"));
}

BOOST_AUTO_TEST_CASE(owned_replicas_show_whether_their_domain_is_out)
{
  const auto owned = ListOwnedReplicas(
    MakeDeclaration(), [](const std::string& aReplica) { return aReplica != "n2"; });
  BOOST_REQUIRE(owned.size() == 2U);
  BOOST_TEST(!owned[0].isDomainOut);
  BOOST_TEST(owned[1].isDomainOut);
  BOOST_TEST(owned[1].service == "orders-1");
}

BOOST_AUTO_TEST_CASE(load_follows_cpu_time_smoothly)
{
  core::VirtualTimerService timers;
  core::Duration used{};
  LoadMeter meter(timers, [&used] { return used; });
  std::optional<double> load;
  meter.Start([&load](double aLoad) { load = aLoad; });
  used += 1s;
  timers.Advance(1s);
  BOOST_REQUIRE(load.has_value());
  BOOST_TEST(*load < 0.5);
  for (int n = 0; n < 20; ++n) {
    used += 1s;
    timers.Advance(1s);
  }
  BOOST_TEST(*load > 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::daemon
