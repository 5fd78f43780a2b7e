#pragma once

#include "core/timer_service.h"
#include "net/http_client.h"
#include "upstream/failure_rate.h"
#include "upstream/fleet_weights.h"
#include "upstream/replica_availability.h"
#include "upstream/replica_choice.h"
#include "upstream/replica_protocol.h"
#include "upstream/replica_registry.h"
#include "upstream/replica_speed.h"
#include "upstream/token_bucket.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwing::upstream {

/** How an attempt at a replica ended. */
enum class AttemptStatus
{
  /** A complete, successful answer. */
  Answered,
  /** The replica answered with an error. */
  Failed,
  /** The replica says that it did not run the request. */
  NotRun,
  /** The address now belongs to another replica; the request did not run. */
  WrongReplica,
  /** No connection could be made, or it was closed before a byte was written. */
  NothingSent,
  /** The connection was lost after bytes were written; the request may have run. */
  Lost,
  /** No answer came in time; the request may have run. */
  TimedOut,
  /** The answer was not valid HTTP, or belonged to other requests; the request may have run. */
  Garbled,
  /** There was no memory for the answer; the request has run. */
  Dropped,
};

/** @return the name of a status, for logs and metric labels. */
std::string_view
NameOf(AttemptStatus aStatus);

/** @return whether a request whose attempt ended so has certainly not run. */
bool
IsCertainlyNotRun(AttemptStatus aStatus);

/** The outcome of one attempt. */
struct AttemptResult
{
  AttemptStatus status = AttemptStatus::Lost;
  net::HttpResponse response;
  std::string signature;
  /** Time since the request was sent, without opening a connection; zero when nothing was sent. */
  core::Duration exchangeTime{};
  bool wasCancelled = false;
};

/** Receives the result of an attempt, exactly once. */
using AttemptCallback = std::function<void(AttemptResult)>;

/** An attempt in progress. */
class Attempt
{
public:
  Attempt(const AnnouncedReplica& aReplica, core::TimePoint aStart, core::Duration aTypicalTime);

  /** Cancels the attempt and closes its connection, so that the replica can stop the work. */
  void Cancel();

  const std::string& Replica() const { return mReplica; }

  /** @return the start of the replica's process in Unix milliseconds; 0 when it doesn't say. */
  std::uint64_t ProcessStart() const { return mProcessStart; }

  core::TimePoint Start() const { return mStart; }

  bool IsCancelled() const { return mIsCancelled; }

  /** @return the typical time of an exchange with this replica. */
  core::Duration TypicalTime() const { return mTypicalTime; }

private:
  friend class ReplicaClient;

  std::string mReplica;
  std::uint64_t mProcessStart;
  core::TimePoint mStart;
  /** When the request was sent; nothing before that. */
  std::optional<core::TimePoint> mSentAt;
  core::Duration mTypicalTime;
  bool mIsCancelled = false;
  std::shared_ptr<net::HttpConnection> mConnection;
  /** Ids of the requests that the replica has refused on this connection. */
  std::vector<std::string> mRefusedIds;
};

/** Timeouts and limits of the exchanges with replicas. */
struct ReplicaClientSettings
{
  /** Timeout for opening a connection: twice the longest round trip, and the handshake. */
  core::Duration connectTimeout = std::chrono::milliseconds{ 400 };
  /** Timeout for a connection that only shows whether the replica can be reached. */
  core::Duration testTimeout = std::chrono::milliseconds{ 250 };
  /** Time after the deadline in which a replica's own error may still arrive. */
  core::Duration answerSlack = std::chrono::milliseconds{ 150 };
  /**
   * A connection that was idle for longer may be closed already, so a request that must not run
   * twice doesn't use it.
   */
  core::Duration maxIdleForNonIdempotent = std::chrono::milliseconds{ 1000 };
  /** Time that a new connection costs the replica. */
  core::Duration handshakeTime = std::chrono::milliseconds{ 6 };
  /** Idle timeout of a connection when the replica doesn't announce one. */
  core::Duration idleTimeout = std::chrono::seconds{ 4 };
  /** Share of the replica's idle timeout after which a connection isn't reused. */
  double idleShare = 0.8;
  /** Time for which a failing replica is avoided; doubles with each further failure. */
  core::Duration minSuspicion = std::chrono::milliseconds{ 400 };
  core::Duration maxSuspicion = std::chrono::seconds{ 3 };
  /** Assumed service time of a request until it is measured. */
  core::Duration assumedServiceTime = std::chrono::milliseconds{ 10 };
  /** Without an answer for this long, the measured times are outdated. */
  core::Duration statisticsAge = std::chrono::seconds{ 3 };
};

/** Why a request is sent to a replica. */
enum class AttemptKind
{
  First,
  Retry,
  Hedge,
};

/** A sign that a replica can be reached, or that it can't. */
enum class ReplicaContact
{
  /** It has answered a request, whatever the answer. */
  Answered,
  /** It has accepted a new connection. */
  Connected,
  /** A new connection could not be opened. */
  ConnectFailed,
};

/** Requests that this daemon sent to a replica while its rate was limited. */
struct LimitedUse
{
  std::uint32_t first = 0;
  /** Retries and hedges. */
  std::uint32_t extra = 0;
};

/** The callbacks of a client to its owner. */
struct ReplicaClientHooks
{
  /** Called whenever an attempt has ended and there may be room for another. */
  std::function<void()> onFree;
  /** Called when the replica says that it shuts down, or asks for a pause in requests. */
  std::function<void(AvailabilityChange)> onAvailabilityChange;
  /** Called when the limit on the rate of requests changes. */
  std::function<void(RateLimitChange)> onRateLimitChange;
  /** @return a random number from 0 to 1. */
  std::function<double()> drawJitter;
  /** Called with each sign that the replica can or can't be reached. */
  std::function<void(ReplicaContact)> onContact;
};

/**
 * The pool of connections to one replica, with the statistics that its answers give.
 *
 * Not thread-safe. Running tasks keep it alive.
 */
class ReplicaClient : public std::enable_shared_from_this<ReplicaClient>
{
public:
  /**
   * @param aRoundTrip assumed round trip to the replica, by its location.
   * @param aAvailability what an earlier client learned of the same process.
   */
  ReplicaClient(boost::asio::any_io_executor aExecutor,
                core::TimerService& aTimers,
                net::HttpConnectionFactory aMakeConnection,
                const ReplicaProtocol& aProtocol,
                ReplicaClientSettings aSettings,
                AnnouncedReplica aReplica,
                core::Duration aRoundTrip,
                ReplicaAvailability aAvailability,
                ReplicaClientHooks aHooks);

  /** Applies a new announcement. A new process starts with empty statistics. */
  void Update(AnnouncedReplica aReplica);

  const AnnouncedReplica& Replica() const { return mReplica; }

  /** @return the measured round trip, nothing before the first connection. */
  std::optional<core::Duration> MeasuredRoundTrip() const;

  /**
   * Sets the round trip as measured at replicas in the same location; ignored once it is measured
   * here.
   */
  void SetAssumedRoundTrip(core::Duration aRoundTrip);

  /** Sets how many connections may be open, and how many of them idle. */
  void SetQuota(ConnectionQuota aQuota) { mQuota = aQuota; }

  /**
   * Opens a connection when there is none, and closes expired idle ones. A hedge then takes one
   * round trip, instead of two and a handshake.
   */
  void KeepWarm();

  /** @return the figures that a choice between replicas needs. */
  ReplicaCandidate Candidate() const;

  /** @return whether the replica started recently and is still slow, by its announcement. */
  bool IsCold() const { return mTimers.Now() < mColdUntil; }

  /**
   * @return whether an answer has shown that the address belongs to another replica now, and
   *         nothing newer has been announced.
   */
  bool IsAddressReassigned() const { return mIsAddressReassigned; }

  /** @return whether the process that is announced now has answered a request. */
  bool HasAnswered() const { return mHasAnswered; }

  /** @return the availability of the replica, by its own answers. */
  const ReplicaAvailability& Availability() const { return mAvailability; }

  /** This daemon's limit on the request rate while the replica is cold. */
  TokenBucket& ColdLimiter() { return mColdRate; }

  /** The limit on the request rate that the replica names itself. */
  ReplicaRateLimit& RateLimit() { return mAvailability.RateLimit(); }
  const ReplicaRateLimit& RateLimit() const { return mAvailability.RateLimit(); }

  /**
   * Sends a request.
   *
   * @param aKind counted while the rate is limited.
   * @param aDeadline when the caller stops waiting; the replica is told the remaining time.
   * @param aCallback receives the result, exactly once.
   * @return the attempt, which can be cancelled.
   */
  std::shared_ptr<Attempt> Send(std::shared_ptr<const ForwardedRequest> aRequest,
                                AttemptKind aKind,
                                core::TimePoint aDeadline,
                                AttemptCallback aCallback);

  /** @return what was sent while the rate was limited since the last call. */
  LimitedUse TakeLimitedUse() { return std::exchange(mLimitedUse, {}); }

  /** @return whether the replica is shutting down, so that its process may end. */
  bool MayEnd() const { return mIsRetired || mReplica.isDraining || mAvailability.IsLeaving(); }

  /** Records that the replica's process has ended. */
  void RecordEnd();

  /**
   * Opens a connection after this call, and keeps it for a request.
   *
   * @param aCallback called once, later, with whether the replica accepted the connection.
   */
  void TestConnection(std::function<void(bool)> aCallback);

  /** @return whether a connection is open and free. */
  bool HasIdleConnection() const;

  /** Forgets the failures that made the replica suspect. */
  void ForgetFailures();

  /** @return whether the last new connection could not be opened. */
  bool HasConnectFailed() const { return mHasConnectFailed; }

  /** @return when the oldest request that is not answered yet was sent, nothing when there is none.
   */
  std::optional<core::TimePoint> OldestAttempt() const;
  /** @return how many attempts may run at once. */
  std::size_t MaxInFlight() const;

  /** Closes idle connections and lets running attempts end. No further request may be sent. */
  void Retire();

private:
  struct IdleConnection
  {
    std::shared_ptr<net::HttpConnection> connection;
    core::TimePoint idleSince;
    core::TimePoint usableUntil;
    /**
     * Requests that were refused on it. A second copy of such a refusal may still arrive, and would
     * be taken for the answer to another attempt at the same request.
     */
    std::vector<std::string> refusedIds;
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  net::HttpConnectionFactory mMakeConnection;
  const ReplicaProtocol& mProtocol;
  ReplicaClientSettings mSettings;
  AnnouncedReplica mReplica;
  core::Duration mRoundTrip;
  bool mIsRoundTripMeasured = false;
  ReplicaAvailability mAvailability;
  ReplicaClientHooks mHooks;
  ConnectionQuota mQuota;
  /** Leaves connections for answers that don't wait for memory. */
  std::shared_ptr<net::MemoryWaitLimit> mMemoryWaits = std::make_shared<net::MemoryWaitLimit>();
  /** The replica's idle timeout for connections, as last announced. */
  core::Duration mIdleTimeout;
  bool mIsPreconnecting = false;
  /** The callbacks of the next test of the connection; the running one was started before. */
  std::vector<std::function<void(bool)>> mConnectionTests;
  bool mIsTestingConnection = false;
  bool mHasConnectFailed = false;
  std::vector<IdleConnection> mIdle;
  std::vector<core::TimePoint> mAttemptStarts;
  /** Average time of an exchange at usual speed. */
  core::Duration mTypicalTime;
  core::TimePoint mLastAnswerAt;
  /** Whether mTypicalTime has been measured. */
  bool mHasAnswered = false;
  core::TimePoint mColdUntil{};
  TokenBucket mColdRate{ 1.0, {} };
  LimitedUse mLimitedUse;
  LoadReport mLoad;
  core::TimePoint mLoadAt{};
  /** Share of the slots that the reported requests take, averaged over the reports. */
  double mUse = 0.0;
  ReplicaSpeed mSpeed;
  /** Consecutive failures. */
  std::uint32_t mFailures = 0;
  FailureRate mFailureRate;
  core::TimePoint mSuspectUntil{};
  bool mIsAddressReassigned = false;
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
  core::Task<AttemptResult> ReadOwnAnswer(std::shared_ptr<Attempt> aAttempt,
                                          net::HttpResult aReply,
                                          const std::string& aId,
                                          core::TimePoint aSentAt,
                                          core::TimePoint aDeadline);
  bool MaySend(const Attempt& aAttempt, core::TimePoint aDeadline) const;
  void HandleNotice(const ReplicaNotice& aNotice, core::TimePoint aSentAt);
  core::Task<void> Preconnect(std::shared_ptr<ReplicaClient> aSelf);
  core::Task<void> RunConnectionTests(std::shared_ptr<ReplicaClient> aSelf);
  void RecordConnectFailure();
  void RecordConnected(core::Duration aTook);
  void DropStale();
  bool TakeIdle(const ForwardedRequest& aRequest, Attempt& aAttempt);
  void Release(std::shared_ptr<net::HttpConnection> aConnection,
               std::vector<std::string> aRefusedIds = {});
  void RecordLoad(const LoadReport& aLoad);
  void RecordResult(const Attempt& aAttempt, AttemptStatus aStatus);
  void Suspect(std::string_view aReason);
  void MarkAddressReassigned();
  void RemoveStart(core::TimePoint aStart);
};

} // namespace skylarkwing::upstream
