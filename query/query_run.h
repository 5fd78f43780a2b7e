#pragma once

#include "core/task.h"
#include "query/crash_exposure.h"
#include "query/engine_state.h"
#include "query/failure_tally.h"
#include "query/query_request.h"
#include "query/query_result.h"
#include "query/shard_progress.h"
#include "query/snapshot_choice.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkwing::query {

/** Runs one query, from the choice of a snapshot to the result. */
class QueryRun
{
public:
  QueryRun(std::shared_ptr<EngineState> aState, QueryRequest aRequest);
  QueryRun(const QueryRun&) = delete;
  QueryRun& operator=(const QueryRun&) = delete;

  /** Runs the query and cancels the parts that are still running at its end. To be called once. */
  core::Task<QueryResult> Run();

private:
  /** A part that was sent and has not ended. */
  struct Attempt
  {
    std::string replica;
    std::string owner;
    std::uint32_t shard = 0;
    core::TimePoint sentAt;
    AttemptKind kind = AttemptKind::First;
    /** Whether it was sent while the search was not known to be safe. */
    bool isGuarded = false;
  };

  using PartMailbox = core::Mailbox<upstream::PartAnswer>;
  using HedgeDue = std::pair<core::TimePoint, std::uint32_t>;
  using HedgeQueue = std::priority_queue<HedgeDue, std::vector<HedgeDue>, std::greater<HedgeDue>>;

  bool ChooseNextSnapshot();
  core::Task<bool> RunCanaryIfNeeded();
  core::Task<bool> AcquireCanaryLock();
  core::Task<bool> RunCanary();
  bool IsKnownSafe();
  core::Task<void> Gather();

  void OpenShard(std::uint32_t aShard);
  void CloseShard(std::uint32_t aShard);
  bool SendTo(std::uint32_t aShard, AttemptKind aKind);
  const IndexReplica* ChooseReplica(std::uint32_t aShard, AttemptKind aKind);
  void RefreshView();
  bool IsGuarded() const;
  bool IsExposureFull() const;
  bool IsQuarantined() const;
  upstream::PartRequest PartFor(std::uint32_t aShard, const IndexReplica& aReplica) const;
  core::TimePoint PartDeadline(const std::string& aOwner) const;

  void HandleAnswer(upstream::PartAnswer aAnswer);
  bool IsForAttempt(const upstream::PartAnswer& aAnswer, const Attempt& aAttempt) const;
  void HandleHits(const Attempt& aAttempt, upstream::PartAnswer aAnswer);
  void HandleFailure(const Attempt& aAttempt, const upstream::PartAnswer& aAnswer);
  bool TryRetry(const Attempt& aAttempt, const upstream::PartAnswer& aAnswer);
  bool ConsumeRetry(ShardProgress& aShard, const upstream::PartAnswer& aAnswer);
  void AllowRetryAtNewOwner(const Attempt& aAttempt);
  void RecordCrashEvidence(const Attempt& aAttempt, const upstream::PartAnswer& aAnswer);
  void CancelAttempts(std::optional<std::uint32_t> aShard);

  void ResumeSuspendedShards();
  void SendDueHedges();
  bool AreHedgesSuspended() const;
  bool MayHedge(const ShardProgress& aShard) const;
  ProfileBudgets& Budgets();
  core::Duration HedgeDelay(std::uint32_t aShard) const;
  core::TimePoint WakeTime() const;
  bool HasTimeForAttempt() const;

  bool MayRestart() const;
  void Restart();
  QueryResult Refuse(QueryRefusal aRefusal) const;
  QueryResult BuildResult();
  QueryRefusal FailureReason() const;

  std::shared_ptr<EngineState> mState;
  QueryRequest mRequest;
  const declaration::ProfileDeclaration& mProfile;
  std::uint64_t mFingerprint;
  core::TimePoint mAnswerBy;
  std::shared_ptr<PartMailbox> mMailbox;

  std::shared_ptr<const IndexView> mView;
  SnapshotChoice mSnapshot;
  std::set<std::uint64_t> mExcludedSnapshots;
  std::vector<ShardProgress> mShards;
  std::unordered_map<std::string, Attempt> mAttempts;
  HedgeQueue mHedgeQueue;
  std::uint32_t mOpenShards = 0;
  std::uint32_t mGuardedRunning = 0;
  /** Shards whose retry waits until the outcome of guarded attempts is known. */
  std::vector<std::uint32_t> mSuspendedShards;
  std::uint32_t mRestarts = 0;
  std::optional<QueryResult> mBestEarlierAnswer;

  bool mIsCanary = false;
  bool mWasRefusedAsQuarantined = false;
  bool mIsSnapshotFailing = false;
  bool mMayHaveRun = false;
  FailureTally mFailures;
  CrashExposure mExposure;
};

} // namespace skylarkwing::query
