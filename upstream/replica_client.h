#pragma once

#include "core/timer_service.h"
#include "net/http_client.h"
#include "upstream/failure_rate.h"
#include "upstream/fleet_weights.h"
#include "upstream/replica_availability.h"
#include "upstream/replica_choice.h"
#include "upstream/replica_protocol.h"
#include "upstream/replica_registry.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::upstream {

/** How one attempt at one replica ended. */
enum class AttemptStatus
{
  /** A whole success. */
  Answered,
  /** The replica's own failure. */
  Failed,
  /** The replica says that it did not run the request. */
  NotRun,
  /** The address belongs to another replica now; nothing ran. */
  WrongReplica,
  /** No connection, or it was closed before a byte was written. */
  NothingSent,
  /** The connection ended after bytes were written; the request may have run. */
  Lost,
  /** No answer came in time; the request may have run. */
  TimedOut,
  /** The answer was no HTTP, or belonged to other requests; the request may have run. */
  Garbled,
};

/** @return the name of a status, for logs and metric labels. */
std::string_view
NameOf(AttemptStatus aStatus);

/** @return whether a request with this end has certainly not run. */
bool
IsCertainlyNotRun(AttemptStatus aStatus);

/** What came of one attempt. */
struct AttemptResult
{
  AttemptStatus status = AttemptStatus::Lost;
  net::HttpResponse response;
  std::string signature;
};

/** Receives the result of an attempt, exactly once. */
using AttemptCallback = std::function<void(AttemptResult)>;

/** An attempt that runs. */
class Attempt
{
public:
  Attempt(std::string aReplica, core::TimePoint aStart, core::Duration aTypicalTime);

  /** Gives it up: its connection is closed, so that the replica may stop. */
  void Cancel();

  const std::string& Replica() const { return mReplica; }
  core::TimePoint Start() const { return mStart; }

  /** @return how long an exchange with this replica usually takes. */
  core::Duration TypicalTime() const { return mTypicalTime; }

private:
  friend class ReplicaClient;

  std::string mReplica;
  core::TimePoint mStart;
  core::Duration mTypicalTime;
  bool mIsCancelled = false;
  std::shared_ptr<net::HttpConnection> mConnection;
};

/** Times and limits of the exchange with replicas. */
struct ReplicaClientSettings
{
  /** How long a connection may take; twice the longest way there and back, and the handshake. */
  core::Duration connectTimeout = std::chrono::milliseconds{ 400 };
  /** How long after its deadline a replica's own failure may still arrive. */
  core::Duration answerSlack = std::chrono::milliseconds{ 150 };
  /** What a replica may forget sooner than it says isn't used for what must not run twice. */
  core::Duration maxIdleForNonIdempotent = std::chrono::milliseconds{ 1000 };
  /** Work that a new connection costs a replica. */
  core::Duration handshakeTime = std::chrono::milliseconds{ 6 };
  /** How long an idle connection is kept when the replica doesn't say. */
  core::Duration idleTimeout = std::chrono::seconds{ 4 };
  /** Share of the replica's idle time after which a connection isn't used again. */
  double idleShare = 0.8;
  /** How long a replica that failed is avoided; doubles with each further failure. */
  core::Duration minSuspicion = std::chrono::milliseconds{ 400 };
  core::Duration maxSuspicion = std::chrono::seconds{ 3 };
  /** Assumed until measured: the work of a request. */
  core::Duration assumedServiceTime = std::chrono::milliseconds{ 10 };
  /** After so long without an answer the measured times count no more. */
  core::Duration statisticsAge = std::chrono::seconds{ 3 };
};

/** What a link tells its owner, and asks of it. */
struct ReplicaClientHooks
{
  /** Called whenever a connection becomes free. */
  std::function<void()> onFree;
  /** Called when the replica says that it leaves, or a rest begins. */
  std::function<void(AvailabilityChange)> onAvailabilityChange;
  /** @return a random number from 0 to 1. */
  std::function<double()> drawSpread;
};

/**
 * The connections to one replica, and what its answers tell about it.
 *
 * Not thread-safe. Tasks that run keep it alive.
 */
class ReplicaClient : public std::enable_shared_from_this<ReplicaClient>
{
public:
  /**
   * @param aWay usual time there and back, from where the replica stands.
   * @param aStanding what an earlier link has learned of the same process.
   */
  ReplicaClient(boost::asio::any_io_executor aExecutor,
                core::TimerService& aTimers,
                net::HttpConnectionFactory aMakeLink,
                const ReplicaProtocol& aProtocol,
                ReplicaClientSettings aSettings,
                AnnouncedReplica aReplica,
                core::Duration aRoundTrip,
                ReplicaAvailability aAvailability,
                ReplicaClientHooks aHooks);

  /** Takes in what the replica announces. A new process starts with no history. */
  void Update(AnnouncedReplica aReplica);

  const AnnouncedReplica& Replica() const { return mReplica; }

  /** @return the way there and back, nothing until a connection has shown it. */
  std::optional<core::Duration> MeasuredRoundTrip() const;

  /** Sets the way there and back as replicas at the same place have shown it. */
  void SetAssumedRoundTrip(core::Duration aRoundTrip);

  /** Sets how many connections may be open, and kept. */
  void SetQuota(ConnectionQuota aQuota) { mQuota = aQuota; }

  /**
   * Opens a connection when none is open, and closes those whose time is over. A hedge then takes
   * one way there and back, not two and a handshake.
   */
  void KeepWarm();

  /** @return what a choice needs to know. */
  ReplicaCandidate View() const;

  /** @return whether the replica has lately started, by what it announced. */
  bool IsCold() const { return mTimers.Now() < mColdUntil; }

  /**
   * @return whether an answer has shown that the address belongs to another replica now, and
   *         nothing newer has been announced.
   */
  bool IsElsewhere() const { return mIsElsewhere; }

  /** @return what the replica has asked for in its answers. */
  const ReplicaAvailability& Availability() const { return mAvailability; }

  /** The part of a cold replica's rate that this daemon may use. */
  ColdRateLimiter& Cold() { return mColdRate; }

  /**
   * Sends a request.
   *
   * @param aDeadline when the caller stops waiting; the replica is told what is left.
   */
  std::shared_ptr<Attempt> Send(std::shared_ptr<const ForwardedRequest> aRequest,
                                core::TimePoint aDeadline,
                                AttemptCallback aCallback);

  /** Closes idle connections and lets running attempts end; nothing more may be sent. */
  void Retire();

private:
  struct IdleConnection
  {
    std::shared_ptr<net::HttpConnection> connection;
    core::TimePoint idleSince;
    core::TimePoint usableUntil;
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  net::HttpConnectionFactory mMakeLink;
  const ReplicaProtocol& mProtocol;
  ReplicaClientSettings mSettings;
  AnnouncedReplica mReplica;
  core::Duration mRoundTrip;
  bool mIsRoundTripMeasured = false;
  ReplicaAvailability mAvailability;
  ReplicaClientHooks mHooks;
  ConnectionQuota mQuota;
  /** How long the replica keeps idle connections, as it last said. */
  core::Duration mIdleTimeout;
  bool mIsWarming = false;
  std::vector<IdleConnection> mIdle;
  std::vector<core::TimePoint> mStarts;
  core::Duration mTypicalTime;
  core::TimePoint mLastAnswerAt;
  core::TimePoint mColdUntil{};
  ColdRateLimiter mColdRate;
  LoadReport mLoad;
  core::TimePoint mLoadAt{};
  /** Failures in a row. */
  std::uint32_t mFailures = 0;
  FailureRate mFailureRate;
  core::TimePoint mSuspectUntil{};
  bool mIsElsewhere = false;
  bool mIsRetired = false;

  core::Task<void> Run(std::shared_ptr<ReplicaClient> aSelf,
                       std::shared_ptr<Attempt> aAttempt,
                       std::shared_ptr<const ForwardedRequest> aRequest,
                       core::TimePoint aDeadline,
                       AttemptCallback aCallback);
  core::Task<AttemptResult> Exchange(std::shared_ptr<Attempt> aAttempt,
                                     std::shared_ptr<const ForwardedRequest> aRequest,
                                     core::TimePoint aDeadline);
  core::Task<bool> Connect(std::shared_ptr<Attempt> aAttempt, core::TimePoint aDeadline);
  core::Task<AttemptResult> ReadOwnAnswer(std::shared_ptr<net::HttpConnection> aConnection,
                                          net::HttpResult aReply,
                                          const std::string& aId,
                                          core::TimePoint aDeadline);
  bool MaySend(const Attempt& aAttempt, core::TimePoint aDeadline) const;
  void HandleNotice(const ReplicaNotice& aNotice);
  core::Task<void> Warm(std::shared_ptr<ReplicaClient> aSelf);
  void RecordRoundTrip(core::Duration aConnectTime);
  void DropStale();
  std::shared_ptr<net::HttpConnection> TakeIdle(bool aIsIdempotent);
  void Release(std::shared_ptr<net::HttpConnection> aConnection);
  void RecordResult(const Attempt& aAttempt, AttemptStatus aStatus);
  void Suspect(std::string_view aReason);
  void SetElsewhere();
  void ForgetStart(core::TimePoint aStart);
};

} // namespace skylarkwing::upstream
