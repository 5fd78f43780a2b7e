// The part of ReplicaBalancer that keeps requests to the versions that may get them.

#include "upstream/replica_balancer.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::upstream {

namespace {

/** @return whether an attempt shows a fault; nothing when it says nothing about the version. */
std::optional<bool>
FailureOf(AttemptStatus aStatus)
{
  switch (aStatus) {
    case AttemptStatus::Answered:
      return false;
    case AttemptStatus::Failed:
    case AttemptStatus::NothingSent:
    case AttemptStatus::Lost:
    case AttemptStatus::TimedOut:
    case AttemptStatus::Garbled:
      return true;
    // A full replica, an address with a new owner, or a shortage of this process.
    case AttemptStatus::NotRun:
    case AttemptStatus::WrongReplica:
    case AttemptStatus::Dropped:
      break;
  }
  return std::nullopt;
}

} // namespace

void
ReplicaBalancer::SetVersionHooks(VersionHooks aHooks)
{
  mVersions = std::move(aHooks);
}

void
ReplicaBalancer::ApplyVersionRules(std::string_view aService)
{
  WakeAllIfUnusable(aService);
  WakeWaiter(aService);
}

const VersionRule*
ReplicaBalancer::VersionRuleOf(std::string_view aService) const
{
  return mVersions.ruleOf ? mVersions.ruleOf(aService) : nullptr;
}

bool
ReplicaBalancer::IsVersionServing(const ReplicaClient& aClient) const
{
  const VersionRule* const rule = VersionRuleOf(aClient.Replica().service);
  if (rule == nullptr || aClient.Replica().version == rule->serving) {
    return true;
  }
  const auto service = mServices.find(aClient.Replica().service);
  return service == mServices.end() ||
         std::none_of(service->second.clients.begin(),
                      service->second.clients.end(),
                      [rule](const auto& aOther) {
                        const AnnouncedReplica& other = aOther->Replica();
                        return other.version == rule->serving && !other.isDraining &&
                               !aOther->Availability().IsLeaving();
                      });
}

bool
ReplicaBalancer::IsCandidate(const ReplicaClient& aClient) const
{
  const VersionRule* const rule = VersionRuleOf(aClient.Replica().service);
  return rule != nullptr && rule->candidate && aClient.Replica().version == *rule->candidate;
}

std::shared_ptr<ReplicaClient>
ReplicaBalancer::ChooseCandidate(const AttemptRequest& aRequest)
{
  const VersionRule* const rule = VersionRuleOf(aRequest.service);
  if (rule == nullptr || !rule->candidate || aRequest.kind != AttemptKind::First ||
      !mVersions.takesCandidate(aRequest.service)) {
    return nullptr;
  }
  std::vector<std::shared_ptr<ReplicaClient>> usable;
  for (const std::shared_ptr<ReplicaClient>& client : ServiceOf(aRequest.service).clients) {
    if (client->Replica().version == *rule->candidate &&
        RefusalByState(*client, aRequest) == SendRefusal::None) {
      usable.push_back(client);
    }
  }
  return usable.empty() ? nullptr : Choose(usable, aRequest);
}

AttemptCallback
ReplicaBalancer::ObserveVersion(const ReplicaClient& aClient,
                                const AttemptRequest& aRequest,
                                AttemptCallback aCallback)
{
  if (VersionRuleOf(aRequest.service) == nullptr) {
    return aCallback;
  }
  const AnnouncedReplica& replica = aClient.Replica();
  mVersions.onSent(aRequest.service, replica.version);
  if (aClient.IsCold()) {
    // Slow and failing answers after a start say nothing about the version.
    return aCallback;
  }
  VersionSample sample{ std::string(aRequest.service),
                        std::string(aRequest.route),
                        replica.version,
                        replica.failureDomain,
                        false,
                        {} };
  const core::Duration roundTrip = aClient.MeasuredRoundTrip().value_or(core::Duration::zero());
  return [this, isAlive = mIsAlive, sample, roundTrip, callback = std::move(aCallback)](
           AttemptResult aResult) mutable {
    const std::optional<bool> hasFailed = FailureOf(aResult.status);
    // The time of a cancelled attempt, such as one that a hedge has overtaken, is a lower bound.
    const bool counts =
      aResult.wasCancelled ? aResult.exchangeTime.count() > 0 : hasFailed.has_value();
    if (*isAlive && counts) {
      sample.hasFailed = !aResult.wasCancelled && *hasFailed;
      sample.workTime = std::max(core::Duration::zero(), aResult.exchangeTime - roundTrip);
      mVersions.onSample(sample);
    }
    callback(std::move(aResult));
  };
}

} // namespace skylarkwing::upstream
