#pragma once

#include "core/virtual_timer_service.h"
#include "query/query_engine.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::query::test {

/** How a fake replica answers one part. */
struct PartBehaviour
{
  upstream::PartStatus status = upstream::PartStatus::Answered;
  upstream::PartRefusal refusal = upstream::PartRefusal::None;
  core::Duration latency = std::chrono::milliseconds{ 5 };
  bool isComplete = true;
  /** Whether the answer carries another snapshot than was asked for. */
  bool isMislabelled = false;
  /** Whether no answer ever comes, not even after cancellation. */
  bool isSilent = false;
};

/** One part as the fake owners saw it. */
struct SentPart
{
  upstream::PartRequest request;
  core::TimePoint sentAt;
  std::optional<core::TimePoint> cancelledAt;
};

/**
 * A query engine over fake owners in virtual time. Every part that is sent is recorded, and a
 * behaviour hook decides what becomes of it.
 */
class QueryFixture
{
public:
  QueryFixture();

  /** Announces replicas r<shard>-<n> that each hold one shard of a version. */
  void AddVersion(std::uint64_t aSnapshot, std::uint32_t aShards, std::uint32_t aReplicas);

  /** Removes a version from all replicas. */
  void RemoveVersion(std::uint64_t aSnapshot);

  /** @return the fact about a replica, to be changed at will. */
  upstream::ReplicaStatus& Fact(const std::string& aReplica);

  /** Starts a query; its result lands in Results(). */
  void StartQuery(const std::string& aSearch, core::Duration aPatience);

  /** Starts a query and moves time until its result is there. */
  QueryResult Ask(const std::string& aSearch = "{}",
                  core::Duration aPatience = std::chrono::milliseconds{ 200 });

  /** Runs the loop and virtual time until nothing is due before the span's end. */
  void Advance(core::Duration aSpan);

  /** @return the hits that a shard of a version holds. */
  static std::vector<upstream::Hit> HitsOf(std::uint64_t aSnapshot, std::uint32_t aShard);

  /** @return how many parts ran, that is all that were sent but those refused as not run. */
  std::size_t RunCount(std::uint32_t aShard) const;

  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random{ 7 };
  core::Metrics metrics;
  declaration::ProfileDeclaration profile;
  std::vector<upstream::ReplicaStatus> facts;
  std::vector<SentPart> sent;
  std::vector<QueryResult> results;
  std::vector<core::Duration> latencies;
  std::function<PartBehaviour(const upstream::PartRequest&)> behaviour;
  std::vector<std::string> knownCrashes;
  std::unique_ptr<QueryEngine> engine;

private:
  void Settle();
  void Send(const upstream::PartRequest& aRequest, upstream::PartCallback aCallback);
  void Cancel(const std::string& aPartId);
  void End(const std::string& aPartId, upstream::PartAnswer aAnswer);

  std::map<std::string, upstream::PartCallback> mRunning;
  std::set<std::string> mNotRun;
};

} // namespace skylarkwing::query::test
