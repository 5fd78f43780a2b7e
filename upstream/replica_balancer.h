#pragma once

#include "core/log_rate_limiter.h"
#include "core/random_source.h"
#include "declaration/routing_table.h"
#include "upstream/domain_spillover.h"
#include "upstream/partition_detector.h"
#include "upstream/process_claims.h"
#include "upstream/replica_client.h"
#include "upstream/request_terms.h"
#include "upstream/retry_budget.h"
#include "upstream/room_wait.h"
#include "upstream/shared_limits.h"
#include "upstream/version_hooks.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwing::upstream {

/** The location of this daemon, and the distances to other locations. */
struct Locality
{
  std::string failureDomain;
  std::string region;
  /** The region of each failure domain. */
  std::map<std::string, std::string> regions;
  /** Name of this daemon's VM; spreads the daemons over replicas that are equally far. */
  std::string vm;

  /** @return the region of a failure domain, empty when it isn't known. */
  const std::string& RegionOf(const std::string& aFailureDomain) const;

  /** @return where a failure domain is, seen from this daemon. */
  Proximity ProximityOf(const std::string& aFailureDomain) const;

  /** @return the assumed round trip to a failure domain. */
  core::Duration AssumedRoundTrip(const std::string& aFailureDomain) const;
};

/** Why an attempt was not started. */
enum class SendRefusal
{
  None,
  /** No replica of the service may be used that wasn't tried. */
  NoReplica,
  /** As NoReplica, and one of them is shutting down or draining. */
  Leaving,
  /** As NoReplica, and one of them has asked for a backoff. */
  Backoff,
  /** All replicas that may be used limit their rate, and this daemon's share is used up. */
  RateLimited,
  /** All replicas that may be used are busy. */
  NoRoom,
  /** This daemon is cut off from the replicas, and no connection is open that may be used. */
  Unreachable,
  /** Replicas have ended under the request, so that it may run no more. */
  Quarantined,
};

/** @return the name of a refusal, for logs. */
std::string_view
NameOf(SendRefusal aRefusal);

/** Called when a replica shuts down, or for how long it wants no requests. */
using AvailabilityHook =
  std::function<void(const AnnouncedReplica&, AvailabilityChange, core::Duration aBackoff)>;

/** Called when the limit on the rate of requests to a replica changes. */
using RateLimitHook =
  std::function<void(const AnnouncedReplica&, RateLimitChange, std::optional<double> aMaxRate)>;

/** The use of one rate-limited replica by this daemon, since the last report. */
struct LimitedUseReport
{
  std::string replica;
  std::string service;
  double maxRate = 0.0;
  LimitedUse use;
};

/** A rate limit that has ended, by an answer to this daemon. */
struct EndedRateLimit
{
  std::string replica;
  /** Time since that answer. */
  core::Duration ago{};
};

/** The constraints of one attempt. */
struct AttemptRequest
{
  std::string_view service;
  /** Name of the caller's route; evidence about versions is kept by it. */
  std::string_view route;
  AttemptKind kind = AttemptKind::First;
  /** Null means the highest priority, all regions and no customer. */
  const RequestTerms* terms = nullptr;
  /** Replicas that were tried before. */
  const std::vector<std::string>* triedReplicas = nullptr;
  /** The only replicas that may be used; null means any. */
  const std::vector<std::string>* allowedReplicas = nullptr;
  core::TimePoint deadline;
  /** Failure domains whose replicas must not be used, besides those known here; null means none. */
  const std::vector<std::string>* domainsOut = nullptr;
  /** Whether it has waited for room; others that wait then have no precedence. */
  bool hasWaited = false;
  /** Only a replica that is expected to answer sooner than this; zero means any. */
  core::Duration maxExpectedTime{};

  /** @return its priority; those that wait and are at least as important go first. */
  std::uint32_t Priority() const { return terms == nullptr ? 0 : terms->priority; }
};

/** First attempts that left the failure domain although it had a replica that answered. */
struct SpilledRequests
{
  std::uint32_t ownRegion = 0;
  std::uint32_t otherRegion = 0;
};

/** Called when requests of a service begin to leave the failure domain, or have all returned. */
using SpilloverHook = std::function<void(const std::string& aService, const SpilloverChange&)>;

/** How first attempts were given to replicas that report their speed. */
struct SpeedChoices
{
  /** The best replica got it. */
  std::uint32_t best = 0;
  /** Another one that is nearly as good got it. */
  std::uint32_t shared = 0;
};

/** An attempt that was started, or why it was not. */
struct SendResult
{
  std::shared_ptr<Attempt> attempt;
  SendRefusal refusal = SendRefusal::None;
};

/**
 * Balances requests over all replicas that may get them, and wakes waiting requests when a replica
 * has room.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ReplicaBalancer
{
public:
  /** Identifies a request that waits for room; 0 is none. */
  using WaiterId = std::uint64_t;

  ReplicaBalancer(boost::asio::any_io_executor aExecutor,
                  core::TimerService& aTimers,
                  core::RandomSource& aRandom,
                  net::HttpConnectionFactory aMakeConnection,
                  ReplicaProtocol aProtocol,
                  Locality aLocality,
                  RetryBudgetSettings aRetrySettings);
  ~ReplicaBalancer();
  ReplicaBalancer(const ReplicaBalancer&) = delete;
  ReplicaBalancer& operator=(const ReplicaBalancer&) = delete;

  /** Sets the callback for changes of a replica's availability. */
  void OnAvailabilityChange(AvailabilityHook aHook) { mOnAvailabilityChange = std::move(aHook); }

  /** Sets which versions of a service get requests; all of the hooks must be set. */
  void SetVersionHooks(VersionHooks aHooks);

  /** To be called after the rule of a service has changed. */
  void ApplyVersionRules(std::string_view aService);

  /** Sets the callback for changes of a replica's rate limit. */
  void OnRateLimitChange(RateLimitHook aHook) { mOnRateLimitChange = std::move(aHook); }

  /** @return the use of each rate-limited replica since the last call, without unused ones. */
  std::vector<LimitedUseReport> TakeLimitedUse();

  /** Sets when requests may leave the failure domain; without it, the shortest time decides. */
  void SetSpillover(const SpilloverSettings& aSettings) { mSpillover = aSettings; }

  /** Sets the callback for requests that leave the failure domain. */
  void OnSpilloverChange(SpilloverHook aHook) { mOnSpilloverChange = std::move(aHook); }

  /** @return the requests that left the failure domain since the last call. */
  SpilledRequests TakeSpilledRequests() { return std::exchange(mSpilled, {}); }

  /** @return the choices among replicas that report their speed, since the last call. */
  SpeedChoices TakeSpeedChoices() { return std::exchange(mSpeedChoices, {}); }

  /** @return the rate limits that have ended a short time ago. */
  std::vector<EndedRateLimit> EndedRateLimits() const;

  /**
   * @return the VM of a daemon that may know of the end of a limit of which this daemon has no
   *         share, and so gets no answers; nothing when there is no such limit.
   */
  std::optional<std::string> DaemonWithShare();

  /** Ends a limit by what another daemon knows, unless the replica has told it since. */
  void ApplyEndedRateLimit(const EndedRateLimit& aEnded);

  /** Sets the routing table with the limits of the services. */
  void SetTable(std::shared_ptr<const declaration::RoutingTable> aTable);

  /** Sets the weights that determine this daemon's share of the limits. */
  void SetFleetWeights(FleetWeights aFleet);

  /** @return the failure domains that are out of service. */
  std::vector<std::string> DomainsOut() const { return { mDomainsOut.begin(), mDomainsOut.end() }; }

  /** Sets whether a failure domain is out of service. */
  void SetDomainOut(const std::string& aFailureDomain, bool aIsOut);

  /** Adds or updates a replica. */
  void AddOrUpdate(const AnnouncedReplica& aReplica);

  /** Removes a replica; requests that run there may end. */
  void Remove(const std::string& aId);

  /**
   * Keeps a connection open to the nearest replica of each service in use and to a second one,
   * which gets its hedges. To be called every few hundred milliseconds.
   */
  void KeepWarm();

  /**
   * @return the expected time of an attempt at the best replica, with the wait for a share of its
   *         rate limit; nothing when there is none.
   */
  std::optional<core::Duration> ShortestExpectedTime(const AttemptRequest& aRequest);

  /**
   * @return the time until this daemon may send the request to one of the replicas, all of which
   *         limit their rate; nothing when one of them doesn't, or when there is none.
   */
  std::optional<core::Duration> RateLimitWait(const AttemptRequest& aRequest);

  /**
   * @return the expected time until a replica has room for the request, behind those that wait and
   *         are at least as important; zero when it isn't known.
   */
  core::Duration RoomWaitOf(const AttemptRequest& aRequest);

  /** @return whether a replica that the request may use limits its rate. */
  bool HasLimitedReplica(const AttemptRequest& aRequest);

  /**
   * @return the time after which a caller may retry because the backoff of a replica is over or its
   *         rate limit allows a request, with jitter so that callers don't return together; nothing
   *         when neither prevents the request, or when this daemon has no share of the limit.
   */
  std::optional<core::Duration> RetryDelay(AttemptRequest aRequest);

  /** Starts an attempt at the best replica. */
  SendResult Send(const AttemptRequest& aRequest,
                  std::shared_ptr<const ForwardedRequest> aMessage,
                  AttemptCallback aCallback);

  /**
   * Finds out whether the process of a replica has ended after a connection to it was lost: it
   * refuses a connection, and another replica accepts one, so that it isn't this daemon that is cut
   * off.
   *
   * @param aCallback called once, now or later; with false for a replica that is shutting down.
   */
  void CheckEnded(const std::string& aId, std::function<void(bool)> aCallback);

  /** Sets the callbacks of the detector of partitions; it probes the replicas by itself. */
  void SetPartitionHooks(PartitionHooks aHooks);

  /** @return whether this daemon has a network path to the replicas. */
  PartitionDetector& Partition() { return mPartition; }

  /**
   * @return whether a request to all the services can be sent while this daemon is cut off: over
   *         connections that were opened before and still get answers.
   */
  bool HasOpenPaths(const std::vector<std::string>& aServices);

  /** Looks for replicas that owe an answer. To be called every few tens of milliseconds. */
  void ReviewPartition();

  /**
   * Tries to connect to a few replicas of different services, started after this call.
   *
   * @param aCallback called once, now or later, with whether one has accepted.
   */
  void ProbeReplicas(std::function<void(bool)> aCallback);

  /** @return this daemon's share of what the fleet may do together. */
  double OwnShare() const { return mSharedLimits.OwnShare(); }

  /** Counts the first attempt of a request, which adds to the budget of extra ones. */
  void RecordFirstAttempt(std::string_view aService);

  /** Takes an extra attempt from the budget. @return whether it is allowed. */
  bool TryTakeExtraAttempt(std::string_view aService, ExtraAttempt aKind);

  /**
   * Calls back when a replica of the service has room, the most important request first, or when
   * none can be used any more.
   *
   * @param aPriority 0 is the most important.
   * @return the id for CancelWait().
   */
  WaiterId WaitForRoom(std::string_view aService,
                       std::uint32_t aPriority,
                       std::function<void()> aCallback);

  /** Removes a waiting request; an unknown id or 0 is ignored. */
  void CancelWait(std::string_view aService, WaiterId aWaiter);

  /** @return the number of known replicas, over all services. */
  std::size_t ReplicaCount() const { return mClients.size(); }

private:
  struct Service
  {
    explicit Service(core::TimePoint aProcessStart = {})
      : retryBudget(aProcessStart)
    {
    }

    std::vector<std::shared_ptr<ReplicaClient>> clients;
    RetryBudget retryBudget;
    core::TimePoint lastUse{};
    /** By priority, then by arrival. */
    std::map<std::pair<std::uint32_t, WaiterId>, std::function<void()>> waiters;
    RoomWait roomWait;
    DomainSpillover spillover;
    /** Wakes a waiter when a rate limit allows a request. */
    core::TimerId rateTimer = 0;
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  AvailabilityHook mOnAvailabilityChange =
    [](const AnnouncedReplica&, AvailabilityChange, core::Duration) {};
  RateLimitHook mOnRateLimitChange =
    [](const AnnouncedReplica&, RateLimitChange, std::optional<double>) {};
  net::HttpConnectionFactory mMakeConnection;
  ReplicaProtocol mProtocol;
  Locality mLocality;
  RetryBudgetSettings mRetrySettings;
  ReplicaClientSettings mClientSettings;
  FleetWeights mFleet;
  SharedLimits mSharedLimits;
  /** Start of this process for the retry budgets. */
  core::TimePoint mStartedAt;
  std::shared_ptr<const declaration::RoutingTable> mTable;
  std::set<std::string> mDomainsOut;
  std::map<std::string, std::shared_ptr<ReplicaClient>> mClients;
  ProcessClaims mProcessClaims;
  RemovedReplicas mRemoved;
  std::map<std::string, Service, std::less<>> mServices;
  SpeedChoices mSpeedChoices;
  std::optional<SpilloverSettings> mSpillover;
  SpilledRequests mSpilled;
  SpilloverHook mOnSpilloverChange = [](const std::string&, const SpilloverChange&) {};
  WaiterId mLastWaiter = 0;
  PartitionDetector mPartition;
  /** The callbacks of the next probe; the running one was started before. */
  std::vector<std::function<void(bool)>> mProbes;
  bool mIsProbing = false;
  bool mWasPartitioned = false;
  core::LogRateLimiter mUnconfirmedLines;
  VersionHooks mVersions;
  /** False once this object is destroyed; callbacks that come later check it. */
  std::shared_ptr<bool> mIsAlive;

  Service& ServiceOf(std::string_view aName);
  void SetQuotaOf(ReplicaClient& aClient) const;
  void ShareRoundTrips();
  bool IsInUse(const Service& aService) const;
  SendRefusal RefusalFor(const ReplicaClient& aClient, const AttemptRequest& aRequest) const;
  /** @return the refusal without regard to the replica's version. */
  SendRefusal RefusalByState(const ReplicaClient& aClient, const AttemptRequest& aRequest) const;
  const VersionRule* VersionRuleOf(std::string_view aService) const;
  /** @return whether its version is in service, or no replica of that version is left. */
  bool IsVersionServing(const ReplicaClient& aClient) const;
  bool IsCandidate(const ReplicaClient& aClient) const;
  std::shared_ptr<ReplicaClient> ChooseCandidate(const AttemptRequest& aRequest);
  AttemptCallback ObserveVersion(const ReplicaClient& aClient,
                                 const AttemptRequest& aRequest,
                                 AttemptCallback aCallback);
  bool MayUse(const ReplicaClient& aClient, const AttemptRequest& aRequest) const;
  /** @return whether another entry is likelier the own one of the replica's process. */
  bool IsLikelyCopy(const ReplicaClient& aClient) const;
  bool HasUsableReplica(std::string_view aService);
  bool HasRoom(std::string_view aService);
  static std::size_t CountAhead(const Service& aService, std::uint32_t aPriority);
  ReplicaClientHooks HooksFor(const AnnouncedReplica& aReplica);
  void OnAvailabilityChanged(const std::string& aId, AvailabilityChange aChange);
  void OnContact(const AnnouncedReplica& aReplica, ReplicaContact aContact);
  void OnPartitionStateChange(PartitionState aState);
  void ConfirmEnd(std::shared_ptr<ReplicaClient> aClient, std::function<void(bool)> aCallback);
  SilentReplicas CountReplicas() const;
  std::vector<std::shared_ptr<ReplicaClient>> ChooseProbes();
  void StartProbe();
  void OnRateLimitChanged(const std::string& aId, RateLimitChange aChange);
  RateShare RateShareOf(const ReplicaClient& aClient);
  core::Duration RateLimitWaitOf(const ReplicaClient& aClient);
  bool IsWithinRateLimit(ReplicaClient& aClient, AttemptKind aKind);
  bool TryAcquireColdSend(ReplicaClient& aClient);
  bool TryAcquireSend(ReplicaClient& aClient);
  void WakeWhenRateAllows(const std::string& aService);
  void WakeAll(std::string_view aService);
  std::shared_ptr<ReplicaClient> Choose(const std::vector<std::shared_ptr<ReplicaClient>>& aClients,
                                        const AttemptRequest& aRequest);
  bool ApplySpillover(std::vector<ReplicaCandidate>& aCandidates, const AttemptRequest& aRequest);
  std::size_t SpreadOverBest(const std::vector<ReplicaCandidate>& aCandidates, std::size_t aBest);
  void WakeWaiter(std::string_view aService);
  void WakeAllIfUnusable(std::string_view aService);
  void RemoveFromService(const std::shared_ptr<ReplicaClient>& aClient);
};

} // namespace skylarkwing::upstream
