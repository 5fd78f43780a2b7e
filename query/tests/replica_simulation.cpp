#include "query/tests/replica_simulation.h"

#include "core/task.h"
#include "query/gather_policy.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration kFarRoundTrip = milliseconds{ 40 };
constexpr std::uint32_t kConnections = 26;
/** Time in which a waiting client notices that a replica's process has ended. */
constexpr core::Duration kStep = milliseconds{ 5 };
constexpr const char* kShedHeader = "X-Shed";
constexpr const char* kWrongReplicaHeader = "X-Elsewhere";
constexpr const char* kLeavingHeader = "X-Leaving";
constexpr const char* kMaxRateHeader = "X-Max-Rate";
constexpr const char* kBackoffHeader = "X-Rest-Ms";
constexpr const char* kLoadHeader = "X-Load";

/** A connection to a simulated replica. */
class SimulatedLink : public net::HttpConnection
{
public:
  SimulatedLink(store::VirtualLoop& aLoop,
                core::RandomSource& aRandom,
                std::map<std::string, SimulatedReplica>& aReplicas,
                std::string aVm)
    : mLoop(aLoop)
    , mRandom(aRandom)
    , mReplicas(aReplicas)
    , mVm(std::move(aVm))
  {
  }

  core::Task<bool> Connect(std::string aAddress, core::Duration aTimeout) override
  {
    mReplica = &mReplicas.at(aAddress);
    co_await core::Sleep(mLoop.timers, mReplica->isDown ? aTimeout : mReplica->roundTrip);
    ++mReplica->connections;
    mIsOpen = !mReplica->isDown && !mReplica->hasEnded;
    mProcess = mReplica->processEnds;
    co_return mIsOpen;
  }

  core::Task<net::HttpResult> Exchange(net::HttpRequest aRequest, core::Duration aTimeout) override
  {
    net::HttpResult reply;
    const core::TimePoint end = mLoop.timers.Now() + aTimeout;
    co_await core::Sleep(mLoop.timers, mReplica->roundTrip / 2);
    if (!IsOpen()) {
      reply.error = net::HttpClientError::Broken;
      co_return reply;
    }
    mReplica->RecordArrival(mVm, mLoop.timers.Now());
    if (EndOn(aRequest)) {
      co_await core::Sleep(mLoop.timers, mReplica->roundTrip / 2);
      reply.error = net::HttpClientError::Broken;
      co_return reply;
    }
    // Most requests take about the typical time, 1 % take five times as long.
    const double slowdown = mReplica->slowdown ? mReplica->slowdown(mLoop.timers.Now()) : 1.0;
    const double factor =
      slowdown * (mRandom.Fraction() < 0.01 ? 5.0 : 0.6 + 0.9 * mRandom.Fraction());
    const auto work = std::chrono::duration_cast<core::Duration>(mReplica->work * factor);
    const bool isBackingOff = mReplica->backoff > core::Duration::zero();
    const bool isShed = isBackingOff || mRandom.Fraction() < mReplica->shedShare;
    const auto done = isShed ? std::nullopt : mReplica->Accept(mLoop.timers.Now(), work);
    const core::TimePoint back = done.value_or(mLoop.timers.Now()) + mReplica->roundTrip / 2;
    if (back > end || mReplica->isDown) {
      co_await core::Sleep(mLoop.timers, end - mLoop.timers.Now());
      mIsOpen = false;
      reply.error = net::HttpClientError::TimedOut;
      co_return reply;
    }
    reply.response.headers = aRequest.headers;
    AddNotices(reply.response, back);
    if (mReplica->isAnotherReplica) {
      co_await core::Sleep(mLoop.timers, mReplica->roundTrip / 2);
      reply.response.headers.push_back({ kWrongReplicaHeader, "1" });
      co_return reply;
    }
    if (!co_await SleepWhileOpen(back)) {
      reply.error = net::HttpClientError::Broken;
      co_return reply;
    }
    if (done && mRandom.Fraction() < mReplica->lostAnswerShare) {
      mIsOpen = false;
      reply.error = net::HttpClientError::Broken;
      co_return reply;
    }
    if (!done) {
      reply.response.headers.push_back({ kShedHeader, "1" });
    }
    if (mReplica->slowdown) {
      const upstream::LoadReport load = mReplica->LoadAt(back - mReplica->roundTrip / 2);
      reply.response.headers.push_back(
        { kLoadHeader,
          std::to_string(load.running) + " " + std::to_string(load.waiting) + " " +
            std::to_string(load.slots) + " " + std::to_string(load.slowdown.value_or(0.0)) });
    }
    co_return reply;
  }

  core::Task<net::HttpResult> ReadNext([[maybe_unused]] core::Duration aTimeout) override
  {
    net::HttpResult reply;
    reply.error = net::HttpClientError::Broken;
    co_return reply;
  }

  bool IsOpen() const override { return mIsOpen && mProcess == mReplica->processEnds; }
  void Close() override { mIsOpen = false; }

private:
  store::VirtualLoop& mLoop;
  core::RandomSource& mRandom;
  std::map<std::string, SimulatedReplica>& mReplicas;
  std::string mVm;
  SimulatedReplica* mReplica = nullptr;
  /** Number of ends of the replica when the connection was opened. */
  std::uint32_t mProcess = 0;
  bool mIsOpen = false;

  /** Ends the replica's process if the request is one that does so. */
  bool EndOn(const net::HttpRequest& aRequest)
  {
    if (mReplica->fatalTarget.empty() || mReplica->fatalTarget != aRequest.target) {
      return false;
    }
    mReplica->fatalArrivals.push_back(mLoop.timers.Now());
    mReplica->End();
    mLoop.timers.Schedule(mReplica->fatalDownTime,
                          [replica = mReplica] { replica->hasEnded = false; });
    return true;
  }

  void AddNotices(net::HttpResponse& aResponse, core::TimePoint aBack)
  {
    if (mReplica->isLeaving) {
      aResponse.headers.push_back({ kLeavingHeader, "1" });
    }
    if (mReplica->maxRate) {
      aResponse.headers.push_back({ kMaxRateHeader, std::to_string(*mReplica->maxRate) });
      mReplica->toldAt.emplace(mVm, aBack);
    }
    if (mReplica->backoff > core::Duration::zero()) {
      const auto backoff = std::chrono::duration_cast<milliseconds>(mReplica->backoff);
      aResponse.headers.push_back({ kBackoffHeader, std::to_string(backoff.count()) });
    }
  }

  /** @return whether the connection lasted until then. */
  core::Task<bool> SleepWhileOpen(core::TimePoint aEnd)
  {
    while (IsOpen() && mLoop.timers.Now() < aEnd) {
      co_await core::Sleep(mLoop.timers,
                           std::min<core::Duration>(aEnd - mLoop.timers.Now(), kStep));
    }
    co_return IsOpen();
  }
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
    answer.notice.isLeaving = aResponse.Header(kLeavingHeader).has_value();
    answer.notice.hasRateState = true;
    if (const auto maxRate = aResponse.Header(kMaxRateHeader)) {
      answer.notice.maxRate = std::stod(*maxRate);
    }
    if (const auto backoff = aResponse.Header(kBackoffHeader)) {
      answer.notice.backoff = milliseconds(std::stoll(*backoff));
    }
    if (const auto load = aResponse.Header(kLoadHeader)) {
      upstream::LoadReport report;
      double slowdown = 0.0;
      std::istringstream(*load) >> report.running >> report.waiting >> report.slots >> slowdown;
      report.slowdown = slowdown > 0.0 ? std::optional<double>(slowdown) : std::nullopt;
      answer.load = report;
    }
    if (aResponse.Header(kWrongReplicaHeader)) {
      answer.kind = upstream::AnswerKind::WrongReplica;
      return answer;
    }
    answer.kind =
      aResponse.Header(kShedHeader) ? upstream::AnswerKind::NotRun : upstream::AnswerKind::Success;
    return answer;
  };
  return protocol;
}

} // namespace

std::optional<core::TimePoint>
SimulatedReplica::Accept(core::TimePoint aNow, core::Duration aWork)
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

upstream::LoadReport
SimulatedReplica::LoadAt(core::TimePoint aNow) const
{
  const auto unfinished = static_cast<std::size_t>(
    std::count_if(ends.begin(), ends.end(), [aNow](core::TimePoint aEnd) { return aEnd > aNow; }));
  upstream::LoadReport load;
  load.running = static_cast<std::uint32_t>(std::min(unfinished, slots));
  load.waiting = static_cast<std::uint32_t>(unfinished) - load.running;
  load.slots = static_cast<std::uint32_t>(slots);
  if (reportsSlowdown && slowdown) {
    load.slowdown = slowdown(aNow);
  }
  return load;
}

void
SimulatedReplica::End()
{
  hasEnded = true;
  ++processEnds;
  ends.clear();
  slotFreeAt.clear();
}

void
SimulatedReplica::RecordArrival(const std::string& aVm, core::TimePoint aNow)
{
  constexpr core::Duration kReactionTime = milliseconds{ 500 };
  ++arrivals;
  arrivalTimes.push_back(aNow);
  const auto told = toldAt.find(aVm);
  if (told != toldAt.end() && aNow - told->second >= kReactionTime) {
    informedArrivals.push_back(aNow);
  }
}

std::size_t
MostInSpan(const std::vector<core::TimePoint>& aTimes, core::TimePoint aFrom, core::Duration aSpan)
{
  std::size_t most = 0;
  for (auto first = aTimes.begin(); first != aTimes.end(); ++first) {
    if (*first >= aFrom) {
      const auto end = std::lower_bound(first, aTimes.end(), *first + aSpan);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
  }
  return most;
}

std::unique_ptr<upstream::ReplicaBalancer>
ReplicaSimulation::MakeDaemon(const std::string& aVm)
{
  upstream::Locality locality;
  locality.failureDomain = "near";
  locality.region = "near";
  locality.regions = { { "near", "near" }, { "far", "far" }, { "farther", "farther" } };
  locality.vm = aVm;
  const upstream::RetryBudgetSettings bound{ 0.2, 54.0, std::chrono::seconds{ 10 } };
  return std::make_unique<upstream::ReplicaBalancer>(
    loop.io.get_executor(),
    loop.timers,
    random,
    [this, aVm] { return std::make_shared<SimulatedLink>(loop, random, replicas, aVm); },
    MakeProtocol(),
    locality,
    bound);
}

ReplicaSimulation::ReplicaSimulation()
  : set(MakeDaemon("vm0"))
{
}

// NOLINTNEXTLINE(bugprone-exception-escape): an exception here ends the test, as it should.
ReplicaSimulation::~ReplicaSimulation()
{
  loop.Run(std::chrono::seconds{ 20 });
}

upstream::FleetWeights
ReplicaSimulation::EqualWeights(std::size_t aDaemons)
{
  upstream::FleetWeights fleet;
  for (std::size_t n = 0; n < aDaemons; ++n) {
    fleet.Add({ "vm" + std::to_string(n), "near", 1.0 });
  }
  return fleet;
}

void
ReplicaSimulation::AddDaemons(std::size_t aNumber)
{
  while (others.size() + 1 < aNumber) {
    others.push_back(MakeDaemon("vm" + std::to_string(others.size() + 1)));
  }
  for (std::size_t n = 0; n < aNumber; ++n) {
    Daemon(n).SetFleetWeights(EqualWeights(aNumber));
  }
}

upstream::ReplicaBalancer&
ReplicaSimulation::Daemon(std::size_t aNumber)
{
  return aNumber == 0 ? *set : *others.at(aNumber - 1);
}

std::string
ReplicaSimulation::AddService(std::size_t aNumber, const SimulatedReplica& aReplica)
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
    replica.slots = static_cast<std::uint32_t>(aReplica.slots);
    SimulatedReplica model = aReplica;
    model.roundTrip = domain == "near" ? milliseconds{ 1 } : kFarRoundTrip;
    // Pauses of different replicas are spread over time.
    model.pauseOffset = milliseconds(static_cast<std::int64_t>(aNumber * 1571 + n++ * 977));
    replicas.emplace(replica.id, model);
    for (std::size_t daemon = 0; daemon <= others.size(); ++daemon) {
      Daemon(daemon).AddOrUpdate(replica);
    }
  }
  return name;
}

declaration::Route
ReplicaSimulation::MakeRoute(std::size_t aShards, std::size_t aLeast, core::Duration aObjective)
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
ReplicaSimulation::RunLoad(const declaration::Route& aRoute,
                           double aPerSecond,
                           core::Duration aSpan)
{
  for (std::size_t n = 0; n <= others.size(); ++n) {
    Daemon(n).SetTable(table);
  }
  LoadOutcome outcome;
  const auto gap =
    std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1.0 / aPerSecond));
  const core::TimePoint end = loop.timers.Now() + aSpan;
  core::TimePoint warmAt = loop.timers.Now();
  while (loop.timers.Now() < end) {
    if (loop.timers.Now() >= warmAt) {
      warmAt += milliseconds{ 400 };
      for (std::size_t n = 0; n <= others.size(); ++n) {
        Daemon(n).KeepWarm();
      }
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
    ++outcome.requests;
    const core::TimePoint arrival = plan.arrival;
    auto run = std::make_shared<RequestRun>(
      Daemon(mLastId % (others.size() + 1)),
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
          outcome.retryDelays.push_back(aResult.retryAfter);
          outcome.longestRefusalTime = std::max(outcome.longestRefusalTime, took);
        }
      });
    run->Start();
    loop.Run(gap);
  }
  loop.Run(std::chrono::seconds{ 4 });
  return outcome;
}

} // namespace skylarkwing::query::tests
