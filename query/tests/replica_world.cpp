#include "query/tests/replica_world.h"

#include "core/task.h"
#include "query/gather_policy.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration kFarWay = milliseconds{ 40 };
constexpr std::uint32_t kConnections = 26;
constexpr const char* kShedMark = "X-Shed";
constexpr const char* kElsewhereMark = "X-Elsewhere";
constexpr const char* kLeavingMark = "X-Leaving";
constexpr const char* kRestMark = "X-Rest-Ms";

/** A connection to a model replica. */
class ModelLink : public net::HttpConnection
{
public:
  ModelLink(store::VirtualLoop& aLoop,
            core::RandomSource& aRandom,
            std::map<std::string, ReplicaModel>& aReplicas)
    : mLoop(aLoop)
    , mRandom(aRandom)
    , mReplicas(aReplicas)
  {
  }

  core::Task<bool> Connect(std::string aAddress, core::Duration aTimeout) override
  {
    mReplica = &mReplicas.at(aAddress);
    co_await core::Sleep(mLoop.timers, mReplica->isDown ? aTimeout : mReplica->way);
    ++mReplica->connections;
    mIsOpen = !mReplica->isDown;
    co_return mIsOpen;
  }

  core::Task<net::HttpResult> Exchange(net::HttpRequest aRequest, core::Duration aTimeout) override
  {
    net::HttpResult reply;
    const core::TimePoint end = mLoop.timers.Now() + aTimeout;
    co_await core::Sleep(mLoop.timers, mReplica->way / 2);
    ++mReplica->arrivals;
    // Most work takes about as long as usual, some a good deal longer.
    const double factor = mRandom.Fraction() < 0.01 ? 5.0 : 0.6 + 0.9 * mRandom.Fraction();
    const auto work = std::chrono::duration_cast<core::Duration>(mReplica->work * factor);
    const bool isResting = mReplica->rest > core::Duration::zero();
    const bool isShed = isResting || mRandom.Fraction() < mReplica->shedShare;
    const auto done = isShed ? std::nullopt : mReplica->Accept(mLoop.timers.Now(), work);
    const core::TimePoint back = done.value_or(mLoop.timers.Now()) + mReplica->way / 2;
    if (back > end || mReplica->isDown) {
      co_await core::Sleep(mLoop.timers, end - mLoop.timers.Now());
      mIsOpen = false;
      reply.error = net::HttpClientError::TimedOut;
      co_return reply;
    }
    reply.response.headers = aRequest.headers;
    if (mReplica->isLeaving) {
      reply.response.headers.push_back({ kLeavingMark, "1" });
    }
    if (isResting) {
      const auto rest = std::chrono::duration_cast<milliseconds>(mReplica->rest);
      reply.response.headers.push_back({ kRestMark, std::to_string(rest.count()) });
    }
    if (mReplica->isElsewhere) {
      co_await core::Sleep(mLoop.timers, mReplica->way / 2);
      reply.response.headers.push_back({ kElsewhereMark, "1" });
      co_return reply;
    }
    co_await core::Sleep(mLoop.timers, back - mLoop.timers.Now());
    if (done && mRandom.Fraction() < mReplica->loseShare) {
      mIsOpen = false;
      reply.error = net::HttpClientError::Broken;
      co_return reply;
    }
    if (!done) {
      reply.response.headers.push_back({ kShedMark, "1" });
    }
    co_return reply;
  }

  core::Task<net::HttpResult> ReadNext([[maybe_unused]] core::Duration aTimeout) override
  {
    net::HttpResult reply;
    reply.error = net::HttpClientError::Broken;
    co_return reply;
  }

  bool IsOpen() const override { return mIsOpen; }
  void Close() override { mIsOpen = false; }

private:
  store::VirtualLoop& mLoop;
  core::RandomSource& mRandom;
  std::map<std::string, ReplicaModel>& mReplicas;
  ReplicaModel* mReplica = nullptr;
  bool mIsOpen = false;
};

upstream::ReplicaProtocol
MakeProtocol()
{
  upstream::ReplicaProtocol protocol;
  protocol.makeRequest =
    [](const upstream::ForwardedRequest& aRequest, const std::string&, core::Duration) {
      net::HttpRequest request = aRequest.message;
      request.headers.push_back({ "Id", aRequest.id });
      return request;
    };
  protocol.readAnswer = [](const net::HttpResponse& aResponse, const std::string& aId) {
    upstream::DecodedAnswer answer;
    answer.signature = aId;
    answer.notice.isLeaving = aResponse.Header(kLeavingMark).has_value();
    if (const auto rest = aResponse.Header(kRestMark)) {
      answer.notice.backoff = milliseconds(std::stoll(*rest));
    }
    if (aResponse.Header(kElsewhereMark)) {
      answer.kind = upstream::AnswerKind::WrongReplica;
      return answer;
    }
    answer.kind =
      aResponse.Header(kShedMark) ? upstream::AnswerKind::NotRun : upstream::AnswerKind::Success;
    return answer;
  };
  return protocol;
}

} // namespace

std::optional<core::TimePoint>
ReplicaModel::Accept(core::TimePoint aNow, core::Duration aWork)
{
  slotFreeAt.resize(slots);
  ends.erase(
    std::remove_if(ends.begin(), ends.end(), [aNow](core::TimePoint aEnd) { return aEnd <= aNow; }),
    ends.end());
  if (ends.size() >= slots + queue) {
    ++shed;
    return std::nullopt;
  }
  const auto slot = std::min_element(slotFreeAt.begin(), slotFreeAt.end());
  core::TimePoint end = std::max(*slot, aNow) + aWork;
  if (pauseEvery > core::Duration::zero()) {
    const core::Duration phase = (end.time_since_epoch() + pauseOffset) % pauseEvery;
    end += phase < pause ? pause - phase : core::Duration::zero();
  }
  *slot = end;
  ends.push_back(end);
  return end;
}

ReplicaWorld::ReplicaWorld()
{
  upstream::Locality place;
  place.failureDomain = "near";
  place.region = "near";
  place.regions = { { "near", "near" }, { "far", "far" }, { "farther", "farther" } };
  place.vm = "vm";
  const upstream::RetryBudgetSettings bound{ 0.2, 54.0, std::chrono::seconds{ 10 } };
  set = std::make_unique<upstream::ReplicaBalancer>(
    loop.io.get_executor(),
    loop.timers,
    random,
    [this] { return std::make_shared<ModelLink>(loop, random, replicas); },
    MakeProtocol(),
    place,
    bound);
}

// NOLINTNEXTLINE(bugprone-exception-escape): an exception here ends the test, as it should.
ReplicaWorld::~ReplicaWorld()
{
  loop.Run(std::chrono::seconds{ 20 });
}

std::string
ReplicaWorld::AddService(std::size_t aNumber, const ReplicaModel& aModel)
{
  std::string name = "s" + std::to_string(aNumber);
  table->AddService({ name, kConnections, {}, 0.0 });
  std::size_t n = 0;
  for (const std::string domain : { "near", "far", "farther" }) {
    upstream::AnnouncedReplica replica;
    replica.id.append(name).append("-").append(domain);
    replica.service = name;
    replica.address = replica.id;
    replica.failureDomain = domain;
    replica.slots = static_cast<std::uint32_t>(aModel.slots);
    ReplicaModel model = aModel;
    model.way = domain == "near" ? milliseconds{ 1 } : kFarWay;
    // Each replica pauses at its own time.
    model.pauseOffset = milliseconds(static_cast<std::int64_t>(aNumber * 1571 + n++ * 977));
    replicas.emplace(replica.id, model);
    set->AddOrUpdate(replica);
  }
  return name;
}

declaration::Route
ReplicaWorld::MakeRoute(std::size_t aShards, std::size_t aLeast, core::Duration aObjective)
{
  declaration::Route route;
  route.name = "search";
  route.isIdempotent = true;
  route.timeout = milliseconds{ 1500 };
  route.objective = std::chrono::duration_cast<milliseconds>(aObjective);
  route.maxAttempts = 2;
  route.leastCoverage = static_cast<double>(aLeast) / static_cast<double>(aShards);
  for (std::size_t n = 0; n < aShards; ++n) {
    route.shards.push_back("s" + std::to_string(n));
  }
  return route;
}

LoadOutcome
ReplicaWorld::Play(const declaration::Route& aRoute, double aPerSecond, core::Duration aSpan)
{
  set->SetTable(table);
  LoadOutcome outcome;
  const auto gap =
    std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1.0 / aPerSecond));
  const core::TimePoint end = loop.timers.Now() + aSpan;
  core::TimePoint warmAt = loop.timers.Now();
  while (loop.timers.Now() < end) {
    if (loop.timers.Now() >= warmAt) {
      warmAt += milliseconds{ 400 };
      set->KeepWarm();
    }
    RequestPlan plan;
    plan.route = &aRoute;
    plan.table = table;
    auto request = std::make_shared<upstream::ForwardedRequest>();
    request->id = std::to_string(++mLastId);
    request->isIdempotent = aRoute.isIdempotent;
    plan.request = std::move(request);
    plan.services = aRoute.shards;
    plan.arrival = loop.timers.Now();
    plan.deadline = plan.arrival + aRoute.timeout;
    ++outcome.asked;
    const core::TimePoint arrival = plan.arrival;
    auto run = std::make_shared<RequestRun>(
      *set,
      loop.timers,
      std::move(plan),
      [this, arrival, &outcome, &aRoute](const RequestResult& aResult) {
        const core::Duration took = loop.timers.Now() - arrival;
        const bool isAnswer =
          aResult.outcome == RequestOutcome::Complete || aResult.outcome == RequestOutcome::Partial;
        outcome.complete += aResult.outcome == RequestOutcome::Complete ? 1 : 0;
        outcome.partial += aResult.outcome == RequestOutcome::Partial ? 1 : 0;
        outcome.notRun += aResult.outcome == RequestOutcome::NotRun ? 1 : 0;
        outcome.failed += isAnswer || aResult.outcome == RequestOutcome::NotRun ? 0 : 1;
        outcome.inTime += isAnswer && took <= aRoute.objective - milliseconds{ 10 } ? 1 : 0;
        outcome.attempts += aResult.attempts;
        if (aResult.outcome == RequestOutcome::NotRun) {
          outcome.retryAfters.push_back(aResult.retryAfter);
          outcome.longestRefusal = std::max(outcome.longestRefusal, took);
        }
      });
    run->Start();
    loop.Run(gap);
  }
  loop.Run(std::chrono::seconds{ 4 });
  return outcome;
}

} // namespace skylarkwing::query::tests
