#pragma once

#include "core/random_source.h"
#include "declaration/routing_table.h"
#include "upstream/replica_client.h"
#include "upstream/retry_budget.h"

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

/** Where this daemon stands, and how far others are. */
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

  /** @return the assumed way there and back to a failure domain. */
  core::Duration AssumedRoundTrip(const std::string& aFailureDomain) const;
};

/** Why an attempt was not started. */
enum class SendRefusal
{
  None,
  /** No replica of the service may be used that wasn't tried. */
  NoReplica,
  /** The same, and one of them leaves. */
  Leaving,
  /** The same, and one of them wants no requests for a while. */
  Backoff,
  /** All that may be used are busy. */
  NoRoom,
};

/** @return the name of a refusal, for logs. */
std::string_view
NameOf(SendRefusal aRefusal);

/** Called when a replica says that it leaves, or for how long it wants no requests. */
using AvailabilityHook =
  std::function<void(const AnnouncedReplica&, AvailabilityChange, core::Duration aBackoff)>;

/** One attempt to be placed. */
struct AttemptRequest
{
  std::string_view service;
  /** Regions whose replicas may be used; empty means all. */
  const std::vector<std::string>* regions = nullptr;
  /** Replicas that were tried before. */
  const std::vector<std::string>* triedReplicas = nullptr;
  /** The only replicas that may be used; null means any. */
  const std::vector<std::string>* allowedReplicas = nullptr;
  core::TimePoint deadline;
  /** Only a replica that would answer sooner than this; zero means any. */
  core::Duration maxExpectedTime{};
};

/** An attempt that was started, or why not. */
struct SendResult
{
  std::shared_ptr<Attempt> attempt;
  SendRefusal refusal = SendRefusal::None;
};

/**
 * All replicas that may get work, and the sharing of their connections among waiting requests.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ReplicaBalancer
{
public:
  /** Names a request that waits for room; 0 names none. */
  using WaiterId = std::uint64_t;

  ReplicaBalancer(boost::asio::any_io_executor aExecutor,
                  core::TimerService& aTimers,
                  core::RandomSource& aRandom,
                  net::HttpConnectionFactory aMakeLink,
                  ReplicaProtocol aProtocol,
                  Locality aLocality,
                  RetryBudgetSettings aRetrySettings);
  ~ReplicaBalancer();
  ReplicaBalancer(const ReplicaBalancer&) = delete;
  ReplicaBalancer& operator=(const ReplicaBalancer&) = delete;

  /** Sets what is called when an answer changes what a replica wants. */
  void OnAvailabilityChange(AvailabilityHook aHook) { mOnAvailabilityChange = std::move(aHook); }

  /** Takes in what the services bear. */
  void SetTable(std::shared_ptr<const declaration::RoutingTable> aTable);

  /** Takes in which share of the limits is this daemon's. */
  void SetFleetWeights(FleetWeights aFleet);

  /** Takes in whether a failure domain may get work. */
  void SetDomainOut(const std::string& aFailureDomain, bool aIsOut);

  /** Adds or updates a replica. */
  void AddOrUpdate(const AnnouncedReplica& aReplica);

  /** Drops a replica; what runs there may end. */
  void Remove(const std::string& aId);

  /**
   * Keeps a connection open to the nearest replica of each service in use and to one other, where
   * its hedges go. To be called every few hundred milliseconds.
   */
  void KeepWarm();

  /** @return how long an attempt at the best replica would take, nothing when there is none. */
  std::optional<core::Duration> ShortestExpectedTime(const AttemptRequest& aRequest);

  /**
   * @return after how long a request may come again because the rest of a replica is over, spread
   * so that callers don't come together; nothing when no rest stands in the way.
   */
  std::optional<core::Duration> RemainingBackoff(AttemptRequest aRequest);

  /** Starts an attempt at the best replica. */
  SendResult Send(const AttemptRequest& aRequest,
                  std::shared_ptr<const ForwardedRequest> aMessage,
                  AttemptCallback aCallback);

  /** Counts the first attempt of a request, which earns a share of an extra one. */
  void RecordFirstAttempt(std::string_view aService);

  /** Asks for an extra attempt within the budget. */
  bool TryTakeExtraAttempt(std::string_view aService, ExtraAttempt aKind);

  /**
   * Calls back when a replica of the service has room, the most important request first.
   *
   * @param aPriority 0 is the most important.
   */
  WaiterId WaitForRoom(std::string_view aService,
                       std::uint32_t aPriority,
                       std::function<void()> aCallback);

  /** Forgets a waiting request; one that is unknown or 0 is ignored. */
  void CancelWait(std::string_view aService, WaiterId aWaiter);

  /** @return replicas that are known, over all services. */
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
  };

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  AvailabilityHook mOnAvailabilityChange =
    [](const AnnouncedReplica&, AvailabilityChange, core::Duration) {};
  net::HttpConnectionFactory mMakeLink;
  ReplicaProtocol mProtocol;
  Locality mLocality;
  RetryBudgetSettings mRetrySettings;
  ReplicaClientSettings mClientSettings;
  FleetWeights mFleet;
  /** When this process began, as far as budgets go. */
  core::TimePoint mStartedAt;
  std::shared_ptr<const declaration::RoutingTable> mTable;
  std::set<std::string> mDomainsOut;
  std::map<std::string, std::shared_ptr<ReplicaClient>> mClients;
  RemovedReplicas mRemoved;
  std::map<std::string, Service, std::less<>> mServices;
  WaiterId mLastWaiter = 0;
  /** Lets callbacks that come after this object's end find out. */
  std::shared_ptr<bool> mIsAlive;

  Service& ServiceOf(std::string_view aName);
  void SetQuotaOf(ReplicaClient& aClient) const;
  void ShareRoundTrips();
  bool IsInUse(const Service& aService) const;
  SendRefusal RefusalFor(const ReplicaClient& aClient, const AttemptRequest& aRequest) const;
  bool MayUse(const ReplicaClient& aClient, const AttemptRequest& aRequest) const;
  bool HasUsableReplica(std::string_view aService);
  ReplicaClientHooks HooksFor(const AnnouncedReplica& aReplica);
  void OnAvailabilityChanged(const std::string& aId, AvailabilityChange aChange);
  bool TryAcquireColdSend(ReplicaClient& aClient);
  std::shared_ptr<ReplicaClient> Choose(const std::vector<std::shared_ptr<ReplicaClient>>& aClients,
                                        core::Duration aMaxExpectedTime);
  void WakeWaiter(std::string_view aService);
  void WakeAllIfUnusable(std::string_view aService);
  void RemoveFromService(const std::shared_ptr<ReplicaClient>& aClient);
};

} // namespace skylarkwing::upstream
