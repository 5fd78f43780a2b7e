#include "upstream/replica_lifecycle.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace skylarkwing::upstream {

namespace {

struct Fixture
{
  std::vector<ReplicaState> changes;
  ReplicaLifecycle life{ [this](ReplicaState, ReplicaState aTo) { changes.push_back(aTo); } };

  void MakeWarm()
  {
    life.Process(Answered{ UpstreamState::Warm });
    life.Process(RampCompleted{});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_lifecycle, Fixture)

BOOST_AUTO_TEST_CASE(becomes_warm_by_answers_only)
{
  life.Process(LoadReported{ UpstreamState::Warm });
  BOOST_TEST((life.State() == ReplicaState::Unknown));
  life.Process(Answered{ UpstreamState::Cold });
  BOOST_TEST((life.State() == ReplicaState::Cold));
  life.Process(RampCompleted{});
  BOOST_TEST((life.State() == ReplicaState::Cold));
  MakeWarm();
  BOOST_TEST((life.State() == ReplicaState::Warm));
}

BOOST_AUTO_TEST_CASE(warmth_ends_with_the_process_or_its_connection)
{
  MakeWarm();
  life.Process(ConnectionReset{});
  BOOST_TEST((life.State() == ReplicaState::Unknown));
  MakeWarm();
  life.Process(IncarnationChanged{});
  BOOST_TEST((life.State() == ReplicaState::Unknown));
  MakeWarm();
  life.Process(RequestFailed{});
  BOOST_TEST((life.State() == ReplicaState::Unknown));
  MakeWarm();
  life.Process(Answered{ UpstreamState::Cold });
  BOOST_TEST((life.State() == ReplicaState::Cold));
}

BOOST_AUTO_TEST_CASE(trouble_on_the_ramp_leads_back_to_cold)
{
  for (int n = 0; n < 4; ++n) {
    life.Process(Answered{ UpstreamState::Warm });
    BOOST_TEST((life.State() == ReplicaState::Warming));
    if (n == 0) {
      life.Process(Shed{});
    } else if (n == 1) {
      life.Process(RequestFailed{});
    } else if (n == 2) {
      life.Process(LatencyRose{});
    } else {
      life.Process(PermitLost{});
    }
    BOOST_TEST((life.State() == ReplicaState::Cold));
  }
}

BOOST_AUTO_TEST_CASE(a_domain_that_returns_is_unknown)
{
  MakeWarm();
  life.Process(DomainOut{});
  BOOST_TEST((life.State() == ReplicaState::Out));
  life.Process(Answered{ UpstreamState::Warm });
  life.Process(Connected{});
  life.Process(IncarnationChanged{});
  BOOST_TEST((life.State() == ReplicaState::Out));
  life.Process(DomainIn{});
  BOOST_TEST((life.State() == ReplicaState::Unknown));
}

BOOST_AUTO_TEST_CASE(draining_ends_with_the_process)
{
  MakeWarm();
  life.Process(Answered{ UpstreamState::Draining });
  BOOST_TEST((life.State() == ReplicaState::Draining));
  life.Process(Answered{ UpstreamState::Warm });
  BOOST_TEST((life.State() == ReplicaState::Draining));
  life.Process(ConnectionReset{});
  BOOST_TEST((life.State() == ReplicaState::Gone));
  life.Process(Connected{});
  BOOST_TEST((life.State() == ReplicaState::Unknown));
}

BOOST_AUTO_TEST_CASE(lost_ownership_ends_every_state)
{
  MakeWarm();
  life.Process(OwnershipLost{});
  BOOST_TEST((life.State() == ReplicaState::Gone));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
