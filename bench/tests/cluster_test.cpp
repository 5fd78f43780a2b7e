#include "bench/cluster_fixture.h"
#include "bench/daemon_node.h"
#include "bench/experiment.h"
#include "bench/load_run.h"
#include "bench/naive_node.h"
#include "core/log.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::bench {

namespace {

/** Keeps log lines about ordinary state changes out of the test output. */
struct QuietLog
{
  QuietLog() { core::InitializeLog(core::LogLevel::Error, core::LogFormat::Plain); }
};

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

/** @return one index of two services, each with a replica in both failure domains. */
declaration::Declaration
SmallDeclaration()
{
  declaration::Declaration declaration;
  declaration.deployment = "small";
  declaration.failureDomains = { { "a", "r", false, "" }, { "b", "r", false, "" } };
  declaration::IndexDeclaration index;
  index.name = "catalogue";
  index.limits.slots = 4;
  for (const std::string service : { "s-1", "s-2" }) {
    index.services.push_back(
      { service,
        { { service + "-a", "127.0.0.1:1", "a" }, { service + "-b", "127.0.0.1:1", "b" } } });
  }
  declaration.indexes.push_back(index);
  declaration::ProfileDeclaration profile;
  profile.name = "lookup";
  profile.indexes = { "catalogue" };
  profile.defaultDeadline = std::chrono::milliseconds{ 2000 };
  declaration.profiles.push_back(profile);
  return declaration;
}

std::unique_ptr<EntryNode>
MakeNaive(const NodePlace& aPlace,
          const declaration::Declaration& aDeclaration,
          const std::vector<NodePlace>& aAll)
{
  return std::make_unique<NaiveNode>(aPlace, aDeclaration, aAll);
}

std::unique_ptr<EntryNode>
MakeDaemon(const NodePlace& aPlace, const declaration::Declaration&, const std::vector<NodePlace>&)
{
  return std::make_unique<DaemonNode>(aPlace);
}

/** Runs a small cluster under load. @return the results of callers and stand-ins. */
LoadResult
RunSmallCluster(const ClusterNodeFactory& aFactory)
{
  constexpr std::chrono::milliseconds kLength{ 4000 };
  ClusterOptions options;
  options.declaration = SmallDeclaration();
  options.nodes = 3;
  ClusterFixture cluster(options, aFactory);
  BOOST_REQUIRE_MESSAGE(cluster.Start(), cluster.LastError());
  LoadOptions load;
  load.seeds = cluster.CallerAddresses();
  load.streams = DefaultStreams(cluster.Declaration(), 1.0);
  load.length = kLength;
  LoadResult result = LoadRun(cluster, load).Finish();
  cluster.Collect(result);
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClusterTest)

BOOST_AUTO_TEST_CASE(NaivePolicyAnswersCorrectlyWithoutFaults)
{
  const LoadResult result = RunSmallCluster(MakeNaive);
  BOOST_TEST(result.answered > 0U);
  BOOST_TEST(result.ViolationCount() == 0U);
  BOOST_TEST(result.upstream.received > 0U);
}

BOOST_AUTO_TEST_CASE(DaemonAnswersMatchTheNaiveReference)
{
  const LoadResult result = RunSmallCluster(MakeDaemon);
  BOOST_TEST(result.answered > 0U);
  BOOST_TEST(result.ViolationCount() == 0U);
  BOOST_TEST(result.upstream.received > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::bench
