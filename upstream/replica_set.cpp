#include "upstream/replica_set.h"

#include "core/name_table.h"

#include <algorithm>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<SendRefusal, 5> kRefusalNames{
  { "none", "no_replica", "replica_leaving", "replica_resting", "no_room" }
};

/** Assumed until measured: the way there and back, by distance. */
constexpr core::Duration kWayInDomain = std::chrono::microseconds{ 600 };
constexpr core::Duration kWayInRegion = std::chrono::milliseconds{ 2 };
constexpr core::Duration kWayToRegion = std::chrono::milliseconds{ 25 };

/** Callers that were refused because of a rest come back over this share of it. */
constexpr double kRefusalSpread = 0.25;

/** A daemon that had no request for a service for so long keeps no connections for it. */
constexpr core::Duration kWarmAfterUse = std::chrono::seconds{ 10 };

/** The replica that is used first, and the one that takes its hedges and retries. */
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
Place::RegionOf(const std::string& aFailureDomain) const
{
  static const std::string unknown;
  const auto it = regions.find(aFailureDomain);
  return it == regions.end() ? unknown : it->second;
}

core::Duration
Place::WayTo(const std::string& aFailureDomain) const
{
  if (aFailureDomain == failureDomain) {
    return kWayInDomain;
  }
  return RegionOf(aFailureDomain) == region ? kWayInRegion : kWayToRegion;
}

ReplicaSet::ReplicaSet(boost::asio::any_io_executor aExecutor,
                       core::TimerService& aTimers,
                       core::RandomSource& aRandom,
                       net::HttpConnectionFactory aMakeLink,
                       ReplicaProtocol aProtocol,
                       Place aPlace,
                       RetryBound aRetryBound)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mMakeLink(std::move(aMakeLink))
  , mProtocol(std::move(aProtocol))
  , mPlace(std::move(aPlace))
  , mRetryBound(aRetryBound)
  , mStartedAt(aTimers.Now())
  , mIsAlive(std::make_shared<bool>(true))
{
}

ReplicaSet::~ReplicaSet()
{
  *mIsAlive = false;
}

void
ReplicaSet::SetTable(std::shared_ptr<const declaration::RoutingTable> aTable)
{
  mTable = std::move(aTable);
  for (const auto& [id, link] : mLinks) {
    SetQuotaOf(*link);
  }
}

void
ReplicaSet::SetFleet(FleetShares aFleet)
{
  mFleet = std::move(aFleet);
  for (const auto& [id, link] : mLinks) {
    SetQuotaOf(*link);
  }
}

void
ReplicaSet::SetDomainOut(const std::string& aFailureDomain, bool aIsOut)
{
  if (aIsOut) {
    mDomainsOut.insert(aFailureDomain);
    for (auto& [name, service] : mServices) {
      WakeIfHopeless(name);
    }
  } else {
    mDomainsOut.erase(aFailureDomain);
  }
}

void
ReplicaSet::Change(const AnnouncedReplica& aReplica)
{
  const auto it = mLinks.find(aReplica.id);
  if (it != mLinks.end() && it->second->Replica().service == aReplica.service) {
    it->second->Update(aReplica);
    WakeIfHopeless(aReplica.service);
    return;
  }
  if (it != mLinks.end()) {
    Remove(aReplica.id);
  }
  auto link = std::make_shared<ReplicaLink>(mExecutor,
                                            mTimers,
                                            mMakeLink,
                                            mProtocol,
                                            mLinkSettings,
                                            aReplica,
                                            mPlace.WayTo(aReplica.failureDomain),
                                            mFormer.Take(aReplica),
                                            HooksFor(aReplica));
  SetQuotaOf(*link);
  mLinks.emplace(aReplica.id, link);
  ServiceOf(aReplica.service).links.push_back(std::move(link));
  WakeWaiter(aReplica.service);
}

void
ReplicaSet::Remove(const std::string& aId)
{
  const auto it = mLinks.find(aId);
  if (it == mLinks.end()) {
    return;
  }
  const std::shared_ptr<ReplicaLink> link = it->second;
  link->Retire();
  mFormer.Keep(link->Replica(), link->Standing(), mTimers.Now());
  Unlist(link);
  mLinks.erase(it);
  WakeIfHopeless(link->Replica().service);
}

LinkHooks
ReplicaSet::HooksFor(const AnnouncedReplica& aReplica)
{
  LinkHooks hooks;
  hooks.onFree = [this, isAlive = mIsAlive, service = aReplica.service] {
    if (*isAlive) {
      WakeWaiter(service);
    }
  };
  hooks.onStanding = [this, isAlive = mIsAlive, id = aReplica.id](StandingChange aChange) {
    if (*isAlive) {
      StandingChanged(id, aChange);
    }
  };
  hooks.drawSpread = [this, isAlive = mIsAlive] { return *isAlive ? mRandom.Fraction() : 0.0; };
  return hooks;
}

void
ReplicaSet::StandingChanged(const std::string& aId, StandingChange aChange)
{
  const auto it = mLinks.find(aId);
  if (it == mLinks.end()) {
    return;
  }
  const ReplicaLink& link = *it->second;
  mOnStanding(link.Replica(), aChange, link.Standing().RestEnd() - mTimers.Now());
  WakeIfHopeless(link.Replica().service);
}

std::optional<core::Duration>
ReplicaSet::Expected(const AttemptOrder& aOrder)
{
  std::optional<core::Duration> shortest;
  for (const std::shared_ptr<ReplicaLink>& link : ServiceOf(aOrder.service).links) {
    if (!MayUse(*link, aOrder)) {
      continue;
    }
    const core::Duration expected = ExpectedTime(link->View());
    shortest = std::min(shortest.value_or(expected), expected);
  }
  return shortest;
}

std::optional<core::Duration>
ReplicaSet::RestLeft(AttemptOrder aOrder)
{
  // A new request may try every replica again.
  aOrder.tried = nullptr;
  aOrder.among = nullptr;
  std::optional<core::TimePoint> earliest;
  for (const std::shared_ptr<ReplicaLink>& link : ServiceOf(aOrder.service).links) {
    const SendRefusal refusal = WhyNot(*link, aOrder);
    if (refusal == SendRefusal::None) {
      return std::nullopt;
    }
    if (refusal == SendRefusal::Resting) {
      const core::TimePoint end = link->Standing().RestEnd();
      earliest = std::min(earliest.value_or(end), end);
    }
  }
  if (!earliest) {
    return std::nullopt;
  }
  const core::Duration left = *earliest - mTimers.Now();
  return std::chrono::duration_cast<core::Duration>(left *
                                                    (1.0 + kRefusalSpread * mRandom.Fraction()));
}

Placement
ReplicaSet::Send(const AttemptOrder& aOrder,
                 std::shared_ptr<const ForwardedRequest> aRequest,
                 AttemptCallback aCallback)
{
  std::vector<std::shared_ptr<ReplicaLink>> usable;
  SendRefusal refusal = SendRefusal::NoReplica;
  for (const std::shared_ptr<ReplicaLink>& link : ServiceOf(aOrder.service).links) {
    const SendRefusal whyNot = WhyNot(*link, aOrder);
    if (whyNot == SendRefusal::None) {
      usable.push_back(link);
    }
    refusal = std::max(refusal, whyNot);
  }
  Placement placement;
  if (usable.empty()) {
    placement.refusal = refusal;
    return placement;
  }
  const std::shared_ptr<ReplicaLink> link = Choose(usable, aOrder.fasterThan);
  if (!link) {
    placement.refusal = SendRefusal::NoRoom;
    return placement;
  }
  placement.attempt = link->Send(std::move(aRequest), aOrder.deadline, std::move(aCallback));
  return placement;
}

void
ReplicaSet::RecordFirst(std::string_view aService)
{
  Service& service = ServiceOf(aService);
  service.lastUse = mTimers.Now();
  service.allowance.RecordFirst(service.lastUse);
}

bool
ReplicaSet::TakeExtra(std::string_view aService, ExtraAttempt aKind)
{
  const double share = mFleet.OwnShare();
  return ServiceOf(aService).allowance.Take(aKind, mRetryBound, share, mTimers.Now());
}

ReplicaSet::WaiterId
ReplicaSet::Wait(std::string_view aService,
                 std::uint32_t aPriority,
                 std::function<void()> aCallback)
{
  const WaiterId id = ++mLastWaiter;
  ServiceOf(aService).waiters.emplace(std::make_pair(aPriority, id), std::move(aCallback));
  return id;
}

void
ReplicaSet::StopWaiting(std::string_view aService, WaiterId aWaiter)
{
  auto& waiters = ServiceOf(aService).waiters;
  const auto it = std::find_if(waiters.begin(), waiters.end(), [aWaiter](const auto& aEntry) {
    return aEntry.first.second == aWaiter;
  });
  if (it != waiters.end()) {
    waiters.erase(it);
  }
}

ReplicaSet::Service&
ReplicaSet::ServiceOf(std::string_view aName)
{
  const auto it = mServices.find(aName);
  if (it != mServices.end()) {
    return it->second;
  }
  return mServices.emplace(std::string(aName), Service(mStartedAt)).first->second;
}

void
ReplicaSet::SetQuotaOf(ReplicaLink& aLink) const
{
  const declaration::ServiceLimits* rule =
    mTable ? mTable->FindService(aLink.Replica().service) : nullptr;
  if (rule == nullptr) {
    return;
  }
  // Failure domains of one region are so close that all its daemons use the replica first.
  const std::string& region = mPlace.RegionOf(aLink.Replica().failureDomain);
  double near = 0.0;
  double far = 0.0;
  for (const auto& [domain, weight] : mFleet.domains) {
    (mPlace.RegionOf(domain) == region ? near : far) += weight;
  }
  aLink.SetQuota(
    SplitConnections(rule->connections, near, far, mFleet.own, region == mPlace.region));
}

bool
ReplicaSet::IsInUse(const Service& aService) const
{
  return mTimers.Now() - aService.lastUse < kWarmAfterUse;
}

void
ReplicaSet::ShareWays()
{
  std::map<std::string, core::Duration> ways;
  for (const auto& [id, link] : mLinks) {
    if (const auto way = link->MeasuredWay()) {
      const auto [it, isNew] = ways.emplace(link->Replica().failureDomain, *way);
      it->second = std::min(it->second, *way);
    }
  }
  for (const auto& [id, link] : mLinks) {
    const auto way = ways.find(link->Replica().failureDomain);
    if (way != ways.end()) {
      link->AssumeWay(way->second);
    }
  }
}

void
ReplicaSet::KeepWarm()
{
  ShareWays();
  for (auto& [name, service] : mServices) {
    if (!IsInUse(service)) {
      continue;
    }
    std::vector<std::pair<core::Duration, std::shared_ptr<ReplicaLink>>> byDistance;
    for (const std::shared_ptr<ReplicaLink>& link : service.links) {
      if (MayUse(*link, {})) {
        // A spread far below any real difference orders replicas that are equally far.
        const auto spread = std::hash<std::string>()(mPlace.vm + link->Replica().id) % 1000;
        byDistance.emplace_back(
          mPlace.WayTo(link->Replica().failureDomain) + std::chrono::nanoseconds(spread), link);
      }
    }
    const std::size_t n = std::min(kWarmReplicas, byDistance.size());
    const auto middle = byDistance.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(byDistance.begin(), middle, byDistance.end());
    std::for_each(byDistance.begin(), middle, [](auto& aEntry) { aEntry.second->KeepWarm(); });
  }
}

SendRefusal
ReplicaSet::WhyNot(const ReplicaLink& aLink, const AttemptOrder& aOrder) const
{
  const AnnouncedReplica& replica = aLink.Replica();
  const bool isTried = (aOrder.tried != nullptr && Contains(*aOrder.tried, replica.id)) ||
                       (aOrder.among != nullptr && !Contains(*aOrder.among, replica.id));
  const bool isInRegion = aOrder.regions == nullptr || aOrder.regions->empty() ||
                          Contains(*aOrder.regions, mPlace.RegionOf(replica.failureDomain));
  if (isTried || !isInRegion || aLink.IsElsewhere() ||
      mDomainsOut.count(replica.failureDomain) > 0) {
    return SendRefusal::NoReplica;
  }
  if (replica.isDraining || aLink.Standing().IsLeaving()) {
    return SendRefusal::Leaving;
  }
  return aLink.Standing().IsResting(mTimers.Now()) ? SendRefusal::Resting : SendRefusal::None;
}

bool
ReplicaSet::MayUse(const ReplicaLink& aLink, const AttemptOrder& aOrder) const
{
  return WhyNot(aLink, aOrder) == SendRefusal::None;
}

bool
ReplicaSet::HasUsable(std::string_view aService)
{
  const auto& links = ServiceOf(aService).links;
  return std::any_of(
    links.begin(), links.end(), [this](const auto& aLink) { return MayUse(*aLink, {}); });
}

bool
ReplicaSet::TakeColdRate(ReplicaLink& aLink)
{
  const declaration::ServiceLimits* rule =
    mTable ? mTable->FindService(aLink.Replica().service) : nullptr;
  if (rule == nullptr || rule->coldRate <= 0.0 || !aLink.IsCold()) {
    return true;
  }
  return MaySendCold(mFleet.vms, mPlace.vm, aLink.Replica().id) &&
         aLink.Cold().Take(rule->coldRate, kColdSenders, mTimers.Now());
}

std::shared_ptr<ReplicaLink>
ReplicaSet::Choose(const std::vector<std::shared_ptr<ReplicaLink>>& aLinks,
                   core::Duration aFasterThan)
{
  std::vector<ReplicaView> views;
  views.reserve(aLinks.size());
  for (const std::shared_ptr<ReplicaLink>& link : aLinks) {
    views.push_back(link->View());
    if (aFasterThan > core::Duration::zero() && ExpectedTime(views.back()) >= aFasterThan) {
      views.back().hasRoom = false;
    }
  }
  const std::uint64_t tieBreak = mRandom.Below(aLinks.size());
  while (const auto index = ChooseReplica(views, tieBreak)) {
    if (TakeColdRate(*aLinks[*index])) {
      return aLinks[*index];
    }
    views[*index].hasRoom = false;
  }
  return nullptr;
}

void
ReplicaSet::WakeWaiter(std::string_view aService)
{
  WakeIfHopeless(aService);
  auto& waiters = ServiceOf(aService).waiters;
  if (waiters.empty()) {
    return;
  }
  const std::function<void()> callback = std::move(waiters.begin()->second);
  waiters.erase(waiters.begin());
  callback();
}

void
ReplicaSet::WakeIfHopeless(std::string_view aService)
{
  Service& service = ServiceOf(aService);
  if (service.waiters.empty() || HasUsable(aService)) {
    return;
  }
  // No room will come, so that all of them are told now and not at their deadlines.
  const auto waiters = std::exchange(service.waiters, {});
  for (const auto& [key, callback] : waiters) {
    callback();
  }
}

void
ReplicaSet::Unlist(const std::shared_ptr<ReplicaLink>& aLink)
{
  auto& links = ServiceOf(aLink->Replica().service).links;
  links.erase(std::remove(links.begin(), links.end(), aLink), links.end());
}

} // namespace skylarkwing::upstream
