#include "upstream/replica_lifecycle.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace skylarkwing::upstream {

namespace {

struct Fixture
{
  std::vector<ReplicaState> changes;
  ReplicaLifecycle lifecycle{ [this](ReplicaState, ReplicaState aTo) { changes.push_back(aTo); } };

  void MakeWarm()
  {
    lifecycle.Process(Answered{ UpstreamState::Warm });
    lifecycle.Process(RampCompleted{});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_lifecycle, Fixture)

BOOST_AUTO_TEST_CASE(becomes_warm_by_answers_only)
{
  lifecycle.Process(LoadReported{ UpstreamState::Warm });
  BOOST_TEST((lifecycle.State() == ReplicaState::Unknown));
  lifecycle.Process(Answered{ UpstreamState::Cold });
  BOOST_TEST((lifecycle.State() == ReplicaState::Cold));
  lifecycle.Process(RampCompleted{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Cold));
  MakeWarm();
  BOOST_TEST((lifecycle.State() == ReplicaState::Warm));
}

BOOST_AUTO_TEST_CASE(warm_ends_with_the_process_or_its_connection)
{
  MakeWarm();
  lifecycle.Process(ConnectionReset{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Unknown));
  MakeWarm();
  lifecycle.Process(IncarnationChanged{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Unknown));
  MakeWarm();
  lifecycle.Process(RequestFailed{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Unknown));
  MakeWarm();
  lifecycle.Process(Answered{ UpstreamState::Cold });
  BOOST_TEST((lifecycle.State() == ReplicaState::Cold));
}

BOOST_AUTO_TEST_CASE(a_fault_during_the_ramp_leads_back_to_cold)
{
  for (int n = 0; n < 4; ++n) {
    lifecycle.Process(Answered{ UpstreamState::Warm });
    BOOST_TEST((lifecycle.State() == ReplicaState::Warming));
    if (n == 0) {
      lifecycle.Process(Shed{});
    } else if (n == 1) {
      lifecycle.Process(RequestFailed{});
    } else if (n == 2) {
      lifecycle.Process(LatencyRose{});
    } else {
      lifecycle.Process(PermitLost{});
    }
    BOOST_TEST((lifecycle.State() == ReplicaState::Cold));
  }
}

BOOST_AUTO_TEST_CASE(a_domain_that_returns_is_unknown)
{
  MakeWarm();
  lifecycle.Process(DomainOut{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Out));
  lifecycle.Process(Answered{ UpstreamState::Warm });
  lifecycle.Process(Connected{});
  lifecycle.Process(IncarnationChanged{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Out));
  lifecycle.Process(DomainIn{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Unknown));
}

BOOST_AUTO_TEST_CASE(draining_ends_with_the_process)
{
  MakeWarm();
  lifecycle.Process(Answered{ UpstreamState::Draining });
  BOOST_TEST((lifecycle.State() == ReplicaState::Draining));
  lifecycle.Process(Answered{ UpstreamState::Warm });
  BOOST_TEST((lifecycle.State() == ReplicaState::Draining));
  lifecycle.Process(ConnectionReset{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Gone));
  lifecycle.Process(Connected{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Unknown));
}

BOOST_AUTO_TEST_CASE(lost_ownership_ends_every_state)
{
  MakeWarm();
  lifecycle.Process(OwnershipLost{});
  BOOST_TEST((lifecycle.State() == ReplicaState::Gone));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
