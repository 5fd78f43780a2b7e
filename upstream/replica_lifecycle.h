#pragma once

#include "upstream/replica_status.h"
#include "upstream/upstream_connection.h"

#include <functional>
#include <memory>

namespace skylarkwing::upstream {

/** A connection was made to a replica that was gone. */
struct Connected
{};

/** The replica answered on a connection of its present process and reported its state. */
struct Answered
{
  UpstreamState state;
};

/** The replica refused a request as overload; its state arrives with Answered. */
struct Shed
{};

/** A request failed without an answer, on a connection that the owner then closed. */
struct RequestFailed
{};

/** The replica closed or reset a connection. */
struct ConnectionReset
{};

/** Another process answers at the replica's address. */
struct IncarnationChanged
{};

/** Answers take much longer than before. */
struct LatencyRose
{};

/** The warm-up ramp has reached all slots. */
struct RampCompleted
{};

/** No connection can be made. */
struct Unreachable
{};

/** Operators took the replica's failure domain out of service. */
struct DomainOut
{};

/** Operators brought the replica's failure domain back. */
struct DomainIn
{};

/** The load endpoint reported a state, and no answer is recent enough to take precedence. */
struct LoadReported
{
  UpstreamState state;
};

/** This daemon no longer owns the replica. */
struct OwnershipLost
{};

/** The permit to send to a replica that is not warm was lost. */
struct PermitLost
{};

/**
 * The state machine of one replica, as its owner sees it, with a typed event for each cause.
 *
 * Only a process that was seen on a connection can be warm: whenever it is uncertain which process
 * is at the other end, the state becomes Unknown, which is treated as cold.
 */
class ReplicaLifecycle
{
public:
  /** Called after each change of state. */
  using Listener = std::function<void(ReplicaState aFrom, ReplicaState aTo)>;

  /** @param aListener called after each change of state; it must not send events. */
  explicit ReplicaLifecycle(Listener aListener);
  ReplicaLifecycle(const ReplicaLifecycle&) = delete;
  ReplicaLifecycle& operator=(const ReplicaLifecycle&) = delete;
  ~ReplicaLifecycle();

  /** @return the present state. */
  ReplicaState State() const { return mState; }

  /** Processes an event; one without a transition in the present state is ignored. */
  void Process(const Connected& aEvent);
  void Process(const Answered& aEvent);
  void Process(const Shed& aEvent);
  void Process(const RequestFailed& aEvent);
  void Process(const ConnectionReset& aEvent);
  void Process(const IncarnationChanged& aEvent);
  void Process(const LatencyRose& aEvent);
  void Process(const RampCompleted& aEvent);
  void Process(const Unreachable& aEvent);
  void Process(const DomainOut& aEvent);
  void Process(const DomainIn& aEvent);
  void Process(const LoadReported& aEvent);
  void Process(const OwnershipLost& aEvent);
  void Process(const PermitLost& aEvent);

private:
  struct Machine;

  Listener mListener;
  ReplicaState mState = ReplicaState::Unknown;
  std::unique_ptr<Machine> mMachine;

  template<typename Event>
  void ProcessEvent(const Event& aEvent);
};

} // namespace skylarkwing::upstream
