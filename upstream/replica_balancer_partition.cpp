// The part of ReplicaBalancer that finds out whether this daemon is cut off from the replicas.

#include "upstream/replica_balancer.h"

#include "core/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwing::upstream {

namespace {

/** Replicas of different services that are probed together. */
constexpr std::size_t kProbedReplicas = 3;

/** Time in which a daemon with traffic hears from some replica, if it isn't cut off. */
constexpr core::Duration kContactWait = std::chrono::milliseconds{ 10 };

} // namespace

void
ReplicaBalancer::SetPartitionHooks(PartitionHooks aHooks)
{
  aHooks.probeReplicas = [this](std::function<void(bool)> aCallback) {
    ProbeReplicas(std::move(aCallback));
  };
  const auto onStateChange = std::move(aHooks.onStateChange);
  aHooks.onStateChange = [this, onStateChange](PartitionState aState) {
    OnPartitionStateChange(aState);
    onStateChange(aState);
  };
  mPartition.SetHooks(std::move(aHooks));
}

void
ReplicaBalancer::OnPartitionStateChange(PartitionState aState)
{
  const bool wasPartitioned = std::exchange(mWasPartitioned, aState == PartitionState::Partitioned);
  if (!wasPartitioned || mWasPartitioned) {
    return;
  }
  // The failures of the partition say nothing about the replicas.
  for (const auto& [id, client] : mClients) {
    client->ForgetFailures();
  }
}

bool
ReplicaBalancer::HasOpenPaths(const std::vector<std::string>& aServices)
{
  return mPartition.HasRecentAnswer() &&
         std::all_of(aServices.begin(), aServices.end(), [this](const std::string& aService) {
           const auto& clients = ServiceOf(aService).clients;
           return std::any_of(clients.begin(), clients.end(), [this](const auto& aClient) {
             return MayUse(*aClient, {}) && aClient->HasIdleConnection();
           });
         });
}

void
ReplicaBalancer::OnContact(const AnnouncedReplica& aReplica, ReplicaContact aContact)
{
  switch (aContact) {
    case ReplicaContact::Answered:
      mPartition.RecordAnswer();
      break;
    case ReplicaContact::Connected:
      mPartition.RecordConnected();
      break;
    case ReplicaContact::ConnectFailed:
      mPartition.SetSize(CountReplicas());
      mPartition.RecordConnectFailure(aReplica.id, aReplica.service);
      break;
  }
}

SilentReplicas
ReplicaBalancer::CountReplicas() const
{
  const auto services = std::count_if(mServices.begin(), mServices.end(), [](const auto& aEntry) {
    return !aEntry.second.clients.empty();
  });
  return { mClients.size(), static_cast<std::size_t>(services) };
}

void
ReplicaBalancer::ReviewPartition()
{
  if (!mPartition.IsSilent()) {
    return;
  }
  const core::TimePoint latest = mTimers.Now() - PartitionDetector::kMaxSilence;
  SilentReplicas silent;
  std::set<std::string_view> services;
  for (const auto& [id, client] : mClients) {
    const auto oldest = client->OldestAttempt();
    if (oldest && *oldest <= latest) {
      ++silent.replicas;
      services.insert(client->Replica().service);
    }
  }
  silent.services = services.size();
  if (silent.replicas > 0) {
    mPartition.SetSize(CountReplicas());
    mPartition.ReviewSilence(silent);
  }
}

void
ReplicaBalancer::CheckEnded(const std::string& aId, std::function<void(bool)> aCallback)
{
  const auto it = mClients.find(aId);
  if (it == mClients.end() || it->second->MayEnd()) {
    // Its entry is gone, or it shuts down.
    aCallback(false);
    return;
  }
  const std::shared_ptr<ReplicaClient> client = it->second;
  client->TestConnection(
    [this, isAlive = mIsAlive, client, callback = std::move(aCallback)](bool aIsConnected) {
      if (aIsConnected || !*isAlive) {
        callback(false);
      } else {
        ConfirmEnd(client, callback);
      }
    });
}

void
ReplicaBalancer::ConfirmEnd(std::shared_ptr<ReplicaClient> aClient,
                            std::function<void(bool)> aCallback)
{
  const auto report = [this, client = std::move(aClient), callback = std::move(aCallback)](
                        PartitionVerdict aVerdict) {
    // A daemon that is cut off can't tell, and must not make others refuse the request.
    const bool hasEnded =
      aVerdict != PartitionVerdict::Partitioned && aVerdict != PartitionVerdict::PeersSilent;
    if (hasEnded) {
      client->RecordEnd();
    } else if (mUnconfirmedLines.Allow(mTimers.Now())) {
      core::LogEvent(core::LogLevel::Info,
                     "upstream",
                     "replica_end_unconfirmed",
                     { { "replica", client->Replica().id },
                       { "service", client->Replica().service },
                       { "verdict", std::string(NameOf(aVerdict)) },
                       { "unlogged", std::to_string(mUnconfirmedLines.TakeDroppedCount()) } });
    }
    callback(hasEnded);
  };
  const core::TimePoint failedAt = mTimers.Now();
  mTimers.Schedule(kContactWait, [this, isAlive = mIsAlive, failedAt, report] {
    if (*isAlive) {
      mPartition.JudgeLoss(failedAt, report);
    }
  });
}

void
ReplicaBalancer::ProbeReplicas(std::function<void(bool)> aCallback)
{
  mProbes.push_back(std::move(aCallback));
  if (!mIsProbing) {
    StartProbe();
  }
}

std::vector<std::shared_ptr<ReplicaClient>>
ReplicaBalancer::ChooseProbes()
{
  struct Option
  {
    bool hasFailed;
    std::uint64_t order;
    std::shared_ptr<ReplicaClient> client;
  };
  std::vector<Option> options;
  options.reserve(mClients.size());
  for (const auto& [id, client] : mClients) {
    // A replica that asks for rest still shows whether it can be reached.
    if (!client->Replica().isDraining && !client->Availability().IsLeaving()) {
      options.push_back({ client->HasConnectFailed(), mRandom.Below(1U << 30U), client });
    }
  }
  std::sort(options.begin(), options.end(), [](const Option& aLeft, const Option& aRight) {
    return std::make_pair(aLeft.hasFailed, aLeft.order) <
           std::make_pair(aRight.hasFailed, aRight.order);
  });
  // Different services first: the replicas of one may be down together.
  std::set<std::string_view> services;
  const auto next =
    std::stable_partition(options.begin(), options.end(), [&services](const Option& aOption) {
      return services.insert(aOption.client->Replica().service).second;
    });
  std::stable_partition(
    options.begin(), next, [](const Option& aOption) { return !aOption.hasFailed; });
  std::vector<std::shared_ptr<ReplicaClient>> chosen;
  for (std::size_t n = 0; n < std::min(kProbedReplicas, options.size()); ++n) {
    chosen.push_back(options[n].client);
  }
  return chosen;
}

void
ReplicaBalancer::StartProbe()
{
  const std::vector<std::shared_ptr<ReplicaClient>> chosen = ChooseProbes();
  const auto callbacks =
    std::make_shared<std::vector<std::function<void(bool)>>>(std::exchange(mProbes, {}));
  if (chosen.empty()) {
    for (const auto& callback : *callbacks) {
      callback(false);
    }
    return;
  }
  mIsProbing = true;
  const auto left = std::make_shared<std::size_t>(chosen.size());
  const auto report = [callbacks](bool aIsConnected) {
    for (const auto& callback : std::exchange(*callbacks, {})) {
      callback(aIsConnected);
    }
  };
  for (const std::shared_ptr<ReplicaClient>& client : chosen) {
    client->TestConnection([this, isAlive = mIsAlive, left, report](bool aIsConnected) {
      --*left;
      if (!*isAlive) {
        return;
      }
      if (aIsConnected || *left == 0) {
        report(aIsConnected);
      }
      if (*left > 0) {
        return;
      }
      mIsProbing = false;
      if (!mProbes.empty()) {
        StartProbe();
      }
    });
  }
}

} // namespace skylarkwing::upstream
