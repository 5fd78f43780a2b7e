#include "upstream/tests/dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;

/** The faults that may occur in one step of a schedule. */
enum class Fault
{
  None,
  Restart,
  TurnCold,
  BreakConnections,
  MisaddressAnswer,
  Shed,
  ShedNoMore,
  DrainAndReplace,
  DomainOut,
  DomainIn,
  MoveOwner,
  BothOwn,
  PermitLapses,
  StoreDown,
  StoreUp,
  SlowAnswers,
  NormalAnswers,
  CancelLatest,
};

constexpr int kFaults = static_cast<int>(Fault::CancelLatest) + 1;

/** Two daemons and one replica under a schedule of faults. */
class Schedule : public DispatcherFixture
{
public:
  FakeUpstream& upstream = AddUpstream("r1");
  std::uint32_t turnedCold = 0;

  Schedule()
  {
    upstream.searchesUntilWarm = 10;
    AddDispatcher("vm-1").SetOwned({ Declare("r1") });
    AddDispatcher("vm-2");
  }

  void Step(Fault aFault, std::uint32_t aParts, std::uint32_t aMilliseconds)
  {
    Inject(aFault);
    for (std::uint32_t n = 0; n < aParts; ++n) {
      mIds.push_back(Send(n % 4 == 3 ? "vm-2" : "vm-1", "r1", milliseconds{ 40 }));
    }
    RunFor(milliseconds{ aMilliseconds });
  }

  void Finish()
  {
    RunFor(std::chrono::seconds{ 2 });
    RC_ASSERT(upstream.Running() == 0U);
    for (const std::string& id : mIds) {
      Check(id);
    }
    RC_ASSERT(upstream.maxConnections <= upstream.connectionLimit);
    // A process that turned cold unnoticed may only be overloaded by the requests one daemon had in
    // flight.
    RC_ASSERT(upstream.overloadedWhileCold <= turnedCold * (upstream.slots - upstream.coldSlots));
  }

private:
  std::vector<std::string> mIds;
  bool mIsOut = false;

  void Check(const std::string& aId)
  {
    const Ended& end = ended[aId];
    RC_ASSERT(end.count == 1);
    RC_ASSERT(upstream.runs[aId] <= 1U);
    if (end.answer.status == PartStatus::NotRun) {
      RC_ASSERT(upstream.runs[aId] == 0U);
    }
    if (end.answer.status == PartStatus::Answered) {
      RC_ASSERT(end.answer.hits.size() == 1U);
      RC_ASSERT(end.answer.hits[0].id == "hit-of-" + aId);
    }
  }

  void Own(bool aFirst, bool aSecond)
  {
    dispatchers["vm-1"]->SetOwned(aFirst ? std::vector<OwnedReplica>{ Declare("r1", mIsOut) }
                                         : std::vector<OwnedReplica>{});
    dispatchers["vm-2"]->SetOwned(aSecond ? std::vector<OwnedReplica>{ Declare("r1", mIsOut) }
                                          : std::vector<OwnedReplica>{});
  }

  void TurnCold()
  {
    turnedCold += upstream.state == UpstreamState::Warm ? 1U : 0U;
    upstream.TurnCold();
  }

  void Inject(Fault aFault)
  {
    switch (aFault) {
      case Fault::None:
        return;
      case Fault::Restart:
        return upstream.Restart();
      case Fault::TurnCold:
        return TurnCold();
      case Fault::BreakConnections:
        return upstream.BreakConnections();
      case Fault::MisaddressAnswer:
        upstream.misaddressesNextAnswer = true;
        return;
      case Fault::Shed:
        upstream.shedReason = ShedReason::Overloaded;
        return;
      case Fault::ShedNoMore:
        upstream.shedReason.reset();
        return;
      case Fault::DrainAndReplace:
        upstream.state = UpstreamState::Draining;
        RunFor(milliseconds{ 20 });
        return upstream.Restart();
      case Fault::DomainOut:
      case Fault::DomainIn:
        mIsOut = aFault == Fault::DomainOut;
        return Own(true, false);
      case Fault::MoveOwner:
        return Own(false, true);
      case Fault::BothOwn:
        return Own(true, true);
      case Fault::PermitLapses:
        return LapsePermits(milliseconds{ 40 });
      case Fault::StoreDown:
      case Fault::StoreUp:
        permits.isDown = aFault == Fault::StoreDown;
        return;
      case Fault::SlowAnswers:
        upstream.serviceTime = milliseconds{ 30 };
        return;
      case Fault::NormalAnswers:
        upstream.serviceTime = milliseconds{ 4 };
        return;
      case Fault::CancelLatest:
        if (!mIds.empty()) {
          dispatchers["vm-1"]->Cancel(mIds.back());
        }
        return;
    }
  }
};

void
RunSchedule(const std::vector<Fault>& aExcluded)
{
  Schedule schedule;
  const int steps = *rc::gen::inRange(1, 60);
  for (int n = 0; n < steps; ++n) {
    const auto fault = static_cast<Fault>(*rc::gen::inRange(0, kFaults));
    const auto parts = *rc::gen::inRange<std::uint32_t>(0, 8);
    const auto span = *rc::gen::inRange<std::uint32_t>(1, 30);
    const bool isExcluded = std::find(aExcluded.begin(), aExcluded.end(), fault) != aExcluded.end();
    schedule.Step(isExcluded ? Fault::None : fault, parts, span);
  }
  schedule.Finish();
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_schedule)

BOOST_AUTO_TEST_CASE(one_owner_under_any_faults)
{
  const std::vector<Fault> excluded{ Fault::BothOwn, Fault::MoveOwner };
  BOOST_TEST(rc::check("one owner", [&excluded] { RunSchedule(excluded); }));
}

BOOST_AUTO_TEST_CASE(owners_that_change_and_overlap)
{
  BOOST_TEST(rc::check("changing owners", [] { RunSchedule({ Fault::TurnCold }); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
