#include "caller/peer_forwarder.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::caller {

namespace {

using net::HttpClientError;
using query::RequestOutcome;
using query::RequestResult;

/** Most daemons that are asked for one request. */
constexpr std::size_t kMaxPeers = 4;

/** Timeout for opening a connection to another daemon: twice the longest round trip, and some. */
constexpr core::Duration kConnectTimeout = std::chrono::milliseconds{ 200 };

/** No daemon is asked with less time than this left. */
constexpr core::Duration kMinForwardTime = std::chrono::milliseconds{ 15 };

/** Time after the deadline in which the other daemon's refusal may still arrive. */
constexpr core::Duration kAnswerSlack = std::chrono::milliseconds{ 100 };

/** Idle connections kept to one daemon, and how long. The other daemon keeps them longer. */
constexpr std::size_t kMaxIdle = 8;
constexpr core::Duration kMaxIdleTime = std::chrono::seconds{ 5 };

/** Retry delay for a request that no daemon can serve; about the time until the list is renewed. */
constexpr core::Duration kRetryAfterNoPeer = std::chrono::milliseconds{ 400 };

PeerFailure
FailureOf(const ForwardOutcome& aOutcome)
{
  if (aOutcome.reason == "partitioned") {
    return PeerFailure::Partitioned;
  }
  if (aOutcome.reason == "stopping") {
    return PeerFailure::Stopping;
  }
  return aOutcome.reason == "outdated" ? PeerFailure::Outdated : PeerFailure::Overloaded;
}

} // namespace

void
ForwardRun::Cancel()
{
  mIsCancelled = true;
  if (mConnection) {
    mConnection->Close();
  }
}

PeerForwarder::PeerForwarder(core::TimerService& aTimers,
                             core::RandomSource& aRandom,
                             core::Metrics& aMetrics,
                             net::HttpConnectionFactory aMakeConnection,
                             std::string aRegion,
                             PeerForwarderHooks aHooks)
  : mTimers(aTimers)
  , mMakeConnection(std::move(aMakeConnection))
  , mHooks(std::move(aHooks))
  , mChoice(aTimers, aRandom, std::move(aRegion))
  , mMetrics(aMetrics)
{
}

core::Task<RequestResult>
PeerForwarder::Forward(ForwardPlan aPlan, std::shared_ptr<ForwardRun> aRun)
{
  RequestResult result;
  result.retryAfter = kRetryAfterNoPeer;
  const bool isIdempotent = aPlan.request->isIdempotent;
  std::vector<std::string> tried;
  std::size_t runs = 0;
  while (!aRun->mIsCancelled && tried.size() < kMaxPeers &&
         aPlan.deadline - mTimers.Now() >= kMinForwardTime) {
    const std::vector<ForwardPeer> peers = mHooks.listPeers();
    const ForwardPeer* peer = mChoice.Choose(peers, tried, aPlan.regions);
    if (peer == nullptr) {
      break;
    }
    tried.push_back(peer->vm);
    PeerResult reply = co_await Ask(*peer, aPlan, *aRun);
    const std::string_view verdict = NameOf(reply.outcome.verdict);
    result.reason += peer->vm + "=" + std::string(verdict) +
                     (reply.outcome.reason.empty() ? "" : "(" + reply.outcome.reason + ")") + "; ";
    Count(verdict);
    if (reply.outcome.verdict == ForwardVerdict::Final) {
      // A refusal, which has a reason, says that the request was not run.
      const bool isFalse = aPlan.mayHaveRun && !reply.outcome.reason.empty();
      result.outcome = isFalse ? RequestOutcome::Failed : RequestOutcome::Forwarded;
      result.response = std::move(reply.response);
      co_return result;
    }
    if (reply.failure && !aRun->mIsCancelled) {
      mChoice.RecordFailure(peer->vm, *reply.failure);
    }
    if (reply.outcome.verdict == ForwardVerdict::Lost) {
      aPlan.terms.isRepeat = true;
      aPlan.mayHaveRun = true;
      if (!isIdempotent || ++runs >= aPlan.maxRuns) {
        break;
      }
    }
  }
  const bool isLate = aPlan.deadline - mTimers.Now() < kMinForwardTime;
  result.outcome = !aPlan.mayHaveRun ? RequestOutcome::NotRun
                   : isLate          ? RequestOutcome::TimedOut
                                     : RequestOutcome::Failed;
  if (tried.empty()) {
    Count("no_peer");
  }
  co_return result;
}

core::Task<PeerForwarder::PeerResult>
PeerForwarder::Ask(const ForwardPeer& aPeer, const ForwardPlan& aPlan, ForwardRun& aRun)
{
  PeerResult result;
  std::optional<net::HttpResult> reply = co_await Exchange(aPeer, aPlan, aRun);
  if (!reply || reply->error == HttpClientError::NothingSent) {
    result.outcome = { ForwardVerdict::NotRun, "unreachable" };
    result.failure = PeerFailure::Unreachable;
    co_return result;
  }
  if (reply->error == HttpClientError::InvalidRequest) {
    result.outcome = { ForwardVerdict::NotRun, std::string(net::NameOf(reply->error)) };
    co_return result;
  }
  if (reply->error != HttpClientError::None) {
    result.outcome = { ForwardVerdict::Lost, std::string(net::NameOf(reply->error)) };
    if (reply->error != HttpClientError::NotEnoughMemory) {
      result.failure = PeerFailure::Unreachable;
    }
    co_return result;
  }
  const auto outcome = TakeForwardOutcome(reply->response);
  if (!outcome) {
    // An earlier build refuses what it doesn't know.
    result.outcome = { ForwardVerdict::NotRun, "unsupported" };
    result.failure = PeerFailure::Unsupported;
    co_return result;
  }
  result.outcome = *outcome;
  if (outcome->verdict != ForwardVerdict::Final) {
    result.failure = FailureOf(*outcome);
  }
  result.response = std::move(reply->response);
  co_return result;
}

core::Task<std::optional<net::HttpResult>>
PeerForwarder::Exchange(const ForwardPeer& aPeer, const ForwardPlan& aPlan, ForwardRun& aRun)
{
  // A connection that the other daemon has closed in the meantime is replaced by a new one.
  while (!aRun.mIsCancelled) {
    std::shared_ptr<net::HttpConnection> connection = TakeIdle(aPeer.address);
    const bool isReused = connection != nullptr;
    if (!isReused) {
      connection = mMakeConnection();
      aRun.mConnection = connection;
      const core::TimePoint begin = mTimers.Now();
      if (!co_await connection->Connect(aPeer.address, kConnectTimeout) || aRun.mIsCancelled) {
        break;
      }
      mRoundTrips[aPeer.address] = mTimers.Now() - begin;
    }
    aRun.mConnection = connection;
    const core::Duration left = aPlan.deadline - mTimers.Now() + kAnswerSlack;
    const core::Duration limit =
      aPlan.request->isIdempotent ? std::min(left, aPlan.patience) : left;
    net::HttpResult reply = co_await connection->Exchange(MakeRequest(aPeer, aPlan), limit);
    aRun.mConnection.reset();
    if (reply.error == HttpClientError::NothingSent && isReused) {
      continue;
    }
    if (connection->IsOpen()) {
      Release(aPeer.address, std::move(connection));
    }
    co_return reply;
  }
  aRun.mConnection.reset();
  co_return std::nullopt;
}

net::HttpRequest
PeerForwarder::MakeRequest(const ForwardPeer& aPeer, const ForwardPlan& aPlan) const
{
  const core::TimePoint now = mTimers.Now();
  const auto roundTrip = mRoundTrips.find(aPeer.address);
  net::HttpRequest request = aPlan.request->message;
  ForwardTerms terms = aPlan.terms;
  terms.age = now - aPlan.arrival +
              (roundTrip == mRoundTrips.end() ? core::Duration::zero() : roundTrip->second);
  mHooks.setDeadline(request, aPlan.deadline - now);
  if (!aPlan.apiKey.empty()) {
    mHooks.setApiKey(request, aPlan.apiKey);
  }
  AddForwardTerms(request, terms);
  return request;
}

std::shared_ptr<net::HttpConnection>
PeerForwarder::TakeIdle(const std::string& aAddress)
{
  std::vector<IdleConnection>& idle = mIdle[aAddress];
  while (!idle.empty()) {
    const IdleConnection newest = std::move(idle.back());
    idle.pop_back();
    if (mTimers.Now() - newest.idleSince < kMaxIdleTime && newest.connection->IsOpen()) {
      return newest.connection;
    }
  }
  return nullptr;
}

void
PeerForwarder::Release(const std::string& aAddress,
                       std::shared_ptr<net::HttpConnection> aConnection)
{
  const core::TimePoint now = mTimers.Now();
  std::erase_if(mIdle, [now](const auto& aEntry) {
    return aEntry.second.empty() || now - aEntry.second.back().idleSince >= kMaxIdleTime;
  });
  std::vector<IdleConnection>& idle = mIdle[aAddress];
  if (idle.size() < kMaxIdle) {
    idle.push_back({ std::move(aConnection), now });
  }
}

void
PeerForwarder::Count(std::string_view aOutcome)
{
  mMetrics
    .Counter("skylarkwing_entry_forwards_total",
             "Requests that this daemon, cut off from the replicas, sent to others, by outcome.",
             { { "outcome", std::string(aOutcome) } })
    .Increment();
}

} // namespace skylarkwing::caller
