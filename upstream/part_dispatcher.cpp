#include "upstream/part_dispatcher.h"

#include "core/log.h"
#include "upstream/fingerprint_gate.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <unordered_map>
#include <utility>

namespace skylarkwing::upstream {

namespace {

// Delays after which evidence is broadcast again, since messages between daemons may be lost. The
// permit for a suspected fingerprint is kept for longer.
constexpr std::array<std::chrono::seconds, 2> kEvidenceRepeats{ std::chrono::seconds{ 1 },
                                                                std::chrono::seconds{ 3 } };

bool
HasSameConfiguration(const OwnedReplica& aLeft, const OwnedReplica& aRight)
{
  return aLeft.declaration.address == aRight.declaration.address && aLeft.index == aRight.index &&
         aLeft.service == aRight.service &&
         aLeft.declaration.failureDomain == aRight.declaration.failureDomain &&
         aLeft.limits.slots == aRight.limits.slots &&
         aLeft.limits.coldSlots == aRight.limits.coldSlots &&
         aLeft.limits.connections == aRight.limits.connections;
}

} // namespace

struct PartDispatcher::State : public std::enable_shared_from_this<PartDispatcher::State>
{
  using WorkerPtr = std::shared_ptr<ReplicaWorker>;

  boost::asio::any_io_executor executor;
  core::TimerService& timers;
  core::RandomSource& random;
  core::Metrics& metrics;
  DispatcherHooks hooks;
  CrashHistory crashHistory;
  std::shared_ptr<FingerprintGate> gate;
  std::map<std::string, WorkerPtr> workers;
  std::vector<WorkerPtr> retiring;
  std::unordered_map<std::string, PendingPartPtr> parts;
  ReplicaStatusListener statusListener;
  std::function<void()> stopWaiter;
  bool isStopping = false;
  std::vector<prometheus::Counter*> endedParts;
  std::vector<prometheus::Counter*> refusedParts;
  prometheus::Counter& crashes;

  State(boost::asio::any_io_executor aExecutor,
        core::TimerService& aTimers,
        core::RandomSource& aRandom,
        core::Metrics& aMetrics,
        DispatcherHooks aHooks)
    : executor(std::move(aExecutor))
    , timers(aTimers)
    , random(aRandom)
    , metrics(aMetrics)
    , hooks(std::move(aHooks))
    , crashHistory(aTimers)
    , crashes(aMetrics.Counter("skylarkwing_upstream_crashes_total",
                               "Parts whose replica went away while it ran them."))
  {
    RegisterCounters();
    if (!hooks.connect) {
      hooks.connect = MakeHttpConnectionFactory(executor);
    }
  }

  void RegisterCounters();
  void MakeGate();
  static core::Task<bool> AcquirePermit(std::weak_ptr<State> aSelf, std::string aName);
  WorkerPtr MakeWorker(const OwnedReplica& aReplica);
  void AddOwned(const OwnedReplica& aReplica);
  void Retire(const WorkerPtr& aWorker);
  void RefuseWaiting(const std::string& aReplica);
  void Route(const PendingPartPtr& aPart);
  void Submit(const PendingPartPtr& aPart);
  void Refuse(const PendingPartPtr& aPart, PartStatus aStatus, PartRefusal aRefusal);
  std::optional<PartAnswer> RefuseBeforeSend(const PartRequest& aRequest);
  void Finish(const PendingPartPtr& aPart, PartAnswer aAnswer, const PartCallback& aCallback);
  void RecordCrash(const PartRequest& aRequest, const std::string& aIncarnation);
  void RepeatLater(const CrashEvidence& aEvidence, core::Duration aDelay);
  void RecordAlive(const std::string& aReplica, const std::string& aIncarnation);
  void CancelQuarantined(std::uint64_t aFingerprint);
  void Cancel(const PendingPartPtr& aPart);
  void OnWorkerChange(const std::string& aReplica);
  bool IsRetiring(const std::string& aReplica) const;
  bool IsIdle() const;
};

void
PartDispatcher::State::RegisterCounters()
{
  for (int n = 0; n <= static_cast<int>(PartStatus::Quarantined); ++n) {
    const std::string status(NameOf(static_cast<PartStatus>(n)));
    endedParts.push_back(&metrics.Counter("skylarkwing_upstream_parts_total",
                                          "Parts that ended at their replica's owner.",
                                          { { "status", status } }));
  }
  for (int n = 0; n <= static_cast<int>(PartRefusal::Cancelled); ++n) {
    const std::string refusal(NameOf(static_cast<PartRefusal>(n)));
    refusedParts.push_back(&metrics.Counter("skylarkwing_upstream_refusals_total",
                                            "Parts that were not answered, by reason.",
                                            { { "refusal", refusal } }));
  }
}

void
PartDispatcher::State::MakeGate()
{
  const std::weak_ptr<State> weak = weak_from_this();
  FingerprintGateHooks gateHooks;
  gateHooks.acquirePermit = hooks.acquirePermit;
  gateHooks.isPermitHeld = hooks.isPermitHeld;
  gateHooks.releasePermit = hooks.releasePermit;
  gateHooks.run = [weak](const PendingPartPtr& aPart) {
    if (const auto self = weak.lock()) {
      self->Submit(aPart);
    }
  };
  gateHooks.route = [weak](const PendingPartPtr& aPart) {
    if (const auto self = weak.lock()) {
      self->Route(aPart);
    }
  };
  gateHooks.refuse = [weak](const PendingPartPtr& aPart, PartRefusal aRefusal) {
    if (const auto self = weak.lock()) {
      self->Refuse(aPart, PartStatus::NotRun, aRefusal);
    }
  };
  gate = std::make_shared<FingerprintGate>(executor, timers, std::move(gateHooks));
}

core::Task<bool>
PartDispatcher::State::AcquirePermit(std::weak_ptr<State> aSelf, std::string aName)
{
  const std::shared_ptr<State> self = aSelf.lock();
  // A permit is held per daemon, so a former worker of the same replica could also send with it.
  if (!self || self->IsRetiring(aName)) {
    co_return false;
  }
  const bool isGranted = co_await self->hooks.acquirePermit(std::move(aName));
  co_return isGranted;
}

PartDispatcher::State::WorkerPtr
PartDispatcher::State::MakeWorker(const OwnedReplica& aReplica)
{
  const std::weak_ptr<State> weak = weak_from_this();
  const std::string name = aReplica.declaration.name;
  ReplicaWorkerHooks workerHooks;
  workerHooks.connect = hooks.connect;
  workerHooks.permit.acquire = [weak](std::string aName) {
    return AcquirePermit(weak, std::move(aName));
  };
  workerHooks.permit.isHeld = hooks.isPermitHeld;
  workerHooks.permit.release = hooks.releasePermit;
  workerHooks.refuseBeforeSend = [weak](const PartRequest& aRequest) {
    const auto self = weak.lock();
    return self ? self->RefuseBeforeSend(aRequest) : std::nullopt;
  };
  workerHooks.onCrash = [weak](const PartRequest& aRequest, const std::string& aIncarnation) {
    if (const auto self = weak.lock()) {
      self->RecordCrash(aRequest, aIncarnation);
    }
  };
  workerHooks.onAlive = [weak](const std::string& aName, const std::string& aIncarnation) {
    if (const auto self = weak.lock()) {
      self->RecordAlive(aName, aIncarnation);
    }
  };
  workerHooks.onChange = [weak, name] {
    if (const auto self = weak.lock()) {
      self->OnWorkerChange(name);
    }
  };
  return std::make_shared<ReplicaWorker>(
    executor, timers, random, metrics, aReplica, std::move(workerHooks));
}

void
PartDispatcher::State::AddOwned(const OwnedReplica& aReplica)
{
  const auto it = workers.find(aReplica.declaration.name);
  if (it != workers.end() && HasSameConfiguration(it->second->Replica(), aReplica)) {
    if (it->second->Replica().isDomainOut != aReplica.isDomainOut) {
      it->second->SetDomainOut(aReplica.isDomainOut);
    }
    return;
  }
  if (it != workers.end()) {
    const WorkerPtr former = it->second;
    workers.erase(it);
    Retire(former);
  }
  const WorkerPtr worker = MakeWorker(aReplica);
  workers.emplace(aReplica.declaration.name, worker);
  worker->Start();
}

void
PartDispatcher::State::Retire(const WorkerPtr& aWorker)
{
  retiring.push_back(aWorker);
  aWorker->Retire();
  RefuseWaiting(aWorker->Replica().declaration.name);
}

void
PartDispatcher::State::RefuseWaiting(const std::string& aReplica)
{
  std::vector<PendingPartPtr> waiting;
  for (const auto& [id, part] : parts) {
    if (part->request.replica == aReplica && gate->Remove(part)) {
      waiting.push_back(part);
    }
  }
  for (const PendingPartPtr& part : waiting) {
    Refuse(part, PartStatus::NotRun, PartRefusal::NotOwner);
  }
}

void
PartDispatcher::State::Route(const PendingPartPtr& aPart)
{
  const PartRequest& request = aPart->request;
  const FingerprintRisk risk = crashHistory.Assess(request.fingerprint, request.crashedReplicas);
  if (risk == FingerprintRisk::Quarantined) {
    Refuse(aPart, PartStatus::Quarantined, PartRefusal::Unavailable);
    return;
  }
  if (!workers.contains(request.replica)) {
    Refuse(aPart, PartStatus::NotRun, PartRefusal::NotOwner);
    return;
  }
  if (risk == FingerprintRisk::Suspect) {
    // A second run on the same replica would show nothing new and could crash it again.
    if (crashHistory.HasCrashed(request.fingerprint, request.replica)) {
      Refuse(aPart, PartStatus::NotRun, PartRefusal::Unavailable);
      return;
    }
    gate->Enter(aPart, true);
    return;
  }
  if (risk == FingerprintRisk::Untried && request.isCanary) {
    gate->Enter(aPart, false);
    return;
  }
  Submit(aPart);
}

void
PartDispatcher::State::Submit(const PendingPartPtr& aPart)
{
  const auto it = workers.find(aPart->request.replica);
  if (it == workers.end()) {
    Refuse(aPart, PartStatus::NotRun, PartRefusal::NotOwner);
    return;
  }
  // Keeps the worker alive, because an answer may change the list of workers.
  const WorkerPtr worker = it->second;
  worker->Submit(aPart);
}

void
PartDispatcher::State::Refuse(const PendingPartPtr& aPart, PartStatus aStatus, PartRefusal aRefusal)
{
  PartAnswer answer;
  answer.partId = aPart->request.partId;
  answer.status = aStatus;
  answer.refusal = aRefusal;
  answer.snapshot = aPart->request.snapshot;
  answer.shard = aPart->request.shard;
  aPart->callback(std::move(answer));
}

std::optional<PartAnswer>
PartDispatcher::State::RefuseBeforeSend(const PartRequest& aRequest)
{
  const FingerprintRisk risk = crashHistory.Assess(aRequest.fingerprint, aRequest.crashedReplicas);
  if (risk == FingerprintRisk::Safe || risk == FingerprintRisk::Untried) {
    return std::nullopt;
  }
  const bool isAllowed = risk == FingerprintRisk::Suspect && gate->MayRunSuspect(aRequest) &&
                         !crashHistory.HasCrashed(aRequest.fingerprint, aRequest.replica);
  if (isAllowed) {
    return std::nullopt;
  }
  PartAnswer answer;
  answer.partId = aRequest.partId;
  answer.status =
    risk == FingerprintRisk::Quarantined ? PartStatus::Quarantined : PartStatus::NotRun;
  answer.refusal = PartRefusal::Unavailable;
  answer.snapshot = aRequest.snapshot;
  answer.shard = aRequest.shard;
  return answer;
}

void
PartDispatcher::State::Finish(const PendingPartPtr& aPart,
                              PartAnswer aAnswer,
                              const PartCallback& aCallback)
{
  const std::uint64_t fingerprint = aPart->request.fingerprint;
  if (parts.erase(aPart->request.partId) == 0) {
    return;
  }
  const bool isQuarantined = aAnswer.status == PartStatus::NotRun &&
                             crashHistory.Assess(fingerprint, {}) == FingerprintRisk::Quarantined;
  if (isQuarantined) {
    aAnswer.status = PartStatus::Quarantined;
    aAnswer.refusal = PartRefusal::Unavailable;
  }
  if (aAnswer.status == PartStatus::Answered &&
      crashHistory.RecordAnswer(fingerprint, aPart->request.shard)) {
    hooks.broadcastCrash({ fingerprint, EvidenceKind::Harmless, {}, {}, aPart->request.shard });
  }
  endedParts[static_cast<std::size_t>(aAnswer.status)]->Increment();
  if (aAnswer.refusal != PartRefusal::None) {
    refusedParts[static_cast<std::size_t>(aAnswer.refusal)]->Increment();
  }
  aAnswer.crashedReplicas = crashHistory.CrashedReplicas(fingerprint);
  const PartStatus status = aAnswer.status;
  aCallback(std::move(aAnswer));
  gate->OnEnded(aPart, status);
}

void
PartDispatcher::State::RecordCrash(const PartRequest& aRequest, const std::string& aIncarnation)
{
  const CrashEvidence evidence{
    aRequest.fingerprint, EvidenceKind::Crash, aRequest.replica, aIncarnation, aRequest.shard
  };
  crashHistory.Merge(evidence);
  crashes.Increment();
  core::LogEvent(core::LogLevel::Warning,
                 "upstream",
                 "replica_crashed",
                 { { "replica", aRequest.replica },
                   { "incarnation", aIncarnation },
                   { "fingerprint", std::to_string(aRequest.fingerprint) } });
  hooks.broadcastCrash(evidence);
  for (const std::chrono::seconds delay : kEvidenceRepeats) {
    RepeatLater(evidence, delay);
  }
  CancelQuarantined(aRequest.fingerprint);
}

void
PartDispatcher::State::RepeatLater(const CrashEvidence& aEvidence, core::Duration aDelay)
{
  timers.Schedule(aDelay, [weak = weak_from_this(), aEvidence] {
    const auto self = weak.lock();
    if (self && self->crashHistory.HasCrashed(aEvidence.fingerprint, aEvidence.replica)) {
      self->hooks.broadcastCrash(aEvidence);
    }
  });
}

void
PartDispatcher::State::RecordAlive(const std::string& aReplica, const std::string& aIncarnation)
{
  for (const std::uint64_t fingerprint : crashHistory.SuspectedOf(aReplica, aIncarnation)) {
    const CrashEvidence evidence{ fingerprint, EvidenceKind::Alive, aReplica, aIncarnation, 0 };
    crashHistory.Merge(evidence);
    hooks.broadcastCrash(evidence);
  }
}

void
PartDispatcher::State::CancelQuarantined(std::uint64_t aFingerprint)
{
  if (crashHistory.Assess(aFingerprint, {}) != FingerprintRisk::Quarantined) {
    return;
  }
  std::vector<PendingPartPtr> cancelled;
  for (const auto& [id, part] : parts) {
    if (part->request.fingerprint == aFingerprint) {
      cancelled.push_back(part);
    }
  }
  for (const PendingPartPtr& part : cancelled) {
    Cancel(part);
  }
}

void
PartDispatcher::State::Cancel(const PendingPartPtr& aPart)
{
  if (gate->Remove(aPart)) {
    Refuse(aPart, PartStatus::NotRun, PartRefusal::Cancelled);
    return;
  }
  const auto it = workers.find(aPart->request.replica);
  if (it != workers.end()) {
    const WorkerPtr worker = it->second;
    worker->Cancel(aPart);
    return;
  }
  for (const WorkerPtr& worker : retiring) {
    if (worker->Replica().declaration.name == aPart->request.replica) {
      worker->Cancel(aPart);
      return;
    }
  }
}

void
PartDispatcher::State::OnWorkerChange(const std::string& aReplica)
{
  std::erase_if(retiring, [](const WorkerPtr& aWorker) { return aWorker->IsDone(); });
  const auto it = workers.find(aReplica);
  if (it != workers.end() && statusListener) {
    statusListener(it->second->Status());
  }
  if (stopWaiter && IsIdle()) {
    const std::function<void()> waiter = std::exchange(stopWaiter, nullptr);
    waiter();
  }
}

bool
PartDispatcher::State::IsRetiring(const std::string& aReplica) const
{
  return std::any_of(retiring.begin(), retiring.end(), [&aReplica](const WorkerPtr& aWorker) {
    return !aWorker->IsDone() && aWorker->Replica().declaration.name == aReplica;
  });
}

bool
PartDispatcher::State::IsIdle() const
{
  return workers.empty() && retiring.empty();
}

PartDispatcher::PartDispatcher(boost::asio::any_io_executor aExecutor,
                               core::TimerService& aTimers,
                               core::RandomSource& aRandom,
                               core::Metrics& aMetrics,
                               DispatcherHooks aHooks)
  : mState(
      std::make_shared<State>(std::move(aExecutor), aTimers, aRandom, aMetrics, std::move(aHooks)))
{
  mState->MakeGate();
}

PartDispatcher::~PartDispatcher()
{
  mState->statusListener = nullptr;
  const auto workers = mState->workers;
  for (const auto& [name, worker] : workers) {
    worker->Abort();
  }
  const auto retiring = mState->retiring;
  for (const auto& worker : retiring) {
    worker->Abort();
  }
}

void
PartDispatcher::SetOwned(const std::vector<OwnedReplica>& aReplicas)
{
  if (mState->isStopping) {
    return;
  }
  std::vector<std::string> lost;
  for (const auto& [name, worker] : mState->workers) {
    const auto isNamed = [&name = name](const OwnedReplica& aReplica) {
      return aReplica.declaration.name == name;
    };
    if (std::none_of(aReplicas.begin(), aReplicas.end(), isNamed)) {
      lost.push_back(name);
    }
  }
  for (const std::string& name : lost) {
    auto node = mState->workers.extract(name);
    mState->Retire(node.mapped());
  }
  for (const OwnedReplica& replica : aReplicas) {
    mState->AddOwned(replica);
  }
}

bool
PartDispatcher::IsReleasing(const std::string& aReplica) const
{
  return mState->IsRetiring(aReplica);
}

void
PartDispatcher::Dispatch(PartRequest aRequest, PartCallback aCallback)
{
  if (mState->parts.contains(aRequest.partId)) {
    // The first part of that id continues, so nothing may be said about whether it runs.
    PartAnswer answer;
    answer.partId = aRequest.partId;
    answer.refusal = PartRefusal::Cancelled;
    aCallback(std::move(answer));
    return;
  }
  const PendingPartPtr part = std::make_shared<PendingPart>();
  part->request = std::move(aRequest);
  // The list of parts owns the part, so the part's own callback holds it weakly.
  part->callback = [weak = std::weak_ptr<State>(mState),
                    weakPart = std::weak_ptr<PendingPart>(part),
                    callback = std::move(aCallback)](PartAnswer aAnswer) {
    const auto self = weak.lock();
    const PendingPartPtr ended = weakPart.lock();
    if (self && ended) {
      self->Finish(ended, std::move(aAnswer), callback);
    }
  };
  mState->parts.emplace(part->request.partId, part);
  mState->Route(part);
}

void
PartDispatcher::Cancel(const std::string& aPartId)
{
  const auto it = mState->parts.find(aPartId);
  if (it == mState->parts.end()) {
    return;
  }
  const PendingPartPtr part = it->second;
  mState->Cancel(part);
}

void
PartDispatcher::Merge(const CrashEvidence& aEvidence)
{
  mState->crashHistory.Merge(aEvidence);
  mState->CancelQuarantined(aEvidence.fingerprint);
}

std::vector<CrashEvidence>
PartDispatcher::Evidence() const
{
  return mState->crashHistory.Evidence();
}

void
PartDispatcher::LiftQuarantine(std::uint64_t aFingerprint)
{
  const CrashEvidence evidence{ aFingerprint, EvidenceKind::Lifted, {}, {}, 0 };
  mState->crashHistory.Merge(evidence);
  mState->hooks.broadcastCrash(evidence);
}

std::vector<std::string>
PartDispatcher::CrashedReplicas(std::uint64_t aFingerprint) const
{
  return mState->crashHistory.CrashedReplicas(aFingerprint);
}

std::vector<QuarantinedFingerprint>
PartDispatcher::QuarantinedFingerprints() const
{
  return mState->crashHistory.Quarantined();
}

std::vector<ReplicaStatus>
PartDispatcher::Statuses() const
{
  std::vector<ReplicaStatus> statuses;
  for (const auto& [name, worker] : mState->workers) {
    statuses.push_back(worker->Status());
  }
  return statuses;
}

void
PartDispatcher::OnStatusChange(ReplicaStatusListener aListener)
{
  mState->statusListener = std::move(aListener);
}

core::Task<void>
PartDispatcher::Stop()
{
  mState->isStopping = true;
  while (!mState->workers.empty()) {
    auto node = mState->workers.extract(mState->workers.begin());
    mState->Retire(node.mapped());
  }
  if (mState->IsIdle()) {
    co_return;
  }
  const std::shared_ptr<State> state = mState;
  std::function<void(std::function<void()>)> start = [state](std::function<void()> aWake) {
    state->stopWaiter = std::move(aWake);
  };
  co_await core::AwaitCallback(std::move(start));
}

} // namespace skylarkwing::upstream
