#pragma once

#include "query/index_view.h"
#include "query/replica_chooser.h"
#include "upstream/part.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::query {

/** What a query engine needs of the rest of the daemon. */
struct QueryHooks
{
  upstream::PartSender sendPart;
  upstream::PartCanceller cancelPart;
  /** @return what is known of an index now, nullptr when nothing is. */
  std::function<std::shared_ptr<const IndexView>(const std::string& aIndex)> indexView;
  /** Optional: the replicas known on this daemon to have crashed while running a fingerprint. */
  std::function<std::vector<std::string>(std::uint64_t aFingerprint)> crashedReplicas;
  /** Optional: one-way time to another VM. */
  OneWayLatency oneWayLatency;
};

/** Reserves and bounds of a query engine. */
struct QuerySettings
{
  /** The failure domain of the asker. */
  std::string failureDomain;
  /** Kept back from the deadline for the merge and the answer. */
  core::Duration mergeReserve = std::chrono::milliseconds{ 2 };
  /** Kept back from a part's deadline for the way back from its owner. */
  core::Duration returnReserve = std::chrono::milliseconds{ 1 };
  /** Hedges start after this while too few latencies are known. */
  core::Duration firstHedgeDelay = std::chrono::milliseconds{ 50 };
  std::size_t safeFingerprints = 100'000;
  core::Duration keepSafeFingerprint = std::chrono::minutes{ 10 };
};

} // namespace skylarkwing::query
