#include "upstream/replica_balancer.h"

#include "core/name_table.h"

#include <algorithm>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<SendRefusal, 8> kRefusalNames{ { "none",
                                                           "no_replica",
                                                           "replica_leaving",
                                                           "replica_resting",
                                                           "replica_limited",
                                                           "no_room",
                                                           "unreachable",
                                                           "quarantined" } };

/** Assumed round trips by distance, until they are measured. */
constexpr core::Duration kRoundTripInDomain = std::chrono::microseconds{ 600 };
constexpr core::Duration kRoundTripInRegion = std::chrono::milliseconds{ 2 };
constexpr core::Duration kRoundTripToOtherRegion = std::chrono::milliseconds{ 25 };

/**
 * Random extension of the retry time that is told to callers refused because of a backoff or a rate
 * limit, as a share of it.
 */
constexpr double kRetryAfterJitter = 0.25;

/** Log lines per second on lost replicas of which this daemon can't tell whether they have ended.
 */
constexpr std::uint32_t kUnconfirmedLinesPerSecond = 5;

/** Connections for a service are kept for this long after its last request. */
constexpr core::Duration kKeepWarmAfterUse = std::chrono::seconds{ 10 };

/** The replica that is used first, and the one that gets its hedges and retries. */
constexpr std::size_t kWarmReplicas = 2;

template<typename Container, typename Value>
bool
Contains(const Container& aValues, const Value& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

} // namespace

std::string_view
NameOf(SendRefusal aRefusal)
{
  return kRefusalNames.NameOf(aRefusal);
}

const std::string&
Locality::RegionOf(const std::string& aFailureDomain) const
{
  static const std::string unknown;
  const auto it = regions.find(aFailureDomain);
  return it == regions.end() ? unknown : it->second;
}

Proximity
Locality::ProximityOf(const std::string& aFailureDomain) const
{
  if (aFailureDomain == failureDomain) {
    return Proximity::OwnDomain;
  }
  return RegionOf(aFailureDomain) == region ? Proximity::OwnRegion : Proximity::OtherRegion;
}

core::Duration
Locality::AssumedRoundTrip(const std::string& aFailureDomain) const
{
  switch (ProximityOf(aFailureDomain)) {
    case Proximity::OwnDomain:
      return kRoundTripInDomain;
    case Proximity::OwnRegion:
      return kRoundTripInRegion;
    case Proximity::OtherRegion:
      break;
  }
  return kRoundTripToOtherRegion;
}

ReplicaBalancer::ReplicaBalancer(boost::asio::any_io_executor aExecutor,
                                 core::TimerService& aTimers,
                                 core::RandomSource& aRandom,
                                 net::HttpConnectionFactory aMakeConnection,
                                 ReplicaProtocol aProtocol,
                                 Locality aLocality,
                                 RetryBudgetSettings aRetrySettings)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mMakeConnection(std::move(aMakeConnection))
  , mProtocol(std::move(aProtocol))
  , mLocality(std::move(aLocality))
  , mRetrySettings(aRetrySettings)
  , mSharedLimits(mLocality.vm, mLocality.regions)
  , mStartedAt(aTimers.Now())
  , mPartition(aTimers)
  , mUnconfirmedLines(kUnconfirmedLinesPerSecond)
  , mIsAlive(std::make_shared<bool>(true))
{
  SetPartitionHooks({});
}

ReplicaBalancer::~ReplicaBalancer()
{
  *mIsAlive = false;
}

void
ReplicaBalancer::SetTable(std::shared_ptr<const declaration::RoutingTable> aTable)
{
  mTable = std::move(aTable);
  for (const auto& [id, client] : mClients) {
    SetQuotaOf(*client);
  }
}

void
ReplicaBalancer::SetFleetWeights(FleetWeights aFleet)
{
  mSharedLimits.SetFleet(aFleet, mTimers.Now());
  mFleet = std::move(aFleet);
  for (const auto& [id, client] : mClients) {
    SetQuotaOf(*client);
  }
}

void
ReplicaBalancer::SetDomainOut(const std::string& aFailureDomain, bool aIsOut)
{
  if (aIsOut) {
    mDomainsOut.insert(aFailureDomain);
    for (auto& [name, service] : mServices) {
      WakeAllIfUnusable(name);
    }
  } else {
    mDomainsOut.erase(aFailureDomain);
  }
}

void
ReplicaBalancer::AddOrUpdate(const AnnouncedReplica& aReplica)
{
  const auto it = mClients.find(aReplica.id);
  if (it != mClients.end() && it->second->Replica().service == aReplica.service) {
    if (!IsSameProcess(it->second->Replica(), aReplica)) {
      mProcessClaims.Remove(it->second->Replica());
      mProcessClaims.Add(aReplica);
    }
    it->second->Update(aReplica);
    WakeAllIfUnusable(aReplica.service);
    return;
  }
  if (it != mClients.end()) {
    Remove(aReplica.id);
  }
  auto client = std::make_shared<ReplicaClient>(mExecutor,
                                                mTimers,
                                                mMakeConnection,
                                                mProtocol,
                                                mClientSettings,
                                                aReplica,
                                                mLocality.AssumedRoundTrip(aReplica.failureDomain),
                                                mRemoved.Take(aReplica),
                                                HooksFor(aReplica));
  SetQuotaOf(*client);
  mClients.emplace(aReplica.id, client);
  mProcessClaims.Add(aReplica);
  ServiceOf(aReplica.service).clients.push_back(std::move(client));
  WakeWaiter(aReplica.service);
}

void
ReplicaBalancer::Remove(const std::string& aId)
{
  const auto it = mClients.find(aId);
  if (it == mClients.end()) {
    return;
  }
  const std::shared_ptr<ReplicaClient> client = it->second;
  client->Retire();
  mRemoved.Keep(client->Replica(), client->Availability(), mTimers.Now());
  RemoveFromService(client);
  mProcessClaims.Remove(client->Replica());
  mClients.erase(it);
  WakeAllIfUnusable(client->Replica().service);
}

ReplicaClientHooks
ReplicaBalancer::HooksFor(const AnnouncedReplica& aReplica)
{
  ReplicaClientHooks hooks;
  hooks.onFree = [this, isAlive = mIsAlive, service = aReplica.service] {
    if (*isAlive) {
      WakeWaiter(service);
    }
  };
  hooks.onAvailabilityChange =
    [this, isAlive = mIsAlive, id = aReplica.id](AvailabilityChange aChange) {
      if (*isAlive) {
        OnAvailabilityChanged(id, aChange);
      }
    };
  hooks.onRateLimitChange = [this, isAlive = mIsAlive, id = aReplica.id](RateLimitChange aChange) {
    if (*isAlive) {
      OnRateLimitChanged(id, aChange);
    }
  };
  hooks.drawJitter = [this, isAlive = mIsAlive] { return *isAlive ? mRandom.Fraction() : 0.0; };
  hooks.onContact = [this, isAlive = mIsAlive, replica = aReplica](ReplicaContact aContact) {
    if (*isAlive) {
      OnContact(replica, aContact);
    }
  };
  return hooks;
}

void
ReplicaBalancer::OnAvailabilityChanged(const std::string& aId, AvailabilityChange aChange)
{
  const auto it = mClients.find(aId);
  if (it == mClients.end()) {
    return;
  }
  const ReplicaClient& client = *it->second;
  mOnAvailabilityChange(
    client.Replica(), aChange, client.Availability().BackoffEnd() - mTimers.Now());
  WakeAllIfUnusable(client.Replica().service);
}

std::optional<core::Duration>
ReplicaBalancer::ShortestExpectedTime(const AttemptRequest& aRequest)
{
  std::optional<core::Duration> shortest;
  for (const std::shared_ptr<ReplicaClient>& client : ServiceOf(aRequest.service).clients) {
    const bool isHedge = aRequest.kind == AttemptKind::Hedge;
    if (!MayUse(*client, aRequest) || (isHedge && !IsWithinRateLimit(*client, aRequest.kind))) {
      continue;
    }
    const core::Duration expected = ExpectedTime(client->Candidate()) + RateLimitWaitOf(*client);
    shortest = std::min(shortest.value_or(expected), expected);
  }
  return shortest;
}

std::optional<core::Duration>
ReplicaBalancer::RetryDelay(AttemptRequest aRequest)
{
  // A new request may use every replica again.
  aRequest.triedReplicas = nullptr;
  aRequest.allowedReplicas = nullptr;
  std::optional<core::Duration> shortest = RateLimitWait(aRequest);
  if (shortest && *shortest >= TokenBucket::kNever) {
    // Without a share this daemon can't tell, but another one may serve the request.
    shortest.reset();
  }
  for (const std::shared_ptr<ReplicaClient>& client : ServiceOf(aRequest.service).clients) {
    const SendRefusal refusal = RefusalFor(*client, aRequest);
    if (refusal == SendRefusal::None && !client->RateLimit().MaxRate()) {
      return std::nullopt;
    }
    if (refusal == SendRefusal::Backoff) {
      const core::Duration left = client->Availability().BackoffEnd() - mTimers.Now();
      shortest = std::min(shortest.value_or(left), left);
    }
  }
  if (!shortest) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<core::Duration>(*shortest *
                                                    (1.0 + kRetryAfterJitter * mRandom.Fraction()));
}

SendResult
ReplicaBalancer::Send(const AttemptRequest& aRequest,
                      std::shared_ptr<const ForwardedRequest> aMessage,
                      AttemptCallback aCallback)
{
  std::vector<std::shared_ptr<ReplicaClient>> usable;
  SendRefusal refusal = SendRefusal::NoReplica;
  for (const std::shared_ptr<ReplicaClient>& client : ServiceOf(aRequest.service).clients) {
    const SendRefusal clientRefusal = RefusalFor(*client, aRequest);
    if (clientRefusal == SendRefusal::None) {
      usable.push_back(client);
    }
    refusal = std::max(refusal, clientRefusal);
  }
  SendResult result;
  std::shared_ptr<ReplicaClient> client = ChooseCandidate(aRequest);
  if (!client && usable.empty()) {
    result.refusal = refusal;
    return result;
  }
  const bool mustQueue = !client && !aRequest.hasWaited &&
                         RateLimitWait(aRequest).value_or(core::Duration::zero()).count() > 0;
  if (!client && !mustQueue) {
    client = Choose(usable, aRequest);
  }
  if (!client && mPartition.IsPartitioned()) {
    result.refusal = SendRefusal::Unreachable;
    return result;
  }
  if (!client) {
    const bool areAllLimited = std::all_of(usable.begin(), usable.end(), [](const auto& aClient) {
      return aClient->RateLimit().MaxRate().has_value();
    });
    result.refusal = areAllLimited ? SendRefusal::RateLimited : SendRefusal::NoRoom;
    return result;
  }
  AttemptCallback callback = ObserveVersion(*client, aRequest, std::move(aCallback));
  result.attempt =
    client->Send(std::move(aMessage), aRequest.kind, aRequest.deadline, std::move(callback));
  return result;
}

void
ReplicaBalancer::RecordFirstAttempt(std::string_view aService)
{
  Service& service = ServiceOf(aService);
  service.lastUse = mTimers.Now();
  service.retryBudget.RecordFirstAttempt(service.lastUse);
  if (mVersions.onRequest) {
    mVersions.onRequest(aService);
  }
}

bool
ReplicaBalancer::TryTakeExtraAttempt(std::string_view aService, ExtraAttempt aKind)
{
  const double share = mSharedLimits.OwnShare();
  return ServiceOf(aService).retryBudget.TryTake(aKind, mRetrySettings, share, mTimers.Now());
}

ReplicaBalancer::WaiterId
ReplicaBalancer::WaitForRoom(std::string_view aService,
                             std::uint32_t aPriority,
                             std::function<void()> aCallback)
{
  const WaiterId id = ++mLastWaiter;
  ServiceOf(aService).waiters.emplace(std::make_pair(aPriority, id), std::move(aCallback));
  WakeWhenRateAllows(std::string(aService));
  return id;
}

void
ReplicaBalancer::CancelWait(std::string_view aService, WaiterId aWaiter)
{
  auto& waiters = ServiceOf(aService).waiters;
  const auto it = std::find_if(waiters.begin(), waiters.end(), [aWaiter](const auto& aEntry) {
    return aEntry.first.second == aWaiter;
  });
  if (it != waiters.end()) {
    waiters.erase(it);
  }
}

ReplicaBalancer::Service&
ReplicaBalancer::ServiceOf(std::string_view aName)
{
  const auto it = mServices.find(aName);
  if (it != mServices.end()) {
    return it->second;
  }
  return mServices.emplace(std::string(aName), Service(mStartedAt)).first->second;
}

void
ReplicaBalancer::SetQuotaOf(ReplicaClient& aClient) const
{
  const declaration::ServiceLimits* rule =
    mTable ? mTable->FindService(aClient.Replica().service) : nullptr;
  if (rule == nullptr) {
    return;
  }
  // The failure domains of a region are so close that all its daemons prefer the replica.
  const std::string& region = mLocality.RegionOf(aClient.Replica().failureDomain);
  double near = 0.0;
  double far = 0.0;
  for (const auto& [domain, weight] : mFleet.domains) {
    (mLocality.RegionOf(domain) == region ? near : far) += weight;
  }
  aClient.SetQuota(
    SplitConnections(rule->connections, near, far, mFleet.own, region == mLocality.region));
}

bool
ReplicaBalancer::IsInUse(const Service& aService) const
{
  return mTimers.Now() - aService.lastUse < kKeepWarmAfterUse;
}

void
ReplicaBalancer::ShareRoundTrips()
{
  std::map<std::string, core::Duration> roundTrips;
  for (const auto& [id, client] : mClients) {
    if (const auto roundTrip = client->MeasuredRoundTrip()) {
      const auto [it, isNew] = roundTrips.emplace(client->Replica().failureDomain, *roundTrip);
      it->second = std::min(it->second, *roundTrip);
    }
  }
  for (const auto& [id, client] : mClients) {
    const auto roundTrip = roundTrips.find(client->Replica().failureDomain);
    if (roundTrip != roundTrips.end()) {
      client->SetAssumedRoundTrip(roundTrip->second);
    }
  }
}

void
ReplicaBalancer::KeepWarm()
{
  ShareRoundTrips();
  mSharedLimits.Expire(mTimers.Now());
  if (mPartition.IsPartitioned()) {
    return;
  }
  for (auto& [name, service] : mServices) {
    if (!IsInUse(service)) {
      continue;
    }
    std::vector<std::pair<core::Duration, std::shared_ptr<ReplicaClient>>> byDistance;
    for (const std::shared_ptr<ReplicaClient>& client : service.clients) {
      const bool isUsable =
        MayUse(*client, {}) ||
        (IsCandidate(*client) && RefusalByState(*client, {}) == SendRefusal::None);
      if (isUsable) {
        // An offset far below any real difference orders replicas that are equally far.
        const auto offset = std::hash<std::string>()(mLocality.vm + client->Replica().id) % 1000;
        byDistance.emplace_back(mLocality.AssumedRoundTrip(client->Replica().failureDomain) +
                                  std::chrono::nanoseconds(offset),
                                client);
      }
    }
    const std::size_t n = std::min(kWarmReplicas, byDistance.size());
    const auto nearestEnd = byDistance.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(byDistance.begin(), nearestEnd, byDistance.end());
    std::for_each(byDistance.begin(), nearestEnd, [](auto& aEntry) { aEntry.second->KeepWarm(); });
  }
}

SendRefusal
ReplicaBalancer::RefusalFor(const ReplicaClient& aClient, const AttemptRequest& aRequest) const
{
  return IsVersionServing(aClient) ? RefusalByState(aClient, aRequest) : SendRefusal::NoReplica;
}

SendRefusal
ReplicaBalancer::RefusalByState(const ReplicaClient& aClient, const AttemptRequest& aRequest) const
{
  const AnnouncedReplica& replica = aClient.Replica();
  const bool isExcluded =
    (aRequest.triedReplicas != nullptr && Contains(*aRequest.triedReplicas, replica.id)) ||
    (aRequest.allowedReplicas != nullptr && !Contains(*aRequest.allowedReplicas, replica.id));
  const bool isInRegion =
    aRequest.terms == nullptr || aRequest.terms->regions.empty() ||
    Contains(aRequest.terms->regions, mLocality.RegionOf(replica.failureDomain));
  const bool isDomainOut =
    mDomainsOut.count(replica.failureDomain) > 0 ||
    (aRequest.domainsOut != nullptr && Contains(*aRequest.domainsOut, replica.failureDomain));
  if (isExcluded || !isInRegion || aClient.IsAddressReassigned() || isDomainOut ||
      IsLikelyCopy(aClient)) {
    return SendRefusal::NoReplica;
  }
  if (replica.isDraining || aClient.Availability().IsLeaving()) {
    return SendRefusal::Leaving;
  }
  return aClient.Availability().IsBackingOff(mTimers.Now()) ? SendRefusal::Backoff
                                                            : SendRefusal::None;
}

bool
ReplicaBalancer::IsLikelyCopy(const ReplicaClient& aClient) const
{
  return mProcessClaims.IsLikelyCopy(aClient.Replica(), [this](const std::string& aId) {
    const ReplicaClient& client = *mClients.at(aId);
    const AnnouncedReplica& replica = client.Replica();
    return ProcessClaim{
      replica.id, replica.sequence, client.HasAnswered(), client.IsAddressReassigned()
    };
  });
}

bool
ReplicaBalancer::MayUse(const ReplicaClient& aClient, const AttemptRequest& aRequest) const
{
  return RefusalFor(aClient, aRequest) == SendRefusal::None;
}

bool
ReplicaBalancer::HasUsableReplica(std::string_view aService)
{
  const auto& clients = ServiceOf(aService).clients;
  return std::any_of(
    clients.begin(), clients.end(), [this](const auto& aClient) { return MayUse(*aClient, {}); });
}

bool
ReplicaBalancer::HasRoom(std::string_view aService)
{
  const auto& clients = ServiceOf(aService).clients;
  return std::any_of(clients.begin(), clients.end(), [this](const auto& aClient) {
    return MayUse(*aClient, {}) && aClient->Candidate().hasRoom &&
           IsWithinRateLimit(*aClient, AttemptKind::First);
  });
}

bool
ReplicaBalancer::TryAcquireColdSend(ReplicaClient& aClient)
{
  const declaration::ServiceLimits* rule =
    mTable ? mTable->FindService(aClient.Replica().service) : nullptr;
  if (rule == nullptr || rule->coldRate <= 0.0 || !aClient.IsCold()) {
    return true;
  }
  return mSharedLimits.MaySendCold(aClient.Replica().id) &&
         aClient.ColdLimiter().TryTake(
           rule->coldRate / static_cast<double>(kColdSenders), 1.0, mTimers.Now());
}

bool
ReplicaBalancer::TryAcquireSend(ReplicaClient& aClient)
{
  return TryAcquireColdSend(aClient) &&
         aClient.RateLimit().TryTake(RateShareOf(aClient), mTimers.Now());
}

std::shared_ptr<ReplicaClient>
ReplicaBalancer::Choose(const std::vector<std::shared_ptr<ReplicaClient>>& aClients,
                        const AttemptRequest& aRequest)
{
  std::vector<ReplicaCandidate> candidates;
  candidates.reserve(aClients.size());
  for (const std::shared_ptr<ReplicaClient>& client : aClients) {
    candidates.push_back(client->Candidate());
    candidates.back().proximity = mLocality.ProximityOf(client->Replica().failureDomain);
    const bool isTooSlow = aRequest.maxExpectedTime > core::Duration::zero() &&
                           ExpectedTime(candidates.back()) >= aRequest.maxExpectedTime;
    const bool isUnreachable = mPartition.IsPartitioned() && !client->HasIdleConnection();
    if (isTooSlow || isUnreachable || !IsWithinRateLimit(*client, aRequest.kind)) {
      candidates.back().hasRoom = false;
    }
  }
  if (aRequest.kind == AttemptKind::First) {
    // An unused replica is chosen now and then, or the end of its limit would never be noticed.
    for (std::size_t n = 0; n < candidates.size(); ++n) {
      const bool isUsable = candidates[n].hasRoom && !candidates[n].isSuspect;
      if (isUsable && aClients[n]->RateLimit().IsOutdated(mTimers.Now()) &&
          TryAcquireSend(*aClients[n])) {
        return aClients[n];
      }
    }
  }
  const bool hasOwnDomain = ApplySpillover(candidates, aRequest);
  const std::uint64_t tieBreak = mRandom.Below(aClients.size());
  while (const auto best = ChooseReplica(candidates, tieBreak)) {
    // Hedges and retries are short of time, and too few to overload the best replica.
    const std::size_t index =
      aRequest.kind == AttemptKind::First ? SpreadOverBest(candidates, *best) : *best;
    if (TryAcquireSend(*aClients[index])) {
      const Proximity proximity = candidates[index].proximity;
      mSpilled.ownRegion += hasOwnDomain && proximity == Proximity::OwnRegion ? 1 : 0;
      mSpilled.otherRegion += hasOwnDomain && proximity == Proximity::OtherRegion ? 1 : 0;
      return aClients[index];
    }
    candidates[index].hasRoom = false;
  }
  return nullptr;
}

bool
ReplicaBalancer::ApplySpillover(std::vector<ReplicaCandidate>& aCandidates,
                                const AttemptRequest& aRequest)
{
  // Hedges and retries have lost time already, so that the price doesn't matter.
  if (!mSpillover || aRequest.kind != AttemptKind::First ||
      !DomainSpillover::IsInEffect(aCandidates)) {
    return false;
  }
  DomainSpillover& spillover = ServiceOf(aRequest.service).spillover;
  const bool hasOwnDomain =
    spillover.Apply(aCandidates, *mSpillover, mRandom.Fraction(), mTimers.Now());
  if (const auto change = spillover.TakeChange()) {
    mOnSpilloverChange(std::string(aRequest.service), *change);
  }
  return hasOwnDomain;
}

std::size_t
ReplicaBalancer::SpreadOverBest(const std::vector<ReplicaCandidate>& aCandidates, std::size_t aBest)
{
  const std::vector<double> weights = ShareAmongBest(aCandidates, aBest);
  // Nothing is drawn for replicas that don't report their speed: their choice stays the same.
  const std::size_t index = weights.empty() ? aBest : DrawByWeight(weights, mRandom.Fraction());
  if (aCandidates[index].reportsSpeed) {
    ++(index == aBest ? mSpeedChoices.best : mSpeedChoices.shared);
  }
  return index;
}

void
ReplicaBalancer::WakeWaiter(std::string_view aService)
{
  WakeAllIfUnusable(aService);
  Service& service = ServiceOf(aService);
  auto& waiters = service.waiters;
  // One that is woken in vain loses its place.
  if (!waiters.empty() && !HasRoom(aService)) {
    WakeWhenRateAllows(std::string(aService));
    return;
  }
  if (waiters.empty()) {
    return;
  }
  const std::function<void()> callback = std::move(waiters.begin()->second);
  waiters.erase(waiters.begin());
  service.roomWait.RecordRoom(waiters.empty(), mTimers.Now());
  callback();
}

void
ReplicaBalancer::WakeAllIfUnusable(std::string_view aService)
{
  if (ServiceOf(aService).waiters.empty() || HasUsableReplica(aService)) {
    return;
  }
  // No replica will have room, so all of them are notified now instead of at their deadlines.
  WakeAll(aService);
}

void
ReplicaBalancer::WakeAll(std::string_view aService)
{
  Service& service = ServiceOf(aService);
  mTimers.Cancel(std::exchange(service.rateTimer, 0));
  const auto waiters = std::exchange(service.waiters, {});
  for (const auto& [key, callback] : waiters) {
    callback();
  }
}

void
ReplicaBalancer::RemoveFromService(const std::shared_ptr<ReplicaClient>& aClient)
{
  auto& clients = ServiceOf(aClient->Replica().service).clients;
  clients.erase(std::remove(clients.begin(), clients.end(), aClient), clients.end());
}

} // namespace skylarkwing::upstream
