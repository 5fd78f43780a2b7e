#include "console/change_service.h"

#include "declaration/declaration_diff.h"
#include "declaration/declaration_parser.h"
#include "declaration/harm_check.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace skylarkwing::console {

namespace {

/** The name of membership::MemberState::Alive. */
constexpr std::string_view kAliveState = "alive";
constexpr core::Duration kConfigurationPollInterval = std::chrono::milliseconds{ 100 };
constexpr std::size_t kMaxAuthorBytes = 128;
constexpr std::size_t kMaxReasonBytes = 1024;

ChangeOutcome
Refuse(std::string aReason)
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::Refused;
  outcome.reason = std::move(aReason);
  return outcome;
}

std::optional<ChangeOutcome>
CheckTerms(const ChangeTerms& aTerms)
{
  if (aTerms.author.empty()) {
    return Refuse("the author is missing");
  }
  if (aTerms.author.size() > kMaxAuthorBytes || aTerms.reason.size() > kMaxReasonBytes) {
    return Refuse("the author or the reason is too long");
  }
  return std::nullopt;
}

std::vector<declaration::ChangeRecord>
RecordsSince(const declaration::Configuration& aPresent, std::uint64_t aGeneration)
{
  std::vector<declaration::ChangeRecord> records;
  std::copy_if(aPresent.history.begin(),
               aPresent.history.end(),
               std::back_inserter(records),
               [aGeneration](const declaration::ChangeRecord& aRecord) {
                 return aRecord.generation > aGeneration;
               });
  return records;
}

bool
MentionsDomain(const declaration::ChangeRecord& aRecord, const std::string& aDomain)
{
  return std::any_of(
    aRecord.changes.begin(), aRecord.changes.end(), [&aDomain](const std::string& aLine) {
      return aLine.find(aDomain) != std::string::npos;
    });
}

ChangeOutcome
ConflictWith(const declaration::Configuration& aPresent,
             std::vector<declaration::ChangeRecord> aRecords,
             std::uint64_t aExpected)
{
  ChangeOutcome outcome;
  outcome.verdict = ChangeVerdict::Conflict;
  outcome.generation = aPresent.generation;
  outcome.conflicts = std::move(aRecords);
  outcome.reason = "generation " + std::to_string(aExpected) + " was expected, and generation " +
                   std::to_string(aPresent.generation) + " is accepted";
  return outcome;
}

/** @return the conflict of a change to one domain, or nothing when no other change concerns it. */
std::optional<ChangeOutcome>
FindDomainConflict(const declaration::Configuration& aPresent,
                   std::uint64_t aExpected,
                   const std::string& aDomain)
{
  if (aExpected == aPresent.generation) {
    return std::nullopt;
  }
  std::vector<declaration::ChangeRecord> records = RecordsSince(aPresent, aExpected);
  // Every generation has one record. Another count means that the history is too short, or that the
  // operator saw a generation that this daemon does not have yet.
  const bool isHistoryComplete = records.size() == aPresent.generation - aExpected;
  if (isHistoryComplete) {
    std::erase_if(records,
                  [&aDomain](const auto& aRecord) { return !MentionsDomain(aRecord, aDomain); });
    if (records.empty()) {
      return std::nullopt;
    }
  }
  return ConflictWith(aPresent, std::move(records), aExpected);
}

/** @return the number of live VMs in failure domains that a declaration leaves in service. */
std::size_t
CountEntryVms(const ClusterStatus& aStatus, const declaration::Declaration& aDeclaration)
{
  std::size_t count = 0;
  for (const FailureDomainStatus& domain : aStatus.failureDomains) {
    const bool isOut = std::any_of(aDeclaration.failureDomains.begin(),
                                   aDeclaration.failureDomains.end(),
                                   [&domain](const declaration::FailureDomainDeclaration& aOther) {
                                     return aOther.name == domain.name && aOther.out;
                                   });
    if (!isOut) {
      count += static_cast<std::size_t>(
        std::count_if(domain.vms.begin(), domain.vms.end(), [](const VmStatus& aVm) {
          return aVm.state == kAliveState;
        }));
    }
  }
  return count;
}

} // namespace

ChangeService::ChangeService(core::TimerService& aTimers, const ConsoleHooks& aHooks)
  : mTimers(aTimers)
  , mHooks(aHooks)
{
}

void
ChangeService::ApplyDeclaration(const std::string& aText,
                                ChangeTerms aTerms,
                                ChangeCallback aCallback)
{
  if (const std::optional<ChangeOutcome> refusal = CheckTerms(aTerms)) {
    aCallback(*refusal);
    return;
  }
  declaration::ParseResult parsed = declaration::ParseDeclaration(aText);
  if (!parsed.declaration || !parsed.faults.empty()) {
    ChangeOutcome outcome = Refuse("the declaration has faults");
    outcome.faults = std::move(parsed.faults);
    aCallback(std::move(outcome));
    return;
  }
  const declaration::Configuration present =
    mHooks.configuration().value_or(declaration::Configuration());
  const std::uint64_t expected = aTerms.expectedGeneration.value_or(present.generation);
  if (expected != present.generation) {
    aCallback(ConflictWith(present, RecordsSince(present, expected), expected));
    return;
  }
  Submit(present, std::move(*parsed.declaration), std::move(aTerms), std::move(aCallback));
}

void
ChangeService::ApplyDomain(const DomainChange& aChange,
                           ChangeTerms aTerms,
                           ChangeCallback aCallback)
{
  if (const std::optional<ChangeOutcome> refusal = CheckTerms(aTerms)) {
    aCallback(*refusal);
    return;
  }
  const auto attempt = std::make_shared<DomainAttempt>();
  attempt->change = aChange;
  attempt->terms = std::move(aTerms);
  attempt->callback = std::move(aCallback);
  TryDomain(attempt);
}

void
ChangeService::TryDomain(const AttemptPtr& aAttempt)
{
  const std::optional<declaration::Configuration> present = mHooks.configuration();
  if (!present) {
    aAttempt->callback(Refuse("no configuration is known here yet"));
    return;
  }
  const std::string& name = aAttempt->change.name;
  declaration::Declaration wanted = present->declaration;
  const auto it = std::find_if(wanted.failureDomains.begin(),
                               wanted.failureDomains.end(),
                               [&name](const auto& aDomain) { return aDomain.name == name; });
  if (it == wanted.failureDomains.end()) {
    aAttempt->callback(Refuse("there is no failure domain named " + name));
    return;
  }
  ChangeTerms& terms = aAttempt->terms;
  // A retry compares with the generation that the operator saw, not with a newer one.
  terms.expectedGeneration = terms.expectedGeneration.value_or(present->generation);
  if (std::optional<ChangeOutcome> conflict =
        FindDomainConflict(*present, *terms.expectedGeneration, name)) {
    aAttempt->callback(std::move(*conflict));
    return;
  }
  it->out = aAttempt->change.out;
  it->reason = it->out ? terms.reason : std::string();
  Submit(*present, std::move(wanted), terms, [this, aAttempt](ChangeOutcome aOutcome) {
    FinishDomainAttempt(aAttempt, std::move(aOutcome));
  });
}

void
ChangeService::FinishDomainAttempt(const AttemptPtr& aAttempt, ChangeOutcome aOutcome)
{
  const bool isConflict = aOutcome.verdict == ChangeVerdict::Conflict;
  if (!isConflict || aAttempt->retries >= kMaxRetries) {
    aAttempt->callback(std::move(aOutcome));
    return;
  }
  ++aAttempt->retries;
  aAttempt->outcome = std::move(aOutcome);
  aAttempt->giveUpAt = mTimers.Now() + kMaxConfigurationWait;
  AwaitConfiguration(aAttempt);
}

void
ChangeService::AwaitConfiguration(const AttemptPtr& aAttempt)
{
  const std::optional<declaration::Configuration> present = mHooks.configuration();
  if (present && present->generation >= aAttempt->outcome.generation) {
    TryDomain(aAttempt);
    return;
  }
  if (mTimers.Now() >= aAttempt->giveUpAt) {
    aAttempt->callback(std::move(aAttempt->outcome));
    return;
  }
  mTimers.Schedule(kConfigurationPollInterval, [this, aAttempt] { AwaitConfiguration(aAttempt); });
}

std::vector<std::string>
ChangeService::FindHarms(const declaration::Declaration& aFrom,
                         const declaration::Declaration& aTo) const
{
  std::vector<std::string> harms = declaration::FindHarms(aFrom, aTo);
  const ClusterStatus status = mHooks.status();
  if (CountEntryVms(status, aFrom) > 0 && CountEntryVms(status, aTo) == 0) {
    harms.emplace_back("no live entry VM would be left for callers");
  }
  return harms;
}

void
ChangeService::Submit(const declaration::Configuration& aPresent,
                      declaration::Declaration aDeclaration,
                      ChangeTerms aTerms,
                      ChangeCallback aCallback)
{
  if (!aTerms.force) {
    std::vector<std::string> harms = FindHarms(aPresent.declaration, aDeclaration);
    if (!harms.empty()) {
      ChangeOutcome outcome = Refuse("the change would do harm; force makes it nevertheless");
      outcome.harms = std::move(harms);
      aCallback(std::move(outcome));
      return;
    }
  }
  ChangeRequest request;
  request.changes =
    declaration::ToLines(declaration::DescribeChanges(aPresent.declaration, aDeclaration));
  request.declaration = std::move(aDeclaration);
  request.expectedGeneration = aPresent.generation;
  request.author = std::move(aTerms.author);
  request.reason = std::move(aTerms.reason);
  mHooks.applyChange(std::move(request), std::move(aCallback));
}

} // namespace skylarkwing::console
