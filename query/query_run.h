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

/** One query under way, from the choice of its version to its result. */
class QueryRun
{
public:
  QueryRun(std::shared_ptr<EngineState> aState, QueryRequest aRequest);
  QueryRun(const QueryRun&) = delete;
  QueryRun& operator=(const QueryRun&) = delete;

  /** Runs the query and gives up every part that is still running then; to be called once. */
  core::Task<QueryResult> Run();

private:
  /** One part on its way. */
  struct Attempt
  {
    std::string replica;
    std::string owner;
    std::uint32_t shard = 0;
    core::TimePoint sentAt;
    AttemptKind kind = AttemptKind::First;
    /** Whether it was sent while the search was not known to be harmless. */
    bool isGuarded = false;
  };

  using PartMailbox = core::Mailbox<upstream::PartAnswer>;
  using HedgeDue = std::pair<core::TimePoint, std::uint32_t>;
  using HedgeQueue = std::priority_queue<HedgeDue, std::vector<HedgeDue>, std::greater<HedgeDue>>;

  bool Begin();
  core::Task<bool> PassCanary();
  core::Task<bool> AwaitPlace();
  core::Task<bool> RunCanary();
  bool IsKnownSafe();
  core::Task<void> Gather();

  void OpenShard(std::uint32_t aShard);
  void CloseShard(std::uint32_t aShard);
  bool SendTo(std::uint32_t aShard, AttemptKind aKind);
  const ReplicaView* Candidate(std::uint32_t aShard, AttemptKind aKind);
  void RefreshView();
  bool IsGuarded() const;
  bool IsHeldBack() const;
  bool IsQuarantined() const;
  upstream::PartRequest PartFor(std::uint32_t aShard, const ReplicaView& aReplica) const;
  core::TimePoint PartDeadline(const std::string& aOwner) const;

  void TakeAnswer(upstream::PartAnswer aAnswer);
  bool IsForAttempt(const upstream::PartAnswer& aAnswer, const Attempt& aAttempt) const;
  void TakeHits(const Attempt& aAttempt, upstream::PartAnswer aAnswer);
  void TakeFailure(const Attempt& aAttempt, const upstream::PartAnswer& aAnswer);
  bool TryAgain(const Attempt& aAttempt, const upstream::PartAnswer& aAnswer);
  bool TakeRetry(ShardProgress& aShard, const upstream::PartAnswer& aAnswer);
  void AllowNewOwner(const Attempt& aAttempt);
  void NoteEvidence(const Attempt& aAttempt, const upstream::PartAnswer& aAnswer);
  void CancelAttempts(std::optional<std::uint32_t> aShard);

  void ResumeHeldShards();
  void SendDueHedges();
  bool AreHedgesHeld() const;
  bool MayHedge(const ShardProgress& aShard) const;
  ProfileBudgets& Budgets();
  core::Duration HedgeDelay(std::uint32_t aShard) const;
  core::TimePoint WakeTime() const;
  bool HasTimeForAttempt() const;

  bool MayRestart() const;
  void Restart();
  QueryResult Refuse(QueryRefusal aRefusal) const;
  QueryResult Conclude();
  QueryRefusal FailureReason() const;

  std::shared_ptr<EngineState> mState;
  QueryRequest mRequest;
  const declaration::ProfileDeclaration& mProfile;
  std::uint64_t mFingerprint;
  core::TimePoint mAnswerBy;
  std::shared_ptr<PartMailbox> mMailbox;

  std::shared_ptr<const IndexView> mView;
  SnapshotChoice mSnapshot;
  std::set<std::uint64_t> mDeadSnapshots;
  std::vector<ShardProgress> mShards;
  std::unordered_map<std::string, Attempt> mAttempts;
  HedgeQueue mHedgeQueue;
  std::uint32_t mOpenShards = 0;
  std::uint32_t mGuardedRunning = 0;
  /** Shards whose next attempt waits until it is clear whether the search crashes replicas. */
  std::vector<std::uint32_t> mHeldShards;
  std::uint32_t mRestarts = 0;
  std::optional<QueryResult> mEarlierAnswer;

  bool mIsCanary = false;
  bool mWasRefusedAsQuarantined = false;
  bool mIsVersionFailing = false;
  bool mMayHaveRun = false;
  FailureTally mFailures;
  CrashExposure mExposure;
};

} // namespace skylarkwing::query
