#include "upstream/part_router.h"

#include "upstream/upstream_messages.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwing::upstream {

using nlohmann::json;

namespace {

constexpr const char* kPartsKind = "parts";
constexpr const char* kAnswersKind = "part-answers";
constexpr const char* kCancelsKind = "part-cancels";

/** An owner answers by the deadline; an answer that is this much later is considered lost. */
constexpr core::Duration kAnswerGrace = std::chrono::milliseconds{ 20 };

/**
 * Time for which answers are retried: a daemon that has just joined may send parts before answers
 * can reach it.
 */
constexpr core::Duration kAnswerRetryTime = std::chrono::seconds{ 2 };

} // namespace

PartRouter::PartRouter(core::TimerService& aTimers,
                       core::Metrics& aMetrics,
                       net::PeerBus& aBus,
                       std::string aSelf,
                       PartRouterHooks aHooks)
  : mTimers(aTimers)
  , mBus(aBus)
  , mAnswerSender(aTimers, aBus)
  , mSelf(std::move(aSelf))
  , mHooks(std::move(aHooks))
  , mLocalParts(aMetrics.Counter("skylarkwing_upstream_routed_parts_total",
                                 "Parts sent to the owner of their replica.",
                                 { { "owner", "self" } }))
  , mRemoteParts(aMetrics.Counter("skylarkwing_upstream_routed_parts_total",
                                  "Parts sent to the owner of their replica.",
                                  { { "owner", "peer" } }))
  , mLateAnswers(aMetrics.Counter("skylarkwing_upstream_late_answers_total",
                                  "Answers of owners to parts that nobody waits for any more."))
{
  mBus.OnMessage(kPartsKind, [this](const net::PeerMessageOrigin& aOrigin, const json& aBody) {
    OnParts(aOrigin, aBody);
  });
  mBus.OnMessage(kAnswersKind, [this](const net::PeerMessageOrigin& aOrigin, const json& aBody) {
    OnAnswers(aOrigin, aBody);
  });
  mBus.OnMessage(kCancelsKind,
                 [this](const net::PeerMessageOrigin&, const json& aBody) { OnCancels(aBody); });
}

PartRouter::~PartRouter()
{
  mTimers.Cancel(mFlushTimer);
  for (auto& [id, waiting] : mWaiting) {
    mTimers.Cancel(waiting.timer);
  }
}

void
PartRouter::Send(PartRequest aPart, PartCallback aCallback)
{
  const std::string owner = mHooks.ownerOf(aPart.replica);
  if (owner == mSelf) {
    mLocalParts.Increment();
    mHooks.dispatch(std::move(aPart), std::move(aCallback));
    return;
  }
  if (owner.empty()) {
    PartAnswer answer;
    answer.partId = aPart.partId;
    answer.status = PartStatus::NotRun;
    answer.refusal = PartRefusal::Unavailable;
    answer.snapshot = aPart.snapshot;
    answer.shard = aPart.shard;
    aCallback(std::move(answer));
    return;
  }
  mRemoteParts.Increment();
  RemotePart waiting;
  waiting.owner = owner;
  waiting.snapshot = aPart.snapshot;
  waiting.shard = aPart.shard;
  waiting.callback = std::move(aCallback);
  const std::string partId = aPart.partId;
  const core::Duration left = aPart.deadline - mTimers.Now() + kAnswerGrace;
  waiting.timer = mTimers.Schedule(
    left, [this, partId] { End(partId, PartStatus::Unknown, PartRefusal::ConnectionLost); });
  mWaiting.emplace(partId, std::move(waiting));
  OutgoingTo(owner).parts.push_back(std::move(aPart));
}

void
PartRouter::Cancel(const std::string& aReplica, const std::string& aPartId)
{
  const auto it = mWaiting.find(aPartId);
  if (it != mWaiting.end()) {
    OutgoingTo(it->second.owner).cancels.push_back(aPartId);
    return;
  }
  if (mHooks.ownerOf(aReplica) == mSelf) {
    mHooks.cancel(aPartId);
  }
}

void
PartRouter::OnMemberGone(const std::string& aVm)
{
  std::vector<std::string> lost;
  for (const auto& [id, waiting] : mWaiting) {
    if (waiting.owner == aVm) {
      lost.push_back(id);
    }
  }
  for (const std::string& id : lost) {
    End(id, PartStatus::Unknown, PartRefusal::ConnectionLost);
  }
}

PartRouter::Outgoing&
PartRouter::OutgoingTo(const std::string& aVm)
{
  if (mFlushTimer == 0) {
    mFlushTimer = mTimers.Schedule(core::Duration::zero(), [this] { Flush(); });
  }
  return mOutgoing[aVm];
}

void
PartRouter::Flush()
{
  mFlushTimer = 0;
  const std::map<std::string, Outgoing> outgoing = std::exchange(mOutgoing, {});
  for (const auto& [vm, messages] : outgoing) {
    FlushTo(vm, messages);
  }
}

void
PartRouter::FlushTo(const std::string& aVm, const Outgoing& aOutgoing)
{
  if (!aOutgoing.parts.empty() &&
      !mBus.Send(aVm, kPartsKind, PackParts(aOutgoing.parts, mTimers.Now()))) {
    for (const PartRequest& part : aOutgoing.parts) {
      End(part.partId, PartStatus::NotRun, PartRefusal::Unavailable);
    }
  }
  if (!aOutgoing.cancels.empty()) {
    mBus.Send(aVm, kCancelsKind, json{ { "parts", aOutgoing.cancels } });
  }
  if (!aOutgoing.answers.empty()) {
    mAnswerSender.Send(
      aVm, kAnswersKind, json{ { "answers", aOutgoing.answers } }, kAnswerRetryTime);
  }
}

void
PartRouter::End(const std::string& aPartId, PartStatus aStatus, PartRefusal aRefusal)
{
  const auto it = mWaiting.find(aPartId);
  if (it == mWaiting.end()) {
    return;
  }
  RemotePart waiting = std::move(it->second);
  mWaiting.erase(it);
  mTimers.Cancel(waiting.timer);
  PartAnswer answer;
  answer.partId = aPartId;
  answer.status = aStatus;
  answer.refusal = aRefusal;
  answer.snapshot = waiting.snapshot;
  answer.shard = waiting.shard;
  waiting.callback(std::move(answer));
}

void
PartRouter::OnParts(const net::PeerMessageOrigin& aOrigin, const json& aBody)
{
  for (PartRequest& part : UnpackParts(aBody, mTimers.Now(), aOrigin.age)) {
    PartCallback reply = [this, vm = aOrigin.vm](PartAnswer aAnswer) {
      OutgoingTo(vm).answers.push_back(std::move(aAnswer));
    };
    mHooks.dispatch(std::move(part), std::move(reply));
  }
}

void
PartRouter::OnCancels(const json& aBody)
{
  for (const json& id : aBody.at("parts")) {
    mHooks.cancel(id.get<std::string>());
  }
}

void
PartRouter::OnAnswers(const net::PeerMessageOrigin& aOrigin, const json& aBody)
{
  for (PartAnswer& answer : aBody.at("answers").get<std::vector<PartAnswer>>()) {
    const auto it = mWaiting.find(answer.partId);
    if (it == mWaiting.end() || it->second.owner != aOrigin.vm) {
      mLateAnswers.Increment();
      continue;
    }
    RemotePart waiting = std::move(it->second);
    mWaiting.erase(it);
    mTimers.Cancel(waiting.timer);
    waiting.callback(std::move(answer));
  }
}

} // namespace skylarkwing::upstream
