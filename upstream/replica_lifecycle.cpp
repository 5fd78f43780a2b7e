#include "upstream/replica_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <utility>

namespace skylarkwing::upstream {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

template<ReplicaState kState>
struct StateOf : public msm::front::state<>
{
  template<typename Event, typename Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.state = kState;
  }
};

/** Guard: accepts an event that carries that state. */
template<UpstreamState kState>
struct Says
{
  template<typename Event, typename Machine, typename Source, typename Target>
  bool operator()(const Event& aEvent, Machine&, Source&, Target&) const
  {
    return aEvent.state == kState;
  }
};

using SaysCold = Says<UpstreamState::Cold>;
using SaysWarm = Says<UpstreamState::Warm>;
using SaysDraining = Says<UpstreamState::Draining>;

/** Guard: accepts a report of any state except draining. */
struct SaysServing
{
  template<typename Event, typename Machine, typename Source, typename Target>
  bool operator()(const Event& aEvent, Machine&, Source&, Target&) const
  {
    return aEvent.state != UpstreamState::Draining;
  }
};

using UnknownState = StateOf<ReplicaState::Unknown>;
using ColdState = StateOf<ReplicaState::Cold>;
using WarmingState = StateOf<ReplicaState::Warming>;
using WarmState = StateOf<ReplicaState::Warm>;
using DrainingState = StateOf<ReplicaState::Draining>;
using OutState = StateOf<ReplicaState::Out>;
using GoneState = StateOf<ReplicaState::Gone>;

/** The states in which a replica gets new requests. */
struct ServingFront : public msm::front::state_machine_def<ServingFront>
{
  using initial_state = UnknownState;

  ReplicaState state = ReplicaState::Unknown;

  // Boost.MSM looks the table up by this name. NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
    : boost::mpl::vector16<Row<UnknownState, Answered, ColdState, none, SaysCold>,
                           Row<UnknownState, Answered, WarmingState, none, SaysWarm>,
                           Row<UnknownState, LoadReported, ColdState, none, SaysCold>,
                           Row<ColdState, Answered, WarmingState, none, SaysWarm>,
                           Row<WarmingState, Answered, ColdState, none, SaysCold>,
                           Row<WarmingState, LoadReported, ColdState, none, SaysCold>,
                           Row<WarmingState, Shed, ColdState, none, none>,
                           Row<WarmingState, RequestFailed, ColdState, none, none>,
                           Row<WarmingState, LatencyRose, ColdState, none, none>,
                           Row<WarmingState, PermitLost, ColdState, none, none>,
                           Row<WarmingState, RampCompleted, WarmState, none, none>,
                           Row<WarmState, Answered, ColdState, none, SaysCold>,
                           Row<WarmState, LoadReported, ColdState, none, SaysCold>,
                           Row<WarmState, RequestFailed, UnknownState, none, none>,
                           Row<WarmState, LatencyRose, WarmingState, none, none>,
                           Row<ColdState, RequestFailed, UnknownState, none, none>>
  {};

  template<typename Event, typename Machine>
  void no_transition(const Event&, Machine&, int)
  {
  }
};

using ServingState = msm::back::state_machine<ServingFront>;

/** The complete state machine. Entering Serving always starts at Unknown. */
struct LifecycleFront : public msm::front::state_machine_def<LifecycleFront>
{
  using initial_state = ServingState;

  ReplicaState state = ReplicaState::Unknown;

  // Boost.MSM looks the table up by this name. NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
    : boost::mpl::vector20<Row<ServingState, ConnectionReset, ServingState, none, none>,
                           Row<ServingState, IncarnationChanged, ServingState, none, none>,
                           Row<ServingState, Unreachable, GoneState, none, none>,
                           Row<ServingState, DomainOut, OutState, none, none>,
                           Row<ServingState, OwnershipLost, GoneState, none, none>,
                           Row<ServingState, Answered, DrainingState, none, SaysDraining>,
                           Row<ServingState, LoadReported, DrainingState, none, SaysDraining>,
                           Row<DrainingState, IncarnationChanged, ServingState, none, none>,
                           Row<DrainingState, LoadReported, ServingState, none, SaysServing>,
                           Row<DrainingState, ConnectionReset, GoneState, none, none>,
                           Row<DrainingState, Unreachable, GoneState, none, none>,
                           Row<DrainingState, DomainOut, OutState, none, none>,
                           Row<DrainingState, OwnershipLost, GoneState, none, none>,
                           Row<OutState, DomainIn, ServingState, none, none>,
                           Row<OutState, OwnershipLost, GoneState, none, none>,
                           Row<GoneState, Connected, ServingState, none, none>,
                           Row<GoneState, IncarnationChanged, ServingState, none, none>,
                           Row<GoneState, DomainOut, OutState, none, none>,
                           Row<GoneState, Answered, DrainingState, none, SaysDraining>,
                           Row<GoneState, LoadReported, DrainingState, none, SaysDraining>>
  {};

  template<typename Event, typename Machine>
  void no_transition(const Event&, Machine&, int)
  {
  }
};

using LifecycleMachine = msm::back::state_machine<LifecycleFront>;

/** Index of the Serving state in the order in which MSM numbers the states of the table. */
constexpr int kServingIndex = 0;

} // namespace

struct ReplicaLifecycle::Machine
{
  LifecycleMachine lifecycle;

  ReplicaState Current()
  {
    if (lifecycle.current_state()[0] == kServingIndex) {
      return lifecycle.get_state<ServingState&>().state;
    }
    return lifecycle.state;
  }
};

ReplicaLifecycle::ReplicaLifecycle(Listener aListener)
  : mListener(std::move(aListener))
  , mMachine(std::make_unique<Machine>())
{
  mMachine->lifecycle.start();
}

ReplicaLifecycle::~ReplicaLifecycle() = default;

template<typename Event>
void
ReplicaLifecycle::ProcessEvent(const Event& aEvent)
{
  mMachine->lifecycle.process_event(aEvent);
  const ReplicaState from = std::exchange(mState, mMachine->Current());
  if (from != mState && mListener) {
    mListener(from, mState);
  }
}

void
ReplicaLifecycle::Process(const Connected& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const Answered& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const Shed& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const RequestFailed& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const ConnectionReset& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const IncarnationChanged& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const LatencyRose& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const RampCompleted& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const Unreachable& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const DomainOut& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const DomainIn& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const LoadReported& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const OwnershipLost& aEvent)
{
  ProcessEvent(aEvent);
}

void
ReplicaLifecycle::Process(const PermitLost& aEvent)
{
  ProcessEvent(aEvent);
}

} // namespace skylarkwing::upstream
