#include "query/tests/query_fixture.h"

#include <algorithm>

namespace skylarkwing::query::test {

namespace {

constexpr std::uint32_t kSlots = 3;
const std::vector<std::string> kDomains = { "Ikeja", "Nassarawa", "Trans-Amadi" };

} // namespace

QueryFixture::QueryFixture()
{
  profile.name = "interactive";
  profile.indexes = { "catalogue" };
  behaviour = [](const upstream::PartRequest&) { return PartBehaviour{}; };
  QueryHooks hooks;
  hooks.sendPart = [this](const upstream::PartRequest& aRequest, upstream::PartCallback aCallback) {
    Send(aRequest, std::move(aCallback));
  };
  hooks.cancelPart = [this](const std::string&, const std::string& aPartId) { Cancel(aPartId); };
  hooks.indexView = [this](const std::string& aIndex) {
    return std::make_shared<const IndexView>(BuildIndexView(statuses, aIndex));
  };
  hooks.crashedReplicas = [this](std::uint64_t) { return knownCrashedReplicas; };
  QuerySettings settings;
  settings.failureDomain = "Ikeja";
  engine = std::make_unique<QueryEngine>(timers, random, metrics, hooks, settings);
}

void
QueryFixture::AddSnapshot(std::uint64_t aSnapshot, std::uint32_t aShards, std::uint32_t aReplicas)
{
  for (std::uint32_t shard = 0; shard < aShards; ++shard) {
    for (std::uint32_t n = 0; n < aReplicas; ++n) {
      const std::string name = "r" + std::to_string(shard) + "-" + std::to_string(n);
      upstream::ReplicaStatus& status = Status(name);
      status.holdings.push_back({ aSnapshot, aShards, { shard } });
      status.failureDomain = kDomains[n % kDomains.size()];
    }
  }
}

void
QueryFixture::RemoveSnapshot(std::uint64_t aSnapshot)
{
  for (upstream::ReplicaStatus& status : statuses) {
    std::erase_if(status.holdings, [aSnapshot](const upstream::SnapshotHolding& aHolding) {
      return aHolding.snapshot == aSnapshot;
    });
  }
}

upstream::ReplicaStatus&
QueryFixture::Status(const std::string& aReplica)
{
  const auto it = std::find_if(
    statuses.begin(), statuses.end(), [&aReplica](const upstream::ReplicaStatus& aStatus) {
      return aStatus.replica == aReplica;
    });
  if (it != statuses.end()) {
    return *it;
  }
  upstream::ReplicaStatus status;
  status.replica = aReplica;
  status.index = "catalogue";
  status.owner = "vm-of-" + aReplica;
  status.state = upstream::ReplicaState::Warm;
  status.allowance = kSlots;
  status.medianMicroseconds = 5000;
  statuses.push_back(status);
  return statuses.back();
}

void
QueryFixture::StartQuery(const std::string& aSearch, core::Duration aTimeout)
{
  QueryRequest request;
  request.index = "catalogue";
  request.profile = std::make_shared<const declaration::ProfileDeclaration>(profile);
  request.search = aSearch;
  request.deadline = timers.Now() + aTimeout;
  request.size = 1000;
  const core::TimePoint start = timers.Now();
  boost::asio::co_spawn(loop,
                        engine->Run(std::move(request)),
                        [this, start](const std::exception_ptr& aError, QueryResult aResult) {
                          if (aError) {
                            std::rethrow_exception(aError);
                          }
                          latencies.push_back(timers.Now() - start);
                          results.push_back(std::move(aResult));
                        });
  RunReadyHandlers();
}

QueryResult
QueryFixture::Ask(const std::string& aSearch, core::Duration aTimeout)
{
  const std::size_t before = results.size();
  StartQuery(aSearch, aTimeout);
  while (results.size() == before && timers.RunNext()) {
    RunReadyHandlers();
  }
  return results.back();
}

void
QueryFixture::Advance(core::Duration aSpan)
{
  const core::TimePoint end = timers.Now() + aSpan;
  RunReadyHandlers();
  while (timers.NextDue().value_or(core::TimePoint::max()) <= end) {
    timers.RunNext();
    RunReadyHandlers();
  }
  timers.Advance(end - timers.Now());
}

std::vector<upstream::Hit>
QueryFixture::HitsOf(std::uint64_t aSnapshot, std::uint32_t aShard)
{
  std::vector<upstream::Hit> hits;
  for (std::uint32_t n = 0; n < 3; ++n) {
    const std::string id =
      "v" + std::to_string(aSnapshot) + "-s" + std::to_string(aShard) + "-" + std::to_string(n);
    hits.push_back({ id, 1.0 / (1 + aShard + n), "{}" });
  }
  return hits;
}

std::size_t
QueryFixture::RunCount(std::uint32_t aShard) const
{
  return static_cast<std::size_t>(
    std::count_if(sent.begin(), sent.end(), [this, aShard](const SentPart& aPart) {
      return aPart.request.shard == aShard && !mNotRun.contains(aPart.request.partId);
    }));
}

void
QueryFixture::RunReadyHandlers()
{
  loop.restart();
  loop.poll();
}

void
QueryFixture::Send(const upstream::PartRequest& aRequest, upstream::PartCallback aCallback)
{
  const PartBehaviour part = behaviour(aRequest);
  sent.push_back({ aRequest, timers.Now(), std::nullopt });
  mRunning[aRequest.partId] = std::move(aCallback);
  if (part.status == upstream::PartStatus::NotRun) {
    mNotRun.insert(aRequest.partId);
  }
  if (part.isSilent) {
    return;
  }
  upstream::PartAnswer answer;
  answer.partId = aRequest.partId;
  answer.status = part.status;
  answer.refusal = part.refusal;
  answer.snapshot = aRequest.snapshot + (part.hasWrongSnapshot ? 1 : 0);
  answer.shard = aRequest.shard;
  answer.isComplete = part.isComplete;
  answer.crashedReplicas = aRequest.crashedReplicas;
  if (part.status == upstream::PartStatus::Answered) {
    answer.hits = HitsOf(answer.snapshot, aRequest.shard);
    if (!part.isComplete) {
      answer.hits.resize(1);
    }
  }
  if (part.status == upstream::PartStatus::Crashed) {
    answer.crashedReplicas.push_back(aRequest.replica);
  }
  timers.Schedule(part.latency, [this, answer] { End(answer.partId, answer); });
}

void
QueryFixture::Cancel(const std::string& aPartId)
{
  for (SentPart& part : sent) {
    if (part.request.partId == aPartId) {
      part.cancelledAt = timers.Now();
    }
  }
}

void
QueryFixture::End(const std::string& aPartId, upstream::PartAnswer aAnswer)
{
  const auto it = mRunning.find(aPartId);
  if (it == mRunning.end()) {
    return;
  }
  const upstream::PartCallback callback = std::move(it->second);
  mRunning.erase(it);
  callback(std::move(aAnswer));
}

} // namespace skylarkwing::query::test
