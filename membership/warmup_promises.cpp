#include "membership/warmup_promises.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

constexpr const char* kRequestKind = "promise-request";
constexpr const char* kAnswerKind = "promise";
constexpr const char* kReleaseKind = "promise-release";

constexpr milliseconds kAnswerTimeout{ 500 };

/** Deducted from kPromiseTtl by the requester, for clock drift. */
constexpr milliseconds kClockMargin{ 500 };

std::string
ReadString(const nlohmann::json& aBody, const char* aKey)
{
  const bool isString = aBody.is_object() && aBody.contains(aKey) && aBody[aKey].is_string();
  return isString ? aBody[aKey].get<std::string>() : std::string();
}

std::string
RequesterOf(const std::string& aVm, const std::string& aIncarnation)
{
  return aVm + "." + aIncarnation;
}

} // namespace

WarmupPromises::WarmupPromises(core::TimerService& aTimers,
                               core::RandomSource& aRandom,
                               core::Metrics& aMetrics,
                               MembershipService& aMembership,
                               WarmupPromiseHooks aHooks)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mMembership(aMembership)
  , mHooks(std::move(aHooks))
  , mStartedAt(aTimers.Now())
  , mGranted(aMetrics.Counter("skylarkwing_membership_promises_total",
                              "Answers to requests for a promise.",
                              { { "answer", "granted" } }))
  , mRefused(aMetrics.Counter("skylarkwing_membership_promises_total",
                              "Answers to requests for a promise.",
                              { { "answer", "refused" } }))
{
  using Origin = net::PeerMessageOrigin;
  mMembership.OnMessage(kRequestKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleRequest(aOrigin, aBody);
  });
  mMembership.OnMessage(kAnswerKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleAnswer(aOrigin, aBody);
  });
  mMembership.OnMessage(kReleaseKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleRelease(aOrigin, aBody);
  });
}

WarmupPromises::~WarmupPromises()
{
  for (auto& [request, pending] : mPending) {
    mTimers.Cancel(pending->timer);
  }
}

core::Task<std::optional<core::TimePoint>>
WarmupPromises::RequestFromAll(std::string aReplica)
{
  const core::TimePoint requestedAt = mTimers.Now();
  const std::string request = mRandom.Token();
  // This daemon may itself have promised the replica to another one.
  if (!Grant(aReplica, SelfRequester(), request)) {
    co_return std::nullopt;
  }
  auto pending = std::make_shared<PendingRequest>();
  pending->replica = aReplica;
  pending->unanswered = RequiredMembers();
  mPending[request] = pending;
  std::function<void(std::function<void()>)> start =
    [this, request, pending](std::function<void()> aResume) {
      pending->resume = std::move(aResume);
      SendRequests(request, *pending);
    };
  co_await core::AwaitCallback(std::move(start));
  mPending.erase(request);
  if (pending->isRefused || !pending->unanswered.empty()) {
    Release(aReplica);
    co_return std::nullopt;
  }
  const std::optional<core::TimePoint> until = requestedAt + kPromiseTtl - kClockMargin;
  co_return until;
}

void
WarmupPromises::Release(const std::string& aReplica)
{
  const auto it = mPromises.find(aReplica);
  if (it == mPromises.end() || it->second.requester != SelfRequester()) {
    return;
  }
  mPromises.erase(it);
  for (const auto& vm : mMembership.Peers()) {
    mMembership.Send(vm, kReleaseKind, { { "replica", aReplica } });
  }
}

bool
WarmupPromises::IsPromisedElsewhere(const std::string& aReplica) const
{
  const std::optional<core::TimePoint> until = PromisedElsewhereUntil(aReplica);
  return until && *until > mTimers.Now();
}

std::optional<core::TimePoint>
WarmupPromises::PromisedElsewhereUntil(const std::string& aReplica) const
{
  const auto it = mPromises.find(aReplica);
  if (it == mPromises.end() || it->second.requester == SelfRequester()) {
    return std::nullopt;
  }
  return it->second.until;
}

bool
WarmupPromises::Grant(const std::string& aReplica,
                      const std::string& aRequester,
                      const std::string& aRequest)
{
  const core::TimePoint now = mTimers.Now();
  const bool isTooYoung = now - mStartedAt < core::Duration(kPromiseTtl);
  const bool isOwn = aRequester == SelfRequester();
  const bool isInUse = !isOwn && mHooks.holdsPermit && mHooks.holdsPermit(aReplica);
  const auto it = mPromises.find(aReplica);
  const bool isPromised =
    it != mPromises.end() && it->second.requester != aRequester && it->second.until > now;
  if (isTooYoung || isInUse || isPromised || mMembership.IsSuperseded()) {
    mRefused.Increment();
    return false;
  }
  mPromises[aReplica] = { aRequester, aRequest, now + kPromiseTtl };
  mGranted.Increment();
  return true;
}

std::set<std::string>
WarmupPromises::RequiredMembers() const
{
  std::set<std::string> vms;
  for (const auto& [vm, entry] : mMembership.Table().Entries()) {
    if (!entry.isRemoved) {
      vms.insert(vm);
    }
  }
  return vms;
}

void
WarmupPromises::SendRequests(const std::string& aRequest, PendingRequest& aPending)
{
  if (aPending.unanswered.empty()) {
    Complete(aPending);
    return;
  }
  aPending.timer = mTimers.Schedule(kAnswerTimeout, [this, aRequest] {
    const auto it = mPending.find(aRequest);
    if (it != mPending.end()) {
      Complete(*it->second);
    }
  });
  const nlohmann::json body{ { "replica", aPending.replica }, { "request", aRequest } };
  for (const auto& vm : aPending.unanswered) {
    mMembership.Send(vm, kRequestKind, body);
  }
}

void
WarmupPromises::Complete(PendingRequest& aPending)
{
  mTimers.Cancel(aPending.timer);
  const auto resume = std::exchange(aPending.resume, nullptr);
  if (resume) {
    resume();
  }
}

void
WarmupPromises::HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const std::string replica = ReadString(aBody, "replica");
  const std::string request = ReadString(aBody, "request");
  if (replica.empty() || request.empty()) {
    return;
  }
  const std::string requester = RequesterOf(aOrigin.vm, aOrigin.incarnation);
  const bool isGranted = Grant(replica, requester, request);
  mMembership.Send(aOrigin.vm, kAnswerKind, { { "request", request }, { "granted", isGranted } });
}

void
WarmupPromises::HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto it = mPending.find(ReadString(aBody, "request"));
  const bool isValid = aBody.contains("granted") && aBody["granted"].is_boolean();
  if (it == mPending.end() || !isValid) {
    return;
  }
  PendingRequest& pending = *it->second;
  if (!aBody["granted"].get<bool>()) {
    pending.isRefused = true;
    Complete(pending);
    return;
  }
  pending.unanswered.erase(aOrigin.vm);
  if (pending.unanswered.empty()) {
    Complete(pending);
  }
}

void
WarmupPromises::HandleRelease(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto it = mPromises.find(ReadString(aBody, "replica"));
  const std::string requester = RequesterOf(aOrigin.vm, aOrigin.incarnation);
  if (it != mPromises.end() && it->second.requester == requester) {
    mPromises.erase(it);
  }
}

std::string
WarmupPromises::SelfRequester() const
{
  return RequesterOf(mMembership.Self().vm, mMembership.Self().incarnation);
}

} // namespace skylarkwing::membership
