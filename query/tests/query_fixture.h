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
  /** Whether the answer has another snapshot than the request. */
  bool hasWrongSnapshot = false;
  /** Whether the part is never answered, not even after cancellation. */
  bool isSilent = false;
};

/** A part as received by the fake owners. */
struct SentPart
{
  upstream::PartRequest request;
  core::TimePoint sentAt;
  std::optional<core::TimePoint> cancelledAt;
};

/**
 * A query engine with fake owners in virtual time. Records every part that is sent; the behaviour
 * hook determines its answer.
 */
class QueryFixture
{
public:
  QueryFixture();

  /** Announces replicas r<shard>-<n> that each hold one shard of a snapshot. */
  void AddSnapshot(std::uint64_t aSnapshot, std::uint32_t aShards, std::uint32_t aReplicas);

  /** Removes a snapshot from all replicas. */
  void RemoveSnapshot(std::uint64_t aSnapshot);

  /** @return the status of a replica, which the test may change. */
  upstream::ReplicaStatus& Status(const std::string& aReplica);

  /** Starts a query; its result is appended to `results`. */
  void StartQuery(const std::string& aSearch, core::Duration aTimeout);

  /** Starts a query and advances time until its result is available. */
  QueryResult Ask(const std::string& aSearch = "{}",
                  core::Duration aTimeout = std::chrono::milliseconds{ 200 });

  /** Runs the loop and all timers that are due within the time span. */
  void Advance(core::Duration aSpan);

  /** @return the hits that a shard of a snapshot holds. */
  static std::vector<upstream::Hit> HitsOf(std::uint64_t aSnapshot, std::uint32_t aShard);

  /** @return the number of parts that ran: all parts sent, except those refused as not run. */
  std::size_t RunCount(std::uint32_t aShard) const;

  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random{ 7 };
  core::Metrics metrics;
  declaration::ProfileDeclaration profile;
  std::vector<upstream::ReplicaStatus> statuses;
  std::vector<SentPart> sent;
  std::vector<QueryResult> results;
  std::vector<core::Duration> latencies;
  std::function<PartBehaviour(const upstream::PartRequest&)> behaviour;
  std::vector<std::string> knownCrashedReplicas;
  std::unique_ptr<QueryEngine> engine;

private:
  void RunReadyHandlers();
  void Send(const upstream::PartRequest& aRequest, upstream::PartCallback aCallback);
  void Cancel(const std::string& aPartId);
  void End(const std::string& aPartId, upstream::PartAnswer aAnswer);

  std::map<std::string, upstream::PartCallback> mRunning;
  std::set<std::string> mNotRun;
};

} // namespace skylarkwing::query::test
