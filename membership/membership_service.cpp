#include "membership/membership_service.h"

#include "core/log.h"
#include "membership/hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace skylarkwing::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kHeartbeatPeriod{ 250 };
constexpr milliseconds kEvaluationPeriod{ 100 };
constexpr milliseconds kFactPeriod{ 100 };
constexpr milliseconds kUpdateDelay{ 20 };
constexpr milliseconds kProbePeriod{ 1000 };
constexpr milliseconds kVmListPeriod{ 5000 };

/** For how long after its start a process raises its start order above that of an earlier one. */
constexpr seconds kStartOrderSettling{ 10 };

/** The first heartbeats to a process, and then one in an interval, have a full description. */
constexpr std::uint32_t kInitialIntroductions = 4;
constexpr std::uint32_t kIntroductionInterval = 20;
constexpr std::size_t kMaxProbes = 16;
constexpr std::size_t kStatusesPerHeartbeat = 4;
constexpr std::size_t kUpdatesPerMessage = 32;
/** Limits on sent bytes of updates; the rest wait, and anti-entropy also exchanges them. */
constexpr double kUpdateBytesPerSecond = 6.0 * 1024;
constexpr double kUpdateBurstBytes = 64.0 * 1024;
constexpr std::size_t kMemberBytes = 120;
constexpr std::size_t kGossipFanout = 3;
/** Three receivers in each of two rounds miss about one daemon in four hundred. */
constexpr std::uint32_t kGossipRounds = 2;
/** A ring with more members than this is sorted at most once per kLargeRingPeriod. */
constexpr std::size_t kLargeRing = 32;
constexpr milliseconds kLargeRingPeriod{ 100 };

constexpr std::array kAllStates{ MemberState::Joining,
                                 MemberState::Alive,
                                 MemberState::Suspect,
                                 MemberState::Leaving,
                                 MemberState::Gone };

bool
IsPresent(const Member& aMember)
{
  return aMember.state != MemberState::Joining && aMember.state != MemberState::Gone;
}

} // namespace

MembershipService::MembershipService(boost::asio::any_io_executor aExecutor,
                                     core::TimerService& aTimers,
                                     core::RandomSource& aRandom,
                                     core::Metrics& aMetrics,
                                     net::PeerBus& aBus,
                                     Member aSelf,
                                     MembershipHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mMetrics(aMetrics)
  , mBus(aBus)
  , mHooks(std::move(aHooks))
  , mTable(aTimers, std::move(aSelf))
  , mFacts(
      aTimers,
      aMetrics,
      mTable.Self().vm,
      { .ownFacts = mHooks.ownFacts,
        .isUrgent = mHooks.isUrgentFact,
        .onFact = mHooks.onFact,
        .receivers = [this] { return mRing.IsFullMesh() ? Peers() : RandomPeers(kGossipFanout); },
        .isFullMesh = [this] { return mRing.IsFullMesh(); },
        .send = [this](const std::string& aVm,
                       const nlohmann::json& aFacts) { Send(aVm, kFactsKind, aFacts); } })
  , mUpdateBudget(aTimers, kUpdateBytesPerSecond, kUpdateBurstBytes)
  , mAntiEntropy(aTimers,
                 aRandom,
                 mTable,
                 mFacts,
                 { .randomPeer = [this] { return RandomPeer(); },
                   .send = [this](const std::string& aVm,
                                  std::string_view aKind,
                                  const nlohmann::json& aBody) { Send(aVm, aKind, aBody); } })
  , mPauseRecovery(aTimers,
                   aMetrics,
                   { .askMonitors = [this] { AskMonitors(); },
                     .monitorCount = [this] { return mRing.Monitors().size(); },
                     .onWasGone = [this] { RestartSelfSettling(); } })
  , mHeartbeatTimer(aTimers, aRandom)
  , mEvaluationTimer(aTimers, aRandom)
  , mFactTimer(aTimers, aRandom)
  , mProbeTimer(aTimers, aRandom)
  , mVmListTimer(aTimers, aRandom)
  , mStartedAt(aTimers.Now())
  , mWeakSelf(std::make_shared<MembershipService*>(this))
{
  if (mTable.Self().startOrder == 0) {
    mTable.Self().startOrder = static_cast<std::uint64_t>(aTimers.WallClockMilliseconds());
  }
  SetUpMetrics();
  SetUpHandlers();
  mTable.OnChange([this](const Member& aMember) { HandleMemberChange(aMember); });
}

MembershipService::~MembershipService()
{
  Stop();
}

void
MembershipService::Start()
{
  mIsStarted = true;
  mStartedAt = mTimers.Now();
  mHeartbeatTimer.Start(kHeartbeatPeriod, [this](core::Duration) { RunHeartbeat(); });
  mEvaluationTimer.Start(kEvaluationPeriod,
                         [this](core::Duration aLateness) { RunEvaluation(aLateness); });
  mFactTimer.Start(kFactPeriod, [this](core::Duration) { mFacts.Run(); });
  mAntiEntropy.Start();
  mProbeTimer.Start(kProbePeriod, [this](core::Duration) { RunProbes(); });
  mVmListTimer.Start(kVmListPeriod, [this](core::Duration) { StartVmListFetch(); });
  StartVmListFetch();
  RunProbes();
}

void
MembershipService::Stop()
{
  mIsStarted = false;
  mHeartbeatTimer.Stop();
  mEvaluationTimer.Stop();
  mFactTimer.Stop();
  mAntiEntropy.Stop();
  mProbeTimer.Stop();
  mVmListTimer.Stop();
  mTimers.Cancel(mUpdateTimer);
  mUpdateTimer = 0;
  mTimers.Cancel(mEligibleOwnersTimer);
  mEligibleOwnersTimer = 0;
}

void
MembershipService::MergeVmList(const std::vector<VmRecord>& aVms)
{
  const bool hadNoMembers = mTable.Entries().empty();
  mTable.MergeVmList(aVms);
  if (hadNoMembers && mIsStarted) {
    RunProbes();
  }
}

void
MembershipService::AnnounceLeaving()
{
  Member& self = mTable.Self();
  if (self.state == MemberState::Leaving) {
    return;
  }
  self.state = MemberState::Leaving;
  core::LogEvent(core::LogLevel::Info, "membership", "leaving", { { "vm", self.vm } });
  // The heartbeat reaches the monitors, the update all other members.
  RunHeartbeat();
  QueueUpdate(self.vm);
  for (const auto& listener : mListeners) {
    listener(self);
  }
  mTable.Evaluate();
  CheckEligibleOwners();
}

void
MembershipService::SetLoad(double aLoad)
{
  mTable.Self().load = std::clamp(aLoad, 0.0, 1.0);
}

void
MembershipService::SetGeneration(std::uint64_t aGeneration)
{
  if (aGeneration <= mTable.Self().generation) {
    return;
  }
  mTable.Self().generation = aGeneration;
  if (!mIsStarted) {
    return;
  }
  RunHeartbeat();
  if (!mRing.IsFullMesh()) {
    for (const auto& vm : RandomPeers(kGossipFanout)) {
      SendHeartbeat(vm, std::nullopt);
    }
  }
}

std::vector<std::string>
MembershipService::RandomPeers(std::size_t aMaxPeers)
{
  RefreshRing();
  const auto& all = mRing.Peers();
  const std::size_t n = std::min(aMaxPeers, all.size());
  std::vector<std::string> peers;
  // Floyd's algorithm: sampling without replacement, with one random number for each peer.
  std::set<std::size_t> drawn;
  for (std::size_t last = all.size() - n; last < all.size(); ++last) {
    const std::size_t draw = mRandom.Below(last + 1);
    const std::size_t index = drawn.count(draw) > 0 ? last : draw;
    drawn.insert(index);
    peers.push_back(all[index]);
  }
  return peers;
}

void
MembershipService::OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler)
{
  mBus.OnMessage(aKind, std::move(aHandler));
}

std::optional<std::string>
MembershipService::RandomPeer()
{
  const auto peers = RandomPeers(1);
  return peers.empty() ? std::nullopt : std::optional(peers.front());
}

bool
MembershipService::Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)
{
  auto it = mSentMessages.find(aKind);
  if (it == mSentMessages.end()) {
    auto& counter = mMetrics.Counter("skylarkwing_membership_messages_sent_total",
                                     "Messages to other daemons, by kind.",
                                     { { "kind", std::string(aKind) } });
    it = mSentMessages.emplace(std::string(aKind), &counter).first;
  }
  it->second->Increment();
  return mBus.Send(aVm, aKind, aBody);
}

void
MembershipService::SetUpMetrics()
{
  for (const MemberState state : kAllStates) {
    const std::string name(NameOf(state));
    mStateGauges[name] = &mMetrics.Gauge(
      "skylarkwing_membership_members", "Members with self, by state.", { { "state", name } });
  }
  mSuspicions = &mMetrics.Counter("skylarkwing_membership_suspicions_total",
                                  "Times that a member became suspect here.");
  mVmListFailures = &mMetrics.Counter("skylarkwing_membership_vm_list_failures_total",
                                      "Fetches of the VM list that failed.");
}

void
MembershipService::SetUpHandlers()
{
  using Origin = net::PeerMessageOrigin;
  mBus.OnMessage(kHeartbeatKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleHeartbeat(aOrigin, aBody);
  });
  mBus.OnMessage(kMembersKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleMembers(aOrigin, aBody);
  });
  mBus.OnMessage(kFactsKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    mFacts.HandleMessage(aOrigin.vm, aBody);
  });
  mBus.OnMessage(kDigestKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    mAntiEntropy.HandleMessage(aOrigin.vm, aBody);
  });
  mBus.OnMessage(kStandingRequestKind, [this](const Origin& aOrigin, const nlohmann::json&) {
    HandleStandingRequest(aOrigin);
  });
  mBus.OnMessage(kStandingKind, [this](const Origin& aOrigin, const nlohmann::json& aBody) {
    HandleStanding(aOrigin, aBody);
  });
}

void
MembershipService::RunHeartbeat()
{
  RefreshRing();
  ++mTable.Self().heartbeatCount;
  for (const auto& vm : mRing.Monitors()) {
    SendHeartbeat(vm, true);
  }
}

void
MembershipService::RunEvaluation(core::Duration aLateness)
{
  mPauseRecovery.RecordRun(aLateness);
  mTable.Evaluate();
  CheckEligibleOwners();
  for (const auto& listener : mEvaluatedListeners) {
    listener();
  }
}

void
MembershipService::UpdateStateGauges()
{
  const auto& byState = mTable.Counts().byState;
  for (const MemberState state : kAllStates) {
    const auto n = static_cast<double>(byState[static_cast<std::size_t>(state)]);
    mStateGauges.find(NameOf(state))->second->Set(n);
  }
}

void
MembershipService::RunProbes()
{
  UpdateStateGauges();
  std::vector<const Member*> silent;
  for (const auto& [vm, entry] : mTable.Entries()) {
    const bool isProbed = !IsPresent(entry.member) && !entry.isRemoved && !entry.hasLeft;
    if (isProbed) {
      silent.push_back(&entry.member);
    }
  }
  const std::size_t n = std::min(kMaxProbes, silent.size());
  for (std::size_t i = 0; i < n; ++i) {
    std::swap(silent[i], silent[i + mRandom.Below(silent.size() - i)]);
    mBus.Connect(silent[i]->vm, silent[i]->peerAddress);
    // The member may have restarted and lost what it knew about this daemon.
    mHeartbeatsSent.erase(silent[i]->vm);
    SendHeartbeat(silent[i]->vm, std::nullopt);
  }
}

void
MembershipService::SendHeartbeat(const std::string& aVm, std::optional<bool> aIsMonitored)
{
  const Member& self = mTable.Self();
  Heartbeat heartbeat;
  heartbeat.status = StatusOf(self);
  heartbeat.state = self.state;
  heartbeat.isMonitored = aIsMonitored;
  if (NeedsIntroduction(aVm)) {
    heartbeat.introduction = self;
  }
  if (!mRing.IsFullMesh()) {
    heartbeat.others = SampleMembers();
  }
  Send(aVm, kHeartbeatKind, HeartbeatToJson(heartbeat));
}

bool
MembershipService::NeedsIntroduction(const std::string& aVm)
{
  const MemberEntry* entry = mTable.Find(aVm);
  const std::string incarnation = entry != nullptr ? entry->member.incarnation : std::string();
  HeartbeatCount& count = mHeartbeatsSent[aVm];
  if (count.incarnation != incarnation) {
    count = { incarnation, 0 };
  }
  const std::uint32_t n = count.sent++;
  return n < kInitialIntroductions || n % kIntroductionInterval == 0;
}

std::vector<MemberStatus>
MembershipService::SampleMembers()
{
  std::vector<MemberStatus> others;
  const auto& peers = mRing.Peers();
  for (std::size_t i = 0; i < kStatusesPerHeartbeat && !peers.empty(); ++i) {
    const MemberEntry* entry = mTable.Find(peers[mRandom.Below(peers.size())]);
    // A leaving member works until it stops; daemons that don't monitor it need these reports.
    const bool isRunning = entry != nullptr && (entry->member.state == MemberState::Alive ||
                                                entry->member.state == MemberState::Leaving);
    if (isRunning) {
      others.push_back(StatusOf(entry->member));
    }
  }
  return others;
}

void
MembershipService::ScheduleUpdates()
{
  if (mUpdateTimer != 0 || mUpdates.IsEmpty() || !mIsStarted) {
    return;
  }
  mUpdateTimer = mTimers.Schedule(kUpdateDelay, [this] {
    mUpdateTimer = 0;
    SendUpdates();
  });
}

void
MembershipService::QueueUpdate(const std::string& aVm)
{
  mUpdates.Add(aVm, kGossipRounds);
  ScheduleUpdates();
}

void
MembershipService::SendUpdates()
{
  if (!mUpdateBudget.CanSpend()) {
    ScheduleUpdates();
    return;
  }
  MembersReport report;
  for (const auto& vm : mUpdates.TakeNext(kUpdatesPerMessage)) {
    const MemberEntry* entry = mTable.Find(vm);
    if (vm == mTable.Self().vm) {
      report.members.push_back(mTable.Self());
    } else if (entry != nullptr) {
      report.members.push_back(entry->member);
    }
  }
  const nlohmann::json body = MembersReportToJson(report);
  const auto receivers = RandomPeers(mRing.IsFullMesh() ? kMaxFullMeshMembers : kGossipFanout);
  for (const auto& vm : receivers) {
    Send(vm, kMembersKind, body);
  }
  const std::size_t sent = report.members.size() * receivers.size() * kMemberBytes;
  mUpdateBudget.Spend(static_cast<double>(sent));
  ScheduleUpdates();
}

void
MembershipService::HandleHeartbeat(const net::PeerMessageOrigin& aOrigin,
                                   const nlohmann::json& aBody)
{
  const auto heartbeat = HeartbeatFromJson(aBody);
  if (!heartbeat || heartbeat->status.vm != aOrigin.vm || aOrigin.vm == mTable.Self().vm) {
    return;
  }
  const MemberEntry* known = mTable.Find(aOrigin.vm);
  const bool isKnown = known != nullptr && known->member.incarnation == aOrigin.incarnation;
  if (!isKnown && !heartbeat->introduction) {
    return;
  }
  const bool wasGone = isKnown && known->member.state == MemberState::Gone;
  Member member = heartbeat->introduction ? *heartbeat->introduction : known->member;
  ApplyStatus(heartbeat->status, member);
  member.state = heartbeat->state;
  const ReportOutcome outcome = mTable.HandleHeartbeat(member, heartbeat->isMonitored, aOrigin.age);
  if (outcome == ReportOutcome::Outdated) {
    const MembersReport report{ ReportReason::Correction, { mTable.Find(aOrigin.vm)->member } };
    Send(aOrigin.vm, kMembersKind, MembersReportToJson(report));
    return;
  }
  if (wasGone && member.state == MemberState::Alive) {
    Send(aOrigin.vm, kStandingKind, { { "g", true } });
  }
  for (const auto& status : heartbeat->others) {
    HandleStatus(status);
  }
  ReportGeneration(aOrigin.vm, member.generation);
}

void
MembershipService::HandleStatus(const MemberStatus& aStatus)
{
  const MemberEntry* known = mTable.Find(aStatus.vm);
  const bool isKnown = known != nullptr && known->member.startOrder == aStatus.startOrder;
  if (!isKnown || aStatus.heartbeatCount <= known->member.heartbeatCount) {
    return;
  }
  Member member = known->member;
  ApplyStatus(aStatus, member);
  member.state = MemberState::Alive;
  mTable.HandleReport(member);
  ReportGeneration(member.vm, member.generation);
}

void
MembershipService::HandleMembers(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  const auto report = MembersReportFromJson(aBody);
  if (!report) {
    return;
  }
  mIsForwarding = report->reason != ReportReason::AntiEntropy;
  MembersReport correction{ ReportReason::Correction, {} };
  for (const auto& member : report->members) {
    if (member.vm == mTable.Self().vm) {
      HandleReportAboutSelf(member, aOrigin.vm);
      continue;
    }
    const ReportOutcome outcome = mTable.HandleReport(member);
    if (outcome == ReportOutcome::Outdated) {
      correction.members.push_back(mTable.Find(member.vm)->member);
    }
    const bool isAntiEntropy = report->reason == ReportReason::AntiEntropy;
    if (isAntiEntropy && outcome == ReportOutcome::Changed) {
      mAntiEntropy.CountNewMember();
    }
  }
  mIsForwarding = true;
  const bool isAnswered = report->reason != ReportReason::Correction;
  if (isAnswered && !correction.members.empty()) {
    Send(aOrigin.vm, kMembersKind, MembersReportToJson(correction));
  }
}

void
MembershipService::HandleReportAboutSelf(const Member& aReport, const std::string& aFrom)
{
  Member& self = mTable.Self();
  if (aReport.incarnation == self.incarnation) {
    const bool isSuspected =
      aReport.state == MemberState::Suspect || aReport.state == MemberState::Gone;
    if (!isSuspected) {
      return;
    }
    self.heartbeatCount = std::max(self.heartbeatCount, aReport.heartbeatCount) + 1;
    QueueUpdate(self.vm);
    if (aReport.state == MemberState::Gone) {
      mPauseRecovery.HandleAnswer(aFrom, true);
    }
    return;
  }
  const std::pair reported(aReport.startOrder, aReport.incarnation);
  if (reported < std::pair(self.startOrder, self.incarnation)) {
    QueueUpdate(self.vm);
    return;
  }
  if (mTimers.Now() - mStartedAt < kStartOrderSettling) {
    self.startOrder = aReport.startOrder + 1;
    mHeartbeatsSent.clear();
    QueueUpdate(self.vm);
    return;
  }
  if (!mIsSuperseded) {
    mIsSuperseded = true;
    core::LogEvent(core::LogLevel::Error,
                   "membership",
                   "superseded",
                   { { "vm", self.vm }, { "by", aReport.incarnation } });
    mHooks.onSuperseded ? mHooks.onSuperseded() : void();
  }
}

void
MembershipService::HandleStandingRequest(const net::PeerMessageOrigin& aOrigin)
{
  const MemberEntry* entry = mTable.Find(aOrigin.vm);
  const bool isSame = entry != nullptr && entry->member.incarnation == aOrigin.incarnation;
  const bool isReturning = isSame && entry->returns > 0 && mTimers.Now() < entry->settledAt;
  const bool isGone = isSame && entry->member.state == MemberState::Gone;
  Send(aOrigin.vm, kStandingKind, { { "g", isGone || isReturning } });
}

void
MembershipService::AskMonitors()
{
  mTable.RestartSilences();
  RefreshRing();
  for (const auto& vm : mRing.Monitors()) {
    Send(vm, kStandingRequestKind, nlohmann::json::object());
  }
}

void
MembershipService::RestartSelfSettling()
{
  // The replicas of this daemon have new owners, so it settles like any member that returns.
  mTable.RestartSelfSettling();
  mTable.Evaluate();
  CheckEligibleOwners();
}

void
MembershipService::HandleStanding(const net::PeerMessageOrigin& aOrigin,
                                  const nlohmann::json& aBody)
{
  if (!aBody.is_object() || !aBody.contains("g") || !aBody["g"].is_boolean()) {
    return;
  }
  mPauseRecovery.HandleAnswer(aOrigin.vm, aBody["g"].get<bool>());
}

void
MembershipService::HandleMemberChange(const Member& aMember)
{
  mIsRingStale = true;
  UpdateConnection(aMember);
  if (aMember.state == MemberState::Suspect) {
    mSuspicions->Increment();
  }
  core::LogEvent(core::LogLevel::Info,
                 "membership",
                 "member_changed",
                 { { "vm", aMember.vm },
                   { "incarnation", aMember.incarnation },
                   { "state", std::string(NameOf(aMember.state)) } });
  if (mIsForwarding && aMember.state != MemberState::Joining) {
    QueueUpdate(aMember.vm);
  }
  for (const auto& listener : mListeners) {
    listener(aMember);
  }
  ReplayFacts(aMember);
  ScheduleEligibleOwnersCheck();
}

void
MembershipService::UpdateConnection(const Member& aMember)
{
  if (aMember.state == MemberState::Gone) {
    mBus.Disconnect(aMember.vm);
    mHeartbeatsSent.erase(aMember.vm);
  } else {
    mBus.Connect(aMember.vm, aMember.peerAddress);
  }
  if (aMember.state == MemberState::Alive && mRing.IsFullMesh() && mIsStarted) {
    // In a full mesh facts are sent only once, so this member may have missed some.
    mAntiEntropy.ExchangeWith(aMember.vm);
  }
}

void
MembershipService::ReplayFacts(const Member& aMember)
{
  if (aMember.state == MemberState::Gone) {
    mGoneIncarnations[aMember.vm] = aMember.incarnation;
    return;
  }
  // Listeners dropped the facts when the member was gone, and it does not send them again.
  const auto gone = mGoneIncarnations.find(aMember.vm);
  if (aMember.state != MemberState::Alive || gone == mGoneIncarnations.end()) {
    return;
  }
  const bool isSame = gone->second == aMember.incarnation;
  mGoneIncarnations.erase(gone);
  if (isSame) {
    mFacts.Replay(aMember.vm);
  }
}

void
MembershipService::RefreshRing()
{
  // Sorting a large ring for each of many simultaneous changes would be expensive.
  const bool isRecent = mTimers.Now() - mRingAt < core::Duration(kLargeRingPeriod);
  const bool isLarge = mTable.Entries().size() > kLargeRing;
  if (!mIsRingStale || (isLarge && isRecent)) {
    return;
  }
  mIsRingStale = false;
  mRingAt = mTimers.Now();
  std::vector<std::string> vms;
  for (const auto& [vm, entry] : mTable.Entries()) {
    if (IsPresent(entry.member)) {
      vms.push_back(vm);
    }
  }
  const std::vector<std::string> before = mRing.Monitors();
  mRing.Assign(vms, mTable.Self().vm);
  ReleaseFormerMonitors(before);
}

void
MembershipService::ReleaseFormerMonitors(const std::vector<std::string>& aBefore)
{
  const auto& monitors = mRing.Monitors();
  for (const auto& vm : aBefore) {
    const bool isMonitor = std::find(monitors.begin(), monitors.end(), vm) != monitors.end();
    const MemberEntry* entry = mTable.Find(vm);
    if (!isMonitor && entry != nullptr && IsPresent(entry->member)) {
      SendHeartbeat(vm, false);
    }
  }
}

void
MembershipService::ScheduleEligibleOwnersCheck()
{
  // When many members are gone at once, listeners are called only once.
  if (mEligibleOwnersTimer != 0 || !mIsStarted) {
    return;
  }
  mEligibleOwnersTimer = mTimers.Schedule(core::Duration::zero(), [this] {
    mEligibleOwnersTimer = 0;
    mTable.Evaluate();
    CheckEligibleOwners();
  });
}

void
MembershipService::ReportGeneration(const std::string& aVm, std::uint64_t aGeneration)
{
  if (aGeneration <= mTable.Self().generation) {
    return;
  }
  for (const auto& listener : mGenerationListeners) {
    listener(aVm, aGeneration);
  }
}

void
MembershipService::CheckEligibleOwners()
{
  const std::uint64_t hash = mTable.Counts().eligibleOwnersHash;
  if (hash == mEligibleOwnersHash) {
    return;
  }
  mEligibleOwnersHash = hash;
  for (const auto& listener : mEligibleOwnersListeners) {
    listener();
  }
}

void
MembershipService::StartVmListFetch()
{
  if (!mHooks.fetchVmList || mIsFetchingVmList) {
    return;
  }
  mIsFetchingVmList = true;
  core::Start(mExecutor, FetchVmList(mWeakSelf, mHooks.fetchVmList()));
}

core::Task<void>
MembershipService::FetchVmList(std::weak_ptr<MembershipService*> aService,
                               core::Task<std::optional<std::vector<VmRecord>>> aFetch)
{
  const auto records = co_await std::move(aFetch);
  const auto service = aService.lock();
  if (!service) {
    co_return;
  }
  (*service)->mIsFetchingVmList = false;
  if (records) {
    (*service)->MergeVmList(*records);
  } else {
    (*service)->mVmListFailures->Increment();
  }
}

} // namespace skylarkwing::membership
