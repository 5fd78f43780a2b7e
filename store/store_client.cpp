#include "store/store_client.h"

#include "core/log.h"
#include "store/etcd_codec.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace skylarkwing::store {

namespace {

constexpr std::array kKinds{ CallKind::Range,          CallKind::Transaction, CallKind::LeaseGrant,
                             CallKind::LeaseKeepAlive, CallKind::LeaseRevoke, CallKind::Watch };
constexpr std::array kErrors{ StoreError::None,           StoreError::Unavailable,
                              StoreError::OutcomeUnknown, StoreError::Refused,
                              StoreError::Malformed,      StoreError::RateLimited };
constexpr std::array kPaths{ "/v3/kv/range",        "/v3/kv/txn",       "/v3/lease/grant",
                             "/v3/lease/keepalive", "/v3/lease/revoke", "/v3/watch" };
constexpr unsigned kFirstClientError = 400;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kOk = 200;

net::HttpRequest
MakeRequest(CallKind aKind, std::string aBody)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = kPaths.at(static_cast<std::size_t>(aKind));
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body = std::move(aBody);
  return request;
}

StoreError
ToStoreError(const net::HttpResult& aReply)
{
  switch (aReply.error) {
    case net::HttpClientError::ConnectFailed:
    case net::HttpClientError::NothingSent:
    case net::HttpClientError::InvalidRequest:
      return StoreError::Unavailable;
    case net::HttpClientError::Broken:
    case net::HttpClientError::TimedOut:
      return StoreError::OutcomeUnknown;
    case net::HttpClientError::Malformed:
    case net::HttpClientError::NotEnoughMemory:
      return StoreError::Malformed;
    case net::HttpClientError::None:
      break;
  }
  const unsigned status = aReply.response.status;
  if (status == kOk) {
    return StoreError::None;
  }
  // After a server error, the members of the store may still commit the proposal.
  if (status >= kFirstServerError || status == kTooManyRequests) {
    return StoreError::OutcomeUnknown;
  }
  return status >= kFirstClientError ? StoreError::Refused : StoreError::Malformed;
}

/** @return whether the result shows that the server works. */
bool
IsServerWorking(StoreError aError)
{
  return aError == StoreError::None || aError == StoreError::Refused;
}

bool
IsSafeToRepeat(CallKind aKind, StoreError aError)
{
  if (aError == StoreError::Unavailable) {
    return true;
  }
  return aKind != CallKind::Transaction && !IsServerWorking(aError);
}

} // namespace

/** One server and its recent state. */
struct StoreClient::Server
{
  Server(StoreEndpoint aEndpoint, Backoff aBackoff)
    : endpoint(std::move(aEndpoint))
    , backoff(aBackoff)
  {
  }

  StoreEndpoint endpoint;
  Backoff backoff;
  core::TimePoint retryAt{};
};

/** Result of a call: an error, or the body of the answer. */
struct StoreClient::Answer
{
  StoreError error = StoreError::None;
  std::string body;
};

/** Metrics of one kind of call. */
struct StoreClient::CallMetrics
{
  std::vector<prometheus::Counter*> counters;
  prometheus::Histogram* seconds = nullptr;
};

StoreClient::StoreClient(core::TimerService& aTimers,
                         core::RandomSource& aRandom,
                         core::Metrics& aMetrics,
                         std::vector<StoreEndpoint> aEndpoints,
                         StoreClientLimits aLimits)
  : mTimers(aTimers)
  , mLimits(aLimits)
  , mRateLimiter(aTimers, aLimits.maxCallsPerSecond, aLimits.burst)
{
  for (StoreEndpoint& endpoint : aEndpoints) {
    const Backoff backoff(aRandom, aLimits.initialBackoff, aLimits.maxBackoff);
    mServers.push_back(std::make_unique<Server>(std::move(endpoint), backoff));
  }
  // A random first server spreads the processes over the servers.
  mPreferred = aRandom.Below(mServers.size());
  const core::Metrics::Buckets buckets{ 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0 };
  for (const CallKind kind : kKinds) {
    const std::string name(NameOf(kind));
    CallMetrics& metrics = mCallMetrics.emplace_back();
    for (const StoreError error : kErrors) {
      metrics.counters.push_back(&aMetrics.Counter(
        "skylarkwing_store_calls_total",
        "Calls to the platform's store, by kind and result; budget_spent was not sent.",
        { { "kind", name }, { "result", std::string(NameOf(error)) } }));
    }
    metrics.seconds = &aMetrics.Histogram("skylarkwing_store_call_seconds",
                                          "Time of one call to the platform's store.",
                                          buckets,
                                          { { "kind", name } });
  }
}

StoreClient::~StoreClient() = default;

core::Task<RangeResult>
StoreClient::Range(RangeRequest aRequest, core::Duration aTimeLimit)
{
  std::string body = EncodeRange(aRequest);
  const Answer answer = co_await Call(CallKind::Range, std::move(body), aTimeLimit);
  RangeResult result;
  result.error = answer.error;
  if (answer.error != StoreError::None) {
    co_return result;
  }
  std::optional<RangeResult> decoded = DecodeRange(answer.body);
  result.error = StoreError::Malformed;
  if (decoded) {
    result = std::move(*decoded);
  }
  co_return result;
}

core::Task<TransactionResult>
StoreClient::RunTransaction(Transaction aTransaction, core::Duration aTimeLimit)
{
  std::string body = EncodeTransaction(aTransaction);
  const Answer answer = co_await Call(CallKind::Transaction, std::move(body), aTimeLimit);
  TransactionResult result;
  result.error = answer.error;
  if (answer.error != StoreError::None) {
    co_return result;
  }
  std::optional<TransactionResult> decoded = DecodeTransaction(answer.body);
  result.error = StoreError::Malformed;
  if (decoded) {
    result = std::move(*decoded);
  }
  co_return result;
}

core::Task<LeaseResult>
StoreClient::GrantLease(std::chrono::seconds aTimeToLive, core::Duration aTimeLimit)
{
  std::string body = EncodeLeaseGrant(aTimeToLive);
  const Answer answer = co_await Call(CallKind::LeaseGrant, std::move(body), aTimeLimit);
  LeaseResult result;
  result.error = answer.error;
  if (answer.error == StoreError::None) {
    const std::optional<LeaseResult> decoded = DecodeLeaseGrant(answer.body);
    result.error = StoreError::Malformed;
    result = decoded.value_or(result);
  }
  co_return result;
}

core::Task<LeaseResult>
StoreClient::KeepLeaseAlive(LeaseId aLease, core::Duration aTimeLimit)
{
  std::string body = EncodeLease(aLease);
  const Answer answer = co_await Call(CallKind::LeaseKeepAlive, std::move(body), aTimeLimit);
  LeaseResult result;
  result.error = answer.error;
  if (answer.error == StoreError::None) {
    const std::optional<LeaseResult> decoded = DecodeLeaseKeepAlive(answer.body);
    result.error = StoreError::Malformed;
    result = decoded.value_or(result);
  }
  co_return result;
}

core::Task<StoreError>
StoreClient::RevokeLease(LeaseId aLease, core::Duration aTimeLimit)
{
  std::string body = EncodeLease(aLease);
  const Answer answer = co_await Call(CallKind::LeaseRevoke, std::move(body), aTimeLimit);
  co_return answer.error;
}

core::Task<WatchResult>
StoreClient::Watch(std::string aKey, Revision aStart, core::Duration aTimeLimit)
{
  const core::TimePoint deadline = mTimers.Now() + aTimeLimit;
  WatchResult result;
  result.error = co_await WaitForPermission(deadline);
  if (result.error != StoreError::None) {
    CountCall(CallKind::Watch, result.error);
    co_return result;
  }
  Server& server = PickServer();
  const core::TimePoint start = mTimers.Now();
  net::HttpRequest request = MakeRequest(CallKind::Watch, EncodeWatch(aKey, aStart));
  const core::Duration timeout = AttemptTimeout(aTimeLimit, deadline);
  StreamReply opened = co_await server.endpoint.openStream(std::move(request), timeout);
  result.error = ToStoreError(opened.reply);
  RecordAttempt(CallKind::Watch, server, result.error, start);
  if (result.error == StoreError::None) {
    result.stream = std::make_shared<WatchStream>(std::move(opened.readNext));
  }
  co_return result;
}

void
StoreClient::SetFleetSize(std::size_t aMembers)
{
  const double share =
    mLimits.fleetCallsPerSecond / static_cast<double>(std::max<std::size_t>(1, aMembers));
  mRateLimiter.SetRate(std::clamp(share, mLimits.minCallsPerSecond, mLimits.maxCallsPerSecond));
}

core::Task<StoreClient::Answer>
StoreClient::Call(CallKind aKind, std::string aBody, core::Duration aTimeLimit)
{
  const core::TimePoint deadline = mTimers.Now() + aTimeLimit;
  Answer answer;
  bool isSent = false;
  for (;;) {
    const StoreError permission = co_await WaitForPermission(deadline);
    if (permission != StoreError::None) {
      CountCall(aKind, permission);
      answer.error = isSent ? answer.error : permission;
      co_return answer;
    }
    const core::Duration timeout = AttemptTimeout(aTimeLimit, deadline);
    answer = co_await Attempt(aKind, aBody, timeout);
    if (!IsSafeToRepeat(aKind, answer.error)) {
      co_return answer;
    }
    isSent = isSent || answer.error != StoreError::Unavailable;
  }
}

core::Task<StoreError>
StoreClient::WaitForPermission(core::TimePoint aDeadline)
{
  const core::TimePoint now = mTimers.Now();
  const core::TimePoint readyAt = std::max(now, PickServer().retryAt);
  if (readyAt >= aDeadline) {
    co_return StoreError::Unavailable;
  }
  const std::optional<core::Duration> callDelay = mRateLimiter.Reserve(aDeadline - now);
  if (!callDelay) {
    co_return StoreError::RateLimited;
  }
  const core::Duration wait = std::max(readyAt - now, *callDelay);
  if (wait > core::Duration::zero()) {
    co_await core::Sleep(mTimers, wait);
  }
  co_return StoreError::None;
}

core::Task<StoreClient::Answer>
StoreClient::Attempt(CallKind aKind, std::string aBody, core::Duration aTimeout)
{
  Server& server = PickServer();
  const core::TimePoint start = mTimers.Now();
  net::HttpRequest request = MakeRequest(aKind, std::move(aBody));
  net::HttpResult reply = co_await server.endpoint.exchange(std::move(request), aTimeout);
  Answer answer;
  answer.error = ToStoreError(reply);
  answer.body = std::move(reply.response.body);
  RecordAttempt(aKind, server, answer.error, start);
  co_return answer;
}

core::Duration
StoreClient::AttemptTimeout(core::Duration aTimeLimit, core::TimePoint aDeadline) const
{
  const core::Duration remaining = aDeadline - mTimers.Now();
  return std::min(remaining, std::max(mLimits.attemptTimeout, aTimeLimit / 2));
}

StoreClient::Server&
StoreClient::PickServer()
{
  const core::TimePoint now = mTimers.Now();
  std::size_t earliest = mPreferred;
  for (std::size_t n = 0; n < mServers.size(); ++n) {
    const std::size_t index = (mPreferred + n) % mServers.size();
    if (mServers[index]->retryAt <= now) {
      return *mServers[index];
    }
    if (mServers[index]->retryAt < mServers[earliest]->retryAt) {
      earliest = index;
    }
  }
  return *mServers[earliest];
}

void
StoreClient::RecordAttempt(CallKind aKind,
                           Server& aServer,
                           StoreError aError,
                           core::TimePoint aStart)
{
  CountCall(aKind, aError);
  const std::chrono::duration<double> seconds = mTimers.Now() - aStart;
  mCallMetrics.at(static_cast<std::size_t>(aKind)).seconds->Observe(seconds.count());
  if (!IsServerWorking(aError)) {
    aServer.retryAt = mTimers.Now() + aServer.backoff.NextDelay();
    // The store is reachable as long as any of its servers is.
    if (PickServer().retryAt > mTimers.Now()) {
      SetReachable(false);
    }
    return;
  }
  aServer.retryAt = core::TimePoint{};
  aServer.backoff.Reset();
  mLastAnswered = std::max(mLastAnswered.value_or(aStart), aStart);
  SetReachable(true);
}

void
StoreClient::CountCall(CallKind aKind, StoreError aError)
{
  const CallMetrics& metrics = mCallMetrics.at(static_cast<std::size_t>(aKind));
  metrics.counters.at(static_cast<std::size_t>(aError))->Increment();
}

void
StoreClient::SetReachable(bool aIsReachable)
{
  if (aIsReachable == mIsReachable) {
    return;
  }
  mIsReachable = aIsReachable;
  core::LogEvent(aIsReachable ? core::LogLevel::Info : core::LogLevel::Warning,
                 "store",
                 aIsReachable ? "store_reachable" : "store_unreachable",
                 {});
}

} // namespace skylarkwing::store
