#include "upstream/replica_client.h"

#include "core/log.h"
#include "core/name_table.h"
#include "core/task.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace skylarkwing::upstream {

namespace {

constexpr core::NameTable<AttemptStatus, 9> kStatusNames{ { "answered",
                                                            "failed",
                                                            "not_run",
                                                            "wrong_replica",
                                                            "nothing_sent",
                                                            "lost",
                                                            "timed_out",
                                                            "garbled",
                                                            "dropped" } };

/** Weight of the newest sample in the exponential moving average of exchange times. */
constexpr double kSampleWeight = ReplicaSpeed::kSampleWeight;

/** A sample is capped at this many times the average, so that one stall doesn't distort it. */
constexpr double kMaxSampleFactor = 4.0;

/** Answers to other requests that are skipped before the connection is abandoned. */
constexpr int kMaxForeignAnswers = 2;

/** Refusals after which a connection is closed instead of remembering more of them. */
constexpr std::size_t kMaxRefusedIds = 16;

/** Age at which a replica's load report is outdated. */
constexpr core::Duration kMaxLoadAge = std::chrono::milliseconds{ 150 };

/** Age of the last load report at which the use of the slots is unknown. */
constexpr core::Duration kMaxUseAge = std::chrono::seconds{ 1 };

/** Weight of the newest report in the average use of the slots. */
constexpr double kUseWeight = 0.3;

AttemptResult
Result(AttemptStatus aStatus)
{
  AttemptResult result;
  result.status = aStatus;
  return result;
}

/** @return whether an attempt that ended so has got bytes of the replica. */
bool
IsAnswer(AttemptStatus aStatus)
{
  return aStatus != AttemptStatus::NothingSent && aStatus != AttemptStatus::Lost &&
         aStatus != AttemptStatus::TimedOut;
}

AttemptStatus
StatusOf(net::HttpClientError aError)
{
  switch (aError) {
    case net::HttpClientError::ConnectFailed:
    case net::HttpClientError::NothingSent:
    case net::HttpClientError::InvalidRequest:
      return AttemptStatus::NothingSent;
    case net::HttpClientError::TimedOut:
      return AttemptStatus::TimedOut;
    case net::HttpClientError::Malformed:
      return AttemptStatus::Garbled;
    case net::HttpClientError::NotEnoughMemory:
      return AttemptStatus::Dropped;
    case net::HttpClientError::None:
    case net::HttpClientError::Broken:
      break;
  }
  return AttemptStatus::Lost;
}

AttemptStatus
StatusOf(AnswerKind aKind)
{
  switch (aKind) {
    case AnswerKind::Success:
      return AttemptStatus::Answered;
    case AnswerKind::Failure:
      return AttemptStatus::Failed;
    case AnswerKind::NotRun:
      return AttemptStatus::NotRun;
    case AnswerKind::WrongReplica:
      return AttemptStatus::WrongReplica;
    case AnswerKind::Foreign:
    case AnswerKind::Invalid:
      break;
  }
  return AttemptStatus::Garbled;
}

} // namespace

std::string_view
NameOf(AttemptStatus aStatus)
{
  return kStatusNames.NameOf(aStatus);
}

bool
IsCertainlyNotRun(AttemptStatus aStatus)
{
  return aStatus == AttemptStatus::NotRun || aStatus == AttemptStatus::WrongReplica ||
         aStatus == AttemptStatus::NothingSent;
}

Attempt::Attempt(const AnnouncedReplica& aReplica,
                 core::TimePoint aStart,
                 core::Duration aTypicalTime)
  : mReplica(aReplica.id)
  , mProcessStart(aReplica.startedAt)
  , mStart(aStart)
  , mTypicalTime(aTypicalTime)
{
}

void
Attempt::Cancel()
{
  mIsCancelled = true;
  if (mConnection) {
    mConnection->Close();
  }
}

ReplicaClient::ReplicaClient(boost::asio::any_io_executor aExecutor,
                             core::TimerService& aTimers,
                             net::HttpConnectionFactory aMakeConnection,
                             const ReplicaProtocol& aProtocol,
                             ReplicaClientSettings aSettings,
                             AnnouncedReplica aReplica,
                             core::Duration aRoundTrip,
                             ReplicaAvailability aAvailability,
                             ReplicaClientHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mMakeConnection(std::move(aMakeConnection))
  , mProtocol(aProtocol)
  , mSettings(aSettings)
  , mReplica(std::move(aReplica))
  , mRoundTrip(aRoundTrip)
  , mAvailability(aAvailability)
  , mHooks(std::move(aHooks))
  , mIdleTimeout(aSettings.idleTimeout)
  , mTypicalTime(aRoundTrip + aSettings.assumedServiceTime)
  , mLastAnswerAt(aTimers.Now())
  , mColdUntil(aTimers.Now() + mReplica.coldRemaining)
{
}

void
ReplicaClient::Update(AnnouncedReplica aReplica)
{
  const bool isNewProcess = !IsSameProcess(aReplica, mReplica);
  // An announcement written before that answer doesn't contradict it.
  if (isNewProcess || aReplica.sequence > mReplica.sequence) {
    mIsAddressReassigned = false;
  }
  mReplica = std::move(aReplica);
  mColdUntil = mTimers.Now() + mReplica.coldRemaining;
  if (isNewProcess) {
    mIdle.clear();
    mTypicalTime = mRoundTrip + mSettings.assumedServiceTime;
    mHasAnswered = false;
    mFailures = 0;
    mFailureRate = {};
    mSuspectUntil = {};
    mLoad = {};
    mLoadAt = {};
    mSpeed = {};
    mAvailability = {};
  }
}

ReplicaCandidate
ReplicaClient::Candidate() const
{
  const core::TimePoint now = mTimers.Now();
  ReplicaCandidate candidate;
  const bool isFresh = now - mLastAnswerAt < mSettings.statisticsAge;
  candidate.typicalTime =
    isFresh ? mTypicalTime : std::min(mTypicalTime, mRoundTrip + mSettings.assumedServiceTime);
  candidate.serviceTime =
    std::max(candidate.typicalTime - mRoundTrip, core::Duration{ std::chrono::milliseconds{ 1 } });
  candidate.inFlight = static_cast<std::uint32_t>(mAttemptStarts.size());
  candidate.waiting = now - mLoadAt < kMaxLoadAge ? mLoad.waiting : 0;
  candidate.slots = mReplica.slots;
  if (const auto oldest = OldestAttempt()) {
    candidate.stalledFor = now - std::max(*oldest, mLastAnswerAt);
  }
  candidate.isMeasured = isFresh && mHasAnswered;
  if (mLoadAt != core::TimePoint{}) {
    candidate.reportAge = now - mLoadAt;
  }
  if (now - mLoadAt < kMaxUseAge) {
    candidate.use = mUse;
  }
  candidate.reportsSpeed = mSpeed.IsReported();
  if (candidate.reportsSpeed) {
    const core::Duration usual = candidate.serviceTime;
    candidate.slowdown = mSpeed.FactorAt(now);
    candidate.serviceTime = std::chrono::duration_cast<core::Duration>(usual * candidate.slowdown);
    candidate.typicalTime += candidate.serviceTime - usual;
  }
  // A new connection costs another round trip, and the replica a handshake.
  candidate.typicalTime +=
    mIdle.empty() ? mRoundTrip + mSettings.handshakeTime : core::Duration::zero();
  candidate.hasRoom = !mIsRetired && mAttemptStarts.size() < MaxInFlight();
  candidate.isSuspect = now < mSuspectUntil;
  candidate.isCold = now < mColdUntil;
  candidate.failureRate = mFailureRate.At(now);
  return candidate;
}

std::size_t
ReplicaClient::MaxInFlight() const
{
  return std::min<std::size_t>(mQuota.maxOpen, mAvailability.MaxInFlight(mTimers.Now()));
}

std::shared_ptr<Attempt>
ReplicaClient::Send(std::shared_ptr<const ForwardedRequest> aRequest,
                    AttemptKind aKind,
                    core::TimePoint aDeadline,
                    AttemptCallback aCallback)
{
  const core::TimePoint now = mTimers.Now();
  if (RateLimit().MaxRate()) {
    ++(aKind == AttemptKind::First ? mLimitedUse.first : mLimitedUse.extra);
  }
  auto attempt = std::make_shared<Attempt>(mReplica, now, mTypicalTime);
  mAttemptStarts.push_back(now);
  core::Start(
    mExecutor,
    Run(shared_from_this(), attempt, std::move(aRequest), aDeadline, std::move(aCallback)));
  return attempt;
}

void
ReplicaClient::Retire()
{
  mIsRetired = true;
  mIdle.clear();
}

core::Task<void>
ReplicaClient::Run([[maybe_unused]] std::shared_ptr<ReplicaClient> aSelf,
                   std::shared_ptr<Attempt> aAttempt,
                   std::shared_ptr<const ForwardedRequest> aRequest,
                   core::TimePoint aDeadline,
                   AttemptCallback aCallback)
{
  AttemptResult result = Result(AttemptStatus::Lost);
  bool hasFailed = false;
  try {
    result = co_await Exchange(aAttempt, std::move(aRequest), aDeadline);
  } catch (const std::exception& error) {
    // The cause is the request or the answer, so it says nothing about the replica.
    hasFailed = true;
    core::LogEvent(core::LogLevel::Error,
                   "upstream",
                   "exchange_failed",
                   { { "replica", mReplica.id }, { "error", error.what() } });
  }
  aAttempt->mConnection.reset();
  RemoveStart(aAttempt->mStart);
  if (IsAnswer(result.status)) {
    mHooks.onContact(ReplicaContact::Answered);
  }
  if (!aAttempt->mIsCancelled && !hasFailed) {
    RecordResult(*aAttempt, result.status);
  }
  result.wasCancelled = aAttempt->mIsCancelled;
  if (aAttempt->mSentAt) {
    result.exchangeTime = mTimers.Now() - *aAttempt->mSentAt;
  }
  aCallback(std::move(result));
  mHooks.onFree();
}

core::Task<AttemptResult>
ReplicaClient::Exchange(std::shared_ptr<Attempt> aAttempt,
                        std::shared_ptr<const ForwardedRequest> aRequest,
                        core::TimePoint aDeadline)
{
  // An idle connection that the replica has closed in the meantime is replaced by a new one.
  while (true) {
    const bool isReused = TakeIdle(*aRequest, *aAttempt);
    if (!isReused && !co_await Connect(aAttempt, aDeadline)) {
      co_return Result(AttemptStatus::NothingSent);
    }
    if (!MaySend(*aAttempt, aDeadline)) {
      co_return Result(AttemptStatus::NothingSent);
    }
    const core::TimePoint sentAt = mTimers.Now();
    aAttempt->mSentAt = sentAt;
    const core::Duration remaining = aDeadline - sentAt;
    const std::shared_ptr<net::HttpConnection> connection = aAttempt->mConnection;
    net::HttpRequest request = mProtocol.makeRequest(*aRequest, mReplica.id, remaining);
    mMemoryWaits->limit = std::max<std::size_t>(1, MaxInFlight() / 2);
    request.memoryWaitLimit = mMemoryWaits;
    net::HttpResult reply =
      co_await connection->Exchange(std::move(request), remaining + mSettings.answerSlack);
    if (reply.error == net::HttpClientError::NothingSent && isReused) {
      continue;
    }
    co_return co_await ReadOwnAnswer(aAttempt, std::move(reply), aRequest->id, sentAt, aDeadline);
  }
}

bool
ReplicaClient::MaySend(const Attempt& aAttempt, core::TimePoint aDeadline) const
{
  // An answer may have announced a shutdown or a backoff while the connection was opened.
  const core::TimePoint now = mTimers.Now();
  return !aAttempt.mIsCancelled && !mIsRetired && !mAvailability.IsLeaving() &&
         !mAvailability.IsBackingOff(now) && aDeadline > now;
}

void
ReplicaClient::HandleNotice(const ReplicaNotice& aNotice, core::TimePoint aSentAt)
{
  const core::TimePoint now = mTimers.Now();
  if (aNotice.isRateUnreadable) {
    mHooks.onRateLimitChange(RateLimitChange::Unreadable);
  }
  if (aNotice.hasRateState) {
    const RateLimitChange change =
      RateLimit().Apply(aNotice.maxRate, aSentAt, mHooks.drawJitter(), now);
    if (change != RateLimitChange::None) {
      mHooks.onRateLimitChange(change);
    }
  }
  const AvailabilityChange change = mAvailability.Apply(aNotice, mHooks.drawJitter(), now);
  if (change != AvailabilityChange::None) {
    mHooks.onAvailabilityChange(change);
  }
}

core::Task<bool>
ReplicaClient::Connect(std::shared_ptr<Attempt> aAttempt, core::TimePoint aDeadline)
{
  const core::Duration limit = std::min(mSettings.connectTimeout, aDeadline - mTimers.Now());
  aAttempt->mConnection = mMakeConnection();
  const std::shared_ptr<net::HttpConnection> connection = aAttempt->mConnection;
  if (limit <= core::Duration::zero()) {
    co_return false;
  }
  const core::TimePoint begin = mTimers.Now();
  const bool isConnected = co_await connection->Connect(mReplica.address, limit);
  const core::Duration took = mTimers.Now() - begin;
  if (isConnected) {
    RecordConnected(took);
  } else if (!aAttempt->mIsCancelled && (took < limit || limit >= mSettings.connectTimeout)) {
    // A timeout shortened by a near deadline says nothing about the replica.
    RecordConnectFailure();
  }
  co_return isConnected;
}

std::optional<core::Duration>
ReplicaClient::MeasuredRoundTrip() const
{
  return mIsRoundTripMeasured ? std::optional<core::Duration>(mRoundTrip) : std::nullopt;
}

void
ReplicaClient::SetAssumedRoundTrip(core::Duration aRoundTrip)
{
  if (!mIsRoundTripMeasured) {
    mRoundTrip = aRoundTrip;
    mTypicalTime = std::min(mTypicalTime, aRoundTrip + mSettings.assumedServiceTime);
  }
}

void
ReplicaClient::KeepWarm()
{
  DropStale();
  const bool isIdle = mIdle.empty() && mAttemptStarts.empty();
  if (!isIdle || mIsPreconnecting || mIsRetired || mTimers.Now() < mSuspectUntil) {
    return;
  }
  mIsPreconnecting = true;
  core::Start(mExecutor, Preconnect(shared_from_this()));
}

core::Task<void>
ReplicaClient::Preconnect([[maybe_unused]] std::shared_ptr<ReplicaClient> aSelf)
{
  const std::shared_ptr<net::HttpConnection> connection = mMakeConnection();
  const core::TimePoint begin = mTimers.Now();
  const bool isConnected = co_await connection->Connect(mReplica.address, mSettings.connectTimeout);
  mIsPreconnecting = false;
  if (!isConnected) {
    RecordConnectFailure();
    Suspect("no_connection");
    co_return;
  }
  RecordConnected(mTimers.Now() - begin);
  Release(connection);
}

void
ReplicaClient::RecordEnd()
{
  mIdle.clear();
  core::LogEvent(core::LogLevel::Warning,
                 "upstream",
                 "replica_ended",
                 { { "replica", mReplica.id },
                   { "service", mReplica.service },
                   { "in_flight", std::to_string(mAttemptStarts.size()) } });
}

void
ReplicaClient::TestConnection(std::function<void(bool)> aCallback)
{
  mConnectionTests.push_back(std::move(aCallback));
  if (!mIsTestingConnection) {
    mIsTestingConnection = true;
    core::Start(mExecutor, RunConnectionTests(shared_from_this()));
  }
}

core::Task<void>
ReplicaClient::RunConnectionTests([[maybe_unused]] std::shared_ptr<ReplicaClient> aSelf)
{
  while (!mConnectionTests.empty()) {
    const auto callbacks = std::exchange(mConnectionTests, {});
    const std::shared_ptr<net::HttpConnection> connection = mMakeConnection();
    const core::TimePoint begin = mTimers.Now();
    const bool isConnected = co_await connection->Connect(mReplica.address, mSettings.testTimeout);
    if (isConnected) {
      RecordConnected(mTimers.Now() - begin);
      Release(connection);
    } else {
      RecordConnectFailure();
    }
    for (const auto& callback : callbacks) {
      callback(isConnected);
    }
  }
  mIsTestingConnection = false;
}

std::optional<core::TimePoint>
ReplicaClient::OldestAttempt() const
{
  const auto it = std::min_element(mAttemptStarts.begin(), mAttemptStarts.end());
  return it == mAttemptStarts.end() ? std::nullopt : std::optional<core::TimePoint>(*it);
}

bool
ReplicaClient::HasIdleConnection() const
{
  const core::TimePoint now = mTimers.Now();
  return std::any_of(mIdle.begin(), mIdle.end(), [now](const IdleConnection& aIdle) {
    return now < aIdle.usableUntil && aIdle.connection->IsOpen();
  });
}

void
ReplicaClient::ForgetFailures()
{
  mFailures = 0;
  mFailureRate = {};
  mSuspectUntil = {};
  mHasConnectFailed = false;
}

void
ReplicaClient::RecordConnectFailure()
{
  mHasConnectFailed = true;
  mHooks.onContact(ReplicaContact::ConnectFailed);
}

void
ReplicaClient::RecordConnected(core::Duration aTook)
{
  mRoundTrip = mIsRoundTripMeasured ? std::min(mRoundTrip, aTook) : aTook;
  mIsRoundTripMeasured = true;
  mHasConnectFailed = false;
  mHooks.onContact(ReplicaContact::Connected);
}

void
ReplicaClient::DropStale()
{
  const core::TimePoint now = mTimers.Now();
  const auto isStale = [now](const IdleConnection& aIdle) { return now >= aIdle.usableUntil; };
  mIdle.erase(std::remove_if(mIdle.begin(), mIdle.end(), isStale), mIdle.end());
}

core::Task<AttemptResult>
ReplicaClient::ReadOwnAnswer(std::shared_ptr<Attempt> aAttempt,
                             net::HttpResult aReply,
                             const std::string& aId,
                             core::TimePoint aSentAt,
                             core::TimePoint aDeadline)
{
  const std::shared_ptr<net::HttpConnection> connection = aAttempt->mConnection;
  DecodedAnswer answer;
  int foreign = 0;
  while (aReply.error == net::HttpClientError::None) {
    answer = mProtocol.readAnswer(aReply.response, aId);
    HandleNotice(answer.notice, aSentAt);
    const core::Duration remaining = aDeadline - mTimers.Now();
    if (answer.kind != AnswerKind::Foreign) {
      break;
    }
    if (++foreign > kMaxForeignAnswers) {
      co_return Result(AttemptStatus::Garbled);
    }
    if (remaining <= core::Duration::zero()) {
      co_return Result(AttemptStatus::TimedOut);
    }
    aReply = co_await connection->ReadNext(remaining + mSettings.answerSlack);
  }
  if (aReply.error != net::HttpClientError::None) {
    co_return Result(StatusOf(aReply.error));
  }
  if (answer.load) {
    RecordLoad(*answer.load);
  }
  mIdleTimeout = answer.idleTimeout.value_or(mIdleTimeout);
  if (IsCertainlyNotRun(StatusOf(answer.kind))) {
    aAttempt->mRefusedIds.push_back(aId);
  }
  const bool isTrusted = foreign == 0 && answer.kind != AnswerKind::Invalid &&
                         aAttempt->mRefusedIds.size() <= kMaxRefusedIds;
  if (isTrusted && connection->IsOpen()) {
    Release(connection, std::move(aAttempt->mRefusedIds));
  }
  AttemptResult result;
  result.status = StatusOf(answer.kind);
  result.response = std::move(aReply.response);
  result.signature = std::move(answer.signature);
  co_return result;
}

bool
ReplicaClient::TakeIdle(const ForwardedRequest& aRequest, Attempt& aAttempt)
{
  aAttempt.mConnection = nullptr;
  aAttempt.mRefusedIds.clear();
  const core::TimePoint now = mTimers.Now();
  for (std::size_t n = mIdle.size(); n-- > 0;) {
    const auto it = mIdle.begin() + static_cast<std::ptrdiff_t>(n);
    const auto& refused = it->refusedIds;
    // A copy of the refusal only costs an idempotent request another attempt.
    if (!aRequest.isIdempotent &&
        std::find(refused.begin(), refused.end(), aRequest.id) != refused.end()) {
      continue;
    }
    IdleConnection idle = std::move(*it);
    mIdle.erase(it);
    const bool isTrusted =
      aRequest.isIdempotent || now - idle.idleSince < mSettings.maxIdleForNonIdempotent;
    if (isTrusted && now < idle.usableUntil && idle.connection->IsOpen()) {
      aAttempt.mConnection = std::move(idle.connection);
      aAttempt.mRefusedIds = std::move(idle.refusedIds);
      return true;
    }
  }
  return false;
}

void
ReplicaClient::Release(std::shared_ptr<net::HttpConnection> aConnection,
                       std::vector<std::string> aRefusedIds)
{
  // At least one idle connection is kept whatever the quota, since opening one for each request
  // costs more.
  if (mIsRetired || mIdle.size() >= std::max<std::size_t>(1, mQuota.maxIdle)) {
    return;
  }
  const core::TimePoint now = mTimers.Now();
  const auto usable =
    std::chrono::duration_cast<core::Duration>(mIdleTimeout * mSettings.idleShare);
  mIdle.push_back({ std::move(aConnection), now, now + usable, std::move(aRefusedIds) });
}

void
ReplicaClient::RecordLoad(const LoadReport& aLoad)
{
  const core::TimePoint now = mTimers.Now();
  const double slots = std::max<std::uint32_t>(1, aLoad.slots > 0 ? aLoad.slots : mReplica.slots);
  const double use = (static_cast<double>(aLoad.running) + aLoad.waiting) / slots;
  mUse = now - mLoadAt < kMaxUseAge ? mUse + (use - mUse) * kUseWeight : use;
  mLoad = aLoad;
  mLoadAt = now;
  mSpeed.Record(aLoad.slowdown, now);
}

void
ReplicaClient::RecordResult(const Attempt& aAttempt, AttemptStatus aStatus)
{
  const core::TimePoint now = mTimers.Now();
  switch (aStatus) {
    case AttemptStatus::Answered: {
      mAvailability.RecordAnswer(now);
      mFailureRate.Record(false, now);
      mFailures = 0;
      mSuspectUntil = {};
      mLastAnswerAt = now;
      mHasAnswered = true;
      const core::Duration maxSample =
        std::chrono::duration_cast<core::Duration>(mTypicalTime * kMaxSampleFactor);
      const core::Duration sample = std::min(now - aAttempt.mStart, maxSample);
      mSpeed.RecordSample();
      mTypicalTime +=
        std::chrono::duration_cast<core::Duration>((sample - mTypicalTime) * kSampleWeight);
      break;
    }
    case AttemptStatus::NotRun:
      mLastAnswerAt = now;
      mFailureRate.Record(true, now);
      mSuspectUntil = std::max(mSuspectUntil, now + mSettings.minSuspicion / 8);
      break;
    case AttemptStatus::Failed:
    case AttemptStatus::Lost:
    case AttemptStatus::Garbled:
      mLastAnswerAt = now;
      mFailureRate.Record(true, now);
      Suspect(NameOf(aStatus));
      break;
    case AttemptStatus::WrongReplica:
      MarkAddressReassigned();
      break;
    case AttemptStatus::Dropped:
      mLastAnswerAt = now;
      break;
    case AttemptStatus::NothingSent:
    case AttemptStatus::TimedOut:
      mFailureRate.Record(true, now);
      // Connections to a replica that doesn't respond won't recover, so no idle one is reused.
      mIdle.clear();
      Suspect(NameOf(aStatus));
      break;
  }
}

void
ReplicaClient::Suspect(std::string_view aReason)
{
  constexpr std::uint32_t kMaxDoublings = 4;
  const core::Duration span = mSettings.minSuspicion * (1U << std::min(mFailures, kMaxDoublings));
  ++mFailures;
  if (mFailures <= 1) {
    return;
  }
  const core::TimePoint now = mTimers.Now();
  const bool isNewSuspicion = mSuspectUntil + mSettings.maxSuspicion < now;
  mSuspectUntil = now + std::min(span, mSettings.maxSuspicion);
  if (isNewSuspicion) {
    core::LogEvent(core::LogLevel::Warning,
                   "upstream",
                   "replica_suspected",
                   { { "replica", mReplica.id },
                     { "service", mReplica.service },
                     { "failures", std::to_string(mFailures) },
                     { "reason", std::string(aReason) } });
  }
}

void
ReplicaClient::MarkAddressReassigned()
{
  mIdle.clear();
  if (mIsAddressReassigned) {
    return;
  }
  mIsAddressReassigned = true;
  core::LogEvent(core::LogLevel::Warning,
                 "upstream",
                 "replica_elsewhere",
                 { { "replica", mReplica.id },
                   { "service", mReplica.service },
                   { "address", mReplica.address },
                   { "sequence", std::to_string(mReplica.sequence) } });
}

void
ReplicaClient::RemoveStart(core::TimePoint aStart)
{
  const auto it = std::find(mAttemptStarts.begin(), mAttemptStarts.end(), aStart);
  if (it != mAttemptStarts.end()) {
    mAttemptStarts.erase(it);
  }
}

} // namespace skylarkwing::upstream
