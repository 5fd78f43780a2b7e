#include "membership/warmup_promises.h"

#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;

constexpr const char* kRequestKind = "promise-request";
constexpr const char* kAnswerKind = "promise";
constexpr const char* kReleaseKind = "promise-release";

constexpr milliseconds kAnswerTimeout{ 500 };

/** What the asker leaves of a promise's time, for clocks that run apart. */
constexpr milliseconds kClockMargin{ 500 };

std::string
TextIn(const nlohmann::json& aBody, const char* aKey)
{
  const bool isText = aBody.is_object() && aBody.contains(aKey) && aBody[aKey].is_string();
  return isText ? aBody[aKey].get<std::string>() : std::string();
}

std::string
AskerOf(const std::string& aVm, const std::string& aIncarnation)
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
  for (auto& [request, round] : mRounds) {
    mTimers.Cancel(round->timer);
  }
}

core::Task<std::optional<core::TimePoint>>
WarmupPromises::RequestFromAll(std::string aReplica)
{
  const core::TimePoint askedAt = mTimers.Now();
  const std::string request = mRandom.Token();
  // Its own promise comes first: it may have promised the replica to another.
  if (!Grant(aReplica, SelfAsker(), request)) {
    co_return std::nullopt;
  }
  auto round = std::make_shared<Round>();
  round->replica = aReplica;
  round->waitingFor = Promisers();
  mRounds[request] = round;
  std::function<void(std::function<void()>)> start =
    [this, request, round](std::function<void()> aWake) {
      round->wake = std::move(aWake);
      Ask(request, *round);
    };
  co_await core::AwaitCallback(std::move(start));
  mRounds.erase(request);
  if (round->isRefused || !round->waitingFor.empty()) {
    Release(aReplica);
    co_return std::nullopt;
  }
  const std::optional<core::TimePoint> until = askedAt + kPromiseTtl - kClockMargin;
  co_return until;
}

void
WarmupPromises::Release(const std::string& aReplica)
{
  const auto it = mMade.find(aReplica);
  if (it == mMade.end() || it->second.asker != SelfAsker()) {
    return;
  }
  mMade.erase(it);
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
  const auto it = mMade.find(aReplica);
  if (it == mMade.end() || it->second.asker == SelfAsker()) {
    return std::nullopt;
  }
  return it->second.until;
}

bool
WarmupPromises::Grant(const std::string& aReplica,
                      const std::string& aAsker,
                      const std::string& aRequest)
{
  const core::TimePoint now = mTimers.Now();
  const bool isYoung = now - mStartedAt < core::Duration(kPromiseTtl);
  const bool isOwn = aAsker == SelfAsker();
  const bool isInUse = !isOwn && mHooks.holdsPermit && mHooks.holdsPermit(aReplica);
  const auto it = mMade.find(aReplica);
  const bool isAnothers = it != mMade.end() && it->second.asker != aAsker && it->second.until > now;
  if (isYoung || isInUse || isAnothers || mMembership.IsSuperseded()) {
    mRefused.Increment();
    return false;
  }
  mMade[aReplica] = { aAsker, aRequest, now + kPromiseTtl };
  mGranted.Increment();
  return true;
}

std::set<std::string>
WarmupPromises::Promisers() const
{
  std::set<std::string> vms;
  for (const auto& [vm, entry] : mMembership.Table().Entries()) {
    if (!entry.isForgotten) {
      vms.insert(vm);
    }
  }
  return vms;
}

void
WarmupPromises::Ask(const std::string& aRequest, Round& aRound)
{
  if (aRound.waitingFor.empty()) {
    End(aRound);
    return;
  }
  aRound.timer = mTimers.Schedule(kAnswerTimeout, [this, aRequest] {
    const auto it = mRounds.find(aRequest);
    if (it != mRounds.end()) {
      End(*it->second);
    }
  });
  const nlohmann::json body{ { "replica", aRound.replica }, { "request", aRequest } };
  for (const auto& vm : aRound.waitingFor) {
    mMembership.Send(vm, kRequestKind, body);
  }
}

void
WarmupPromises::End(Round& aRound)
{
  mTimers.Cancel(aRound.timer);
  const auto wake = std::exchange(aRound.wake, nullptr);
  if (wake) {
    wake();
  }
}

void
WarmupPromises::HandleRequest(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const std::string replica = TextIn(aBody, "replica");
  const std::string request = TextIn(aBody, "request");
  if (replica.empty() || request.empty()) {
    return;
  }
  const std::string asker = AskerOf(aOrigin.vm, aOrigin.incarnation);
  const bool isGranted = Grant(replica, asker, request);
  mMembership.Send(aOrigin.vm, kAnswerKind, { { "request", request }, { "granted", isGranted } });
}

void
WarmupPromises::HandleAnswer(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto it = mRounds.find(TextIn(aBody, "request"));
  const bool isWhole = aBody.contains("granted") && aBody["granted"].is_boolean();
  if (it == mRounds.end() || !isWhole) {
    return;
  }
  Round& round = *it->second;
  if (!aBody["granted"].get<bool>()) {
    round.isRefused = true;
    End(round);
    return;
  }
  round.waitingFor.erase(aOrigin.vm);
  if (round.waitingFor.empty()) {
    End(round);
  }
}

void
WarmupPromises::HandleRelease(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto it = mMade.find(TextIn(aBody, "replica"));
  const std::string asker = AskerOf(aOrigin.vm, aOrigin.incarnation);
  if (it != mMade.end() && it->second.asker == asker) {
    mMade.erase(it);
  }
}

std::string
WarmupPromises::SelfAsker() const
{
  return AskerOf(mMembership.Self().vm, mMembership.Self().incarnation);
}

} // namespace skylarkwing::membership
