#include "rollout/rollout_control.h"

#include <algorithm>

namespace skylarkwing::rollout {

namespace {

/** Time for which an ended rollout is still reported, so that all daemons learn of it at once. */
constexpr core::Duration kReportAfterEnd = std::chrono::seconds{ 3 };

/** @return whether a record belongs to an order. */
bool
IsRecordOf(const RolloutRecord& aRecord, const RolloutOrder& aOrder)
{
  return aRecord.target == aOrder.target && aRecord.orderRevision == aOrder.revision;
}

} // namespace

RolloutControl::RolloutControl(std::string aVm, const RolloutLimits& aLimits, RolloutHooks aHooks)
  : mVm(std::move(aVm))
  , mLimits(aLimits)
  , mHooks(std::move(aHooks))
{
}

void
RolloutControl::AddReplica(const upstream::AnnouncedReplica& aReplica)
{
  mReplicas[aReplica.id] = { aReplica.service, aReplica.version, aReplica.startedAt };
  Service& service = mServices[aReplica.service];
  UpdateBase(aReplica.service, service);
}

void
RolloutControl::RemoveReplica(const std::string& aId)
{
  const auto it = mReplicas.find(aId);
  if (it == mReplicas.end()) {
    return;
  }
  const std::string service = it->second.service;
  mReplicas.erase(it);
  UpdateBase(service, mServices[service]);
}

void
RolloutControl::SetOrder(RolloutOrder aOrder, bool aMayBeOld, core::TimePoint aNow)
{
  Service& service = mServices[aOrder.service];
  // An era of the store that began with an older copy has the same order at a lower revision.
  const bool isKnown = service.order && service.order->target == aOrder.target &&
                       service.order->duration == aOrder.duration &&
                       aOrder.revision <= service.order->revision;
  if (isKnown) {
    return;
  }
  EndRollout(service);
  service.order = std::move(aOrder);
  service.mayBeOld = aMayBeOld;
  service.orderSeenAt = aNow;
  UpdateBase(service.order->service, service);
}

void
RolloutControl::RemoveOrder(const std::string& aService)
{
  const auto it = mServices.find(aService);
  if (it == mServices.end() || !it->second.order) {
    return;
  }
  EndRollout(it->second);
  it->second.order.reset();
  UpdateBase(it->first, it->second);
}

void
RolloutControl::SetRecord(const std::string& aService,
                          std::optional<RolloutRecord> aRecord,
                          std::uint64_t aRevision)
{
  Service& service = mServices[aService];
  service.record = std::move(aRecord);
  service.recordRevision = aRevision;
  // One transaction writes both, so that they have the same revision.
  service.statusRevision = aRevision;
  service.status.reset();
  if (service.record) {
    service.status = RolloutStatus{ service.record->phase, service.record->target };
  }
  ShowStore(service);
  UpdateBase(aService, service);
}

void
RolloutControl::SetStatus(const std::string& aService,
                          std::optional<RolloutStatus> aStatus,
                          std::uint64_t aRevision)
{
  Service& service = mServices[aService];
  service.status = std::move(aStatus);
  service.statusRevision = aRevision;
  ShowStore(service);
}

std::vector<std::string>
RolloutControl::Services() const
{
  std::vector<std::string> names;
  names.reserve(mServices.size());
  for (const auto& [name, service] : mServices) {
    names.push_back(name);
  }
  return names;
}

void
RolloutControl::SetFleet(const std::vector<std::string>& aRanking, double aOwnShare)
{
  if (mRanking == aRanking && mOwnShare == aOwnShare) {
    return;
  }
  mRanking = aRanking;
  mOwnShare = aOwnShare;
  for (auto& [name, service] : mServices) {
    if (service.rollout) {
      service.rollout->SetFleet(mRanking, mOwnShare);
    }
  }
}

const upstream::VersionRule*
RolloutControl::RuleOf(std::string_view aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() || !it->second.rule ? nullptr : &*it->second.rule;
}

void
RolloutControl::CountRequest(std::string_view aService)
{
  if (Rollout* const rollout = RolloutOf(aService)) {
    rollout->CountRequest();
  }
}

bool
RolloutControl::TakesTarget(std::string_view aService, core::TimePoint aNow)
{
  Rollout* const rollout = RolloutOf(aService);
  return rollout != nullptr && rollout->Allows(aNow);
}

void
RolloutControl::CountSent(std::string_view aService, const std::string& aVersion)
{
  Rollout* const rollout = RolloutOf(aService);
  if (rollout != nullptr && rollout->Order().target == aVersion) {
    rollout->CountSent();
  }
}

void
RolloutControl::RecordSample(const upstream::VersionSample& aSample, core::TimePoint aNow)
{
  const auto it = mServices.find(aSample.service);
  if (it == mServices.end() || !it->second.rollout) {
    return;
  }
  const bool isTarget = aSample.version == it->second.rollout->Order().target;
  if (isTarget || aSample.version == it->second.base) {
    it->second.rollout->RecordAnswer(aSample.route,
                                     aSample.failureDomain,
                                     isTarget ? VersionSide::Target : VersionSide::Base,
                                     aSample.hasFailed,
                                     aSample.workTime,
                                     aNow);
  }
}

std::vector<RolloutReport>
RolloutControl::MakeReports(bool aAreWhole, core::TimePoint aNow) const
{
  std::vector<RolloutReport> reports;
  for (const auto& [name, service] : mServices) {
    if (service.rollout &&
        (!IsFinal(service.rollout->Phase(aNow)) || aNow - service.endedAt < kReportAfterEnd)) {
      reports.push_back(service.rollout->MakeReport(aAreWhole, aNow));
    }
  }
  return reports;
}

std::vector<RolloutReply>
RolloutControl::Handle(const std::vector<RolloutReport>& aReports, core::TimePoint aNow)
{
  std::vector<RolloutReply> replies;
  for (const RolloutReport& report : aReports) {
    Rollout* const rollout = RolloutOf(report.service);
    if (rollout != nullptr && rollout->Order().target == report.target &&
        rollout->Order().revision == report.orderRevision) {
      replies.push_back(rollout->Handle(report, aNow));
      Service& service = mServices.find(report.service)->second;
      NotePhase(service, aNow);
      UpdateRule(report.service, service, aNow);
    }
  }
  return replies;
}

void
RolloutControl::Apply(const std::vector<RolloutReply>& aReplies, core::TimePoint aNow)
{
  for (const RolloutReply& reply : aReplies) {
    Rollout* const rollout = RolloutOf(reply.service);
    if (rollout != nullptr && rollout->Order().revision == reply.orderRevision) {
      rollout->Apply(reply, aNow);
      Service& service = mServices.find(reply.service)->second;
      NotePhase(service, aNow);
      UpdateRule(reply.service, service, aNow);
    }
  }
}

std::vector<RolloutWrite>
RolloutControl::Review(core::TimePoint aNow, std::int64_t aWallMs)
{
  std::vector<RolloutWrite> writes;
  for (auto& [name, service] : mServices) {
    StartIfDue(name, service, aNow, aWallMs);
    if (service.rollout) {
      service.rollout->Review(aNow);
      NotePhase(service, aNow);
      if (const auto step = service.rollout->DueStep(aNow)) {
        writes.push_back(MakeWrite(name, service, *step, aNow, aWallMs));
      }
    }
    UpdateRule(name, service, aNow);
  }
  return writes;
}

void
RolloutControl::EndRollout(Service& aService)
{
  if (aService.rollout && aService.lastPhase == RolloutPhase::Completed) {
    aService.base = aService.rollout->Order().target;
  }
  aService.rollout.reset();
  aService.lastPhase = RolloutPhase::Trial;
}

Rollout*
RolloutControl::RolloutOf(std::string_view aService)
{
  const auto it = mServices.find(aService);
  return it == mServices.end() || !it->second.rollout ? nullptr : &*it->second.rollout;
}

std::optional<std::string>
RolloutControl::OldestVersion(std::string_view aService, std::string_view aOtherThan) const
{
  const Replica* oldest = nullptr;
  for (const auto& [id, replica] : mReplicas) {
    const bool counts =
      replica.service == aService && (aOtherThan.empty() || replica.version != aOtherThan);
    if (counts && (oldest == nullptr || replica.startedAt < oldest->startedAt)) {
      oldest = &replica;
    }
  }
  return oldest == nullptr ? std::nullopt : std::optional(oldest->version);
}

bool
RolloutControl::HasReplica(std::string_view aService, const std::string& aVersion) const
{
  return std::any_of(mReplicas.begin(), mReplicas.end(), [&](const auto& aEntry) {
    return aEntry.second.service == aService && aEntry.second.version == aVersion;
  });
}

void
RolloutControl::UpdateBase(const std::string& aName, Service& aService)
{
  if (aService.rollout) {
    return;
  }
  if (aService.record) {
    aService.base = aService.record->phase == RolloutPhase::Completed ? aService.record->target
                                                                      : aService.record->base;
  }
  // Without an order the operator has replaced all replicas by himself.
  const bool isGone = aService.base && !aService.order && !HasReplica(aName, *aService.base);
  if (!aService.base || isGone) {
    const auto oldest = OldestVersion(aName);
    aService.base = oldest ? oldest : aService.base;
  }
  UpdateRule(aName, aService, {});
}

void
RolloutControl::StartIfDue(const std::string& aName,
                           Service& aService,
                           core::TimePoint aNow,
                           std::int64_t aWallMs)
{
  if (!mHasReadRecords || !aService.order || aService.rollout || !aService.base) {
    return;
  }
  const bool hasRecord = aService.record && IsRecordOf(*aService.record, *aService.order);
  core::Duration elapsed = std::min(aNow - aService.orderSeenAt, aService.order->duration);
  if (hasRecord && aService.mayBeOld) {
    const std::chrono::milliseconds sinceStart(aWallMs - aService.record->startedAtMs);
    elapsed = std::clamp<core::Duration>(sinceStart, elapsed, aService.order->duration);
  }
  aService.rollout.emplace(mVm, mLimits, *aService.order, aNow, elapsed);
  aService.rollout->SetFleet(mRanking, mOwnShare);
  aService.lastPhase = RolloutPhase::Trial;
  if (!hasRecord && aService.base == aService.order->target) {
    // A daemon that starts in the middle, without a record, may have taken the new version for the
    // old one; only a service without another version has nothing to roll out.
    if (const auto other = OldestVersion(aName, aService.order->target)) {
      aService.base = other;
    } else {
      aService.rollout->Decide(RolloutPhase::Completed);
    }
  }
  ShowStore(aService);
}

void
RolloutControl::ShowStore(Service& aService)
{
  if (!aService.rollout) {
    return;
  }
  const RolloutOrder& order = aService.rollout->Order();
  const bool isRecord = aService.record && IsRecordOf(*aService.record, order);
  aService.rollout->SetRecord(isRecord ? std::optional(aService.record->phase) : std::nullopt);
  const bool isStatus = aService.status && aService.status->target == order.target;
  aService.rollout->SetStatus(isStatus ? std::optional(aService.status->phase) : std::nullopt);
}

void
RolloutControl::NotePhase(Service& aService, core::TimePoint aNow)
{
  const RolloutPhase phase = aService.rollout->Phase(aNow);
  if (phase == aService.lastPhase) {
    return;
  }
  const RolloutPhase from = std::exchange(aService.lastPhase, phase);
  if (IsFinal(phase)) {
    aService.endedAt = aNow;
  }
  if (mHooks.onPhaseChange) {
    mHooks.onPhaseChange(*aService.rollout, from, phase);
  }
}

void
RolloutControl::UpdateRule(const std::string& aName, Service& aService, core::TimePoint aNow)
{
  std::optional<upstream::VersionRule> rule;
  if (aService.base) {
    rule.emplace();
    rule->serving = *aService.base;
  }
  if (rule && aService.rollout) {
    const std::string& target = aService.rollout->Order().target;
    const RolloutPhase phase =
      aNow == core::TimePoint{} ? aService.lastPhase : aService.rollout->Phase(aNow);
    if (phase == RolloutPhase::Full || phase == RolloutPhase::Completed) {
      rule->serving = target;
    } else if (phase != RolloutPhase::Reverted && target != rule->serving) {
      rule->candidate = target;
    }
  }
  const bool isSame = rule.has_value() == aService.rule.has_value() &&
                      (!rule || (rule->serving == aService.rule->serving &&
                                 rule->candidate == aService.rule->candidate));
  if (isSame) {
    return;
  }
  aService.rule = std::move(rule);
  if (mHooks.onRuleChange) {
    mHooks.onRuleChange(aName);
  }
}

RolloutWrite
RolloutControl::MakeWrite(const std::string& aName,
                          const Service& aService,
                          const RolloutStep& aStep,
                          core::TimePoint aNow,
                          std::int64_t aWallMs) const
{
  const RolloutOrder& order = aService.rollout->Order();
  const core::Duration elapsed = aService.rollout->Elapsed(aNow);
  RolloutWrite write;
  write.service = aName;
  write.record.target = order.target;
  write.record.base = *aService.base;
  write.record.phase = aStep.phase;
  write.record.startedAtMs =
    aWallMs - std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
  write.record.orderRevision = order.revision;
  write.recordRevision = aService.recordRevision;
  write.statusRevision = aService.statusRevision;
  write.verdict = aStep.verdict;
  write.elapsed = elapsed;
  return write;
}

} // namespace skylarkwing::rollout
