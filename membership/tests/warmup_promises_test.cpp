#include "membership/tests/fake_cluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

namespace skylarkwing::membership::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = std::optional<std::optional<core::TimePoint>>;

core::Task<void>
RequestInto(WarmupPromises& aPromises, std::string aReplica, std::shared_ptr<Outcome> aOutcome)
{
  const auto until = co_await aPromises.RequestFromAll(std::move(aReplica));
  *aOutcome = until;
}

std::shared_ptr<Outcome>
StartRequest(FakeCluster& aCluster, std::size_t aNumber, const std::string& aReplica)
{
  auto outcome = std::make_shared<Outcome>();
  core::Start(aCluster.loop.get_executor(),
              RequestInto(aCluster.At(aNumber).promises, aReplica, outcome));
  return outcome;
}

/** @return until when the promises hold, or nothing. */
std::optional<core::TimePoint>
Request(FakeCluster& aCluster, std::size_t aNumber, const std::string& aReplica)
{
  const auto outcome = StartRequest(aCluster, aNumber, aReplica);
  aCluster.loop.restart();
  aCluster.loop.poll();
  aCluster.Advance(seconds{ 1 });
  BOOST_REQUIRE(outcome->has_value());
  return **outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(warmup_promises)

BOOST_AUTO_TEST_CASE(only_one_daemon_gets_a_replica_until_the_promises_end)
{
  FakeCluster cluster(1);
  cluster.StartAll(8);
  cluster.Advance(seconds{ 1 });
  const core::TimePoint asked = cluster.timers.Now();
  const auto until = Request(cluster, 0, "r-1");
  BOOST_REQUIRE(until.has_value());
  BOOST_TEST((*until <= asked + kPromiseTtl));
  BOOST_TEST(cluster.At(5).promises.IsPromisedElsewhere("r-1"));
  BOOST_TEST(!Request(cluster, 1, "r-1").has_value());
  BOOST_TEST(Request(cluster, 1, "r-2").has_value());
  cluster.Advance(kPromiseTtl);
  BOOST_TEST(!cluster.At(5).promises.IsPromisedElsewhere("r-1"));
  BOOST_TEST(cluster.At(5).promises.PromisedElsewhereUntil("r-1").has_value());
  BOOST_TEST(Request(cluster, 1, "r-1").has_value());
}

BOOST_AUTO_TEST_CASE(at_most_one_of_simultaneous_requesters_gets_the_replica)
{
  FakeCluster cluster(2);
  cluster.StartAll(8);
  cluster.Advance(seconds{ 1 });
  std::vector<std::shared_ptr<Outcome>> outcomes;
  for (std::size_t n = 0; n < 8; ++n) {
    outcomes.push_back(StartRequest(cluster, n, "r-1"));
  }
  cluster.loop.restart();
  cluster.loop.poll();
  cluster.Advance(seconds{ 1 });
  std::size_t granted = 0;
  for (const auto& outcome : outcomes) {
    granted += outcome->has_value() && (*outcome)->has_value() ? 1 : 0;
  }
  BOOST_TEST(granted <= 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_blocks_until_the_vm_list_lacks_it)
{
  FakeCluster cluster(3);
  cluster.StartAll(8);
  cluster.Advance(seconds{ 1 });
  cluster.Kill(7);
  cluster.Advance(seconds{ 5 });
  BOOST_TEST(!Request(cluster, 0, "r-1").has_value());
  cluster.SendVmList();
  BOOST_TEST(Request(cluster, 0, "r-1").has_value());
}

BOOST_AUTO_TEST_CASE(restarted_members_promise_nothing_until_earlier_promises_end)
{
  FakeCluster cluster(4);
  cluster.StartAll(3);
  cluster.Advance(seconds{ 1 });
  BOOST_REQUIRE(Request(cluster, 0, "r-1").has_value());
  // The holder is paused and no longer in the VM list; the members that promised have restarted.
  cluster.At(0).process.Pause();
  cluster.StartDaemon(1);
  cluster.StartDaemon(2);
  std::vector<VmRecord> records;
  for (const std::size_t n : { 1U, 2U }) {
    const Member& self = cluster.At(n).service.Self();
    records.push_back({ self.vm, self.failureDomain, self.region, "", self.peerAddress, false });
  }
  cluster.At(1).service.MergeVmList(records);
  cluster.At(2).service.MergeVmList(records);
  cluster.Advance(milliseconds{ 500 });
  BOOST_TEST(!Request(cluster, 1, "r-1").has_value());
  cluster.Advance(kPromiseTtl);
  BOOST_TEST(Request(cluster, 1, "r-1").has_value());
}

BOOST_AUTO_TEST_CASE(a_holder_of_a_store_permit_does_not_promise_the_replica)
{
  FakeCluster cluster(5);
  cluster.StartAll(4);
  cluster.Advance(seconds{ 1 });
  cluster.At(2).permits.insert("r-1");
  BOOST_TEST(!Request(cluster, 0, "r-1").has_value());
  cluster.At(2).permits.clear();
  BOOST_TEST(Request(cluster, 0, "r-1").has_value());
}

BOOST_AUTO_TEST_CASE(a_refused_requester_releases_the_granted_promises)
{
  FakeCluster cluster(6);
  cluster.StartAll(4);
  cluster.Advance(seconds{ 1 });
  cluster.At(3).permits.insert("r-1");
  BOOST_TEST(!Request(cluster, 0, "r-1").has_value());
  BOOST_TEST(!cluster.At(1).promises.IsPromisedElsewhere("r-1"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::membership::tests
