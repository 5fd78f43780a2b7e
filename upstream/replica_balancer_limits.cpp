// The part of ReplicaBalancer that keeps to the rate limits of replicas.

#include "upstream/replica_balancer.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::upstream {

namespace {

/** Shortest time between two attempts to serve a request that waits for a rate limit. */
constexpr core::Duration kMinRateWake = std::chrono::milliseconds{ 2 };

/** Time for which other daemons, which ask once a second, are told that a limit has ended. */
constexpr core::Duration kEndedLimitMemory = std::chrono::seconds{ 20 };

} // namespace

void
ReplicaBalancer::OnRateLimitChanged(const std::string& aId, RateLimitChange aChange)
{
  const auto it = mClients.find(aId);
  if (it == mClients.end()) {
    return;
  }
  const ReplicaClient& client = *it->second;
  mOnRateLimitChange(client.Replica(), aChange, client.RateLimit().MaxRate());
  if (aChange == RateLimitChange::Unreadable) {
    return;
  }
  // Those that wait may be served at once now, or have to wait for too long.
  WakeAll(client.Replica().service);
}

std::vector<LimitedUseReport>
ReplicaBalancer::TakeLimitedUse()
{
  std::vector<LimitedUseReport> reports;
  for (const auto& [id, client] : mClients) {
    const LimitedUse use = client->TakeLimitedUse();
    if (use.first + use.extra > 0) {
      const double maxRate = client->RateLimit().MaxRate().value_or(0.0);
      reports.push_back({ id, client->Replica().service, maxRate, use });
    }
  }
  return reports;
}

std::vector<EndedRateLimit>
ReplicaBalancer::EndedRateLimits() const
{
  std::vector<EndedRateLimit> ended;
  for (const auto& [id, client] : mClients) {
    const auto endedAt = client->RateLimit().EndedAt();
    if (endedAt && mTimers.Now() - *endedAt < kEndedLimitMemory) {
      ended.push_back({ id, mTimers.Now() - *endedAt });
    }
  }
  return ended;
}

std::optional<std::string>
ReplicaBalancer::DaemonWithShare()
{
  for (const auto& [id, client] : mClients) {
    if (client->RateLimit().MaxRate() && RateShareOf(*client).fraction <= 0.0) {
      const std::vector<std::string> senders = mSharedLimits.SendersOf(client->RateLimit());
      return senders.empty() ? std::nullopt
                             : std::optional<std::string>(senders[mRandom.Below(senders.size())]);
    }
  }
  return std::nullopt;
}

void
ReplicaBalancer::ApplyEndedRateLimit(const EndedRateLimit& aEnded)
{
  const auto it = mClients.find(aEnded.replica);
  if (it == mClients.end()) {
    return;
  }
  const RateLimitChange change = it->second->RateLimit().ApplyEnd(mTimers.Now() - aEnded.ago);
  if (change != RateLimitChange::None) {
    OnRateLimitChanged(aEnded.replica, change);
  }
}

RateShare
ReplicaBalancer::RateShareOf(const ReplicaClient& aClient)
{
  return mSharedLimits.ShareOf(aClient.RateLimit(),
                               mLocality.RegionOf(aClient.Replica().failureDomain));
}

core::Duration
ReplicaBalancer::RateLimitWaitOf(const ReplicaClient& aClient)
{
  if (!aClient.RateLimit().MaxRate()) {
    return core::Duration::zero();
  }
  return aClient.RateLimit().TimeUntilNext(RateShareOf(aClient), mTimers.Now());
}

std::optional<core::Duration>
ReplicaBalancer::RateLimitWait(const AttemptRequest& aRequest)
{
  const Service& service = ServiceOf(aRequest.service);
  std::vector<RateSource> sources;
  for (const std::shared_ptr<ReplicaClient>& client : service.clients) {
    if (!MayUse(*client, aRequest)) {
      continue;
    }
    if (!client->RateLimit().MaxRate()) {
      return std::nullopt;
    }
    const RateShare share = RateShareOf(*client);
    sources.push_back(
      { client->RateLimit().Available(share, mTimers.Now()), client->RateLimit().RateOf(share) });
  }
  if (sources.empty()) {
    return std::nullopt;
  }
  return WaitInQueue(std::move(sources), CountAhead(service, aRequest.Priority()));
}

std::size_t
ReplicaBalancer::CountAhead(const Service& aService, std::uint32_t aPriority)
{
  const auto isBefore = [aPriority](const auto& aWaiter) {
    return aWaiter.first.first <= aPriority;
  };
  return static_cast<std::size_t>(
    std::count_if(aService.waiters.begin(), aService.waiters.end(), isBefore));
}

core::Duration
ReplicaBalancer::RoomWaitOf(const AttemptRequest& aRequest)
{
  const Service& service = ServiceOf(aRequest.service);
  return service.roomWait.Expected(CountAhead(service, aRequest.Priority()), mTimers.Now());
}

bool
ReplicaBalancer::HasLimitedReplica(const AttemptRequest& aRequest)
{
  const auto& clients = ServiceOf(aRequest.service).clients;
  return std::any_of(clients.begin(), clients.end(), [this, &aRequest](const auto& aClient) {
    return aClient->RateLimit().MaxRate() && MayUse(*aClient, aRequest);
  });
}

bool
ReplicaBalancer::IsWithinRateLimit(ReplicaClient& aClient, AttemptKind aKind)
{
  if (!aClient.RateLimit().MaxRate()) {
    return true;
  }
  const RateShare share = RateShareOf(aClient);
  // A hedge may only take what other requests don't need as their only attempt.
  return aKind == AttemptKind::Hedge
           ? aClient.RateLimit().HasSpare(share, mTimers.Now())
           : aClient.RateLimit().TimeUntilNext(share, mTimers.Now()) == core::Duration::zero();
}

void
ReplicaBalancer::WakeWhenRateAllows(const std::string& aService)
{
  Service& service = ServiceOf(aService);
  if (service.waiters.empty() || service.rateTimer != 0) {
    return;
  }
  core::Duration wait = TokenBucket::kNever;
  for (const std::shared_ptr<ReplicaClient>& client : service.clients) {
    // One without room wakes a waiter when it has room again.
    if (client->RateLimit().MaxRate() && MayUse(*client, {}) && client->Candidate().hasRoom) {
      wait = std::min(wait, RateLimitWaitOf(*client));
    }
  }
  if (wait >= TokenBucket::kNever) {
    return;
  }
  service.rateTimer =
    mTimers.Schedule(std::max(wait, kMinRateWake), [this, isAlive = mIsAlive, aService] {
      if (!*isAlive) {
        return;
      }
      ServiceOf(aService).rateTimer = 0;
      WakeWaiter(aService);
      WakeWhenRateAllows(aService);
    });
}

} // namespace skylarkwing::upstream
