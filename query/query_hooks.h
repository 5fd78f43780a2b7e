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

/** Functions of the daemon that a query engine uses. */
struct QueryHooks
{
  upstream::PartSender sendPart;
  upstream::PartCanceller cancelPart;
  /** @return the current view of an index, nullptr when none is known. */
  std::function<std::shared_ptr<const IndexView>(const std::string& aIndex)> indexView;
  /** Optional. @return the replicas known here to have crashed while running a fingerprint. */
  std::function<std::vector<std::string>(std::uint64_t aFingerprint)> crashedReplicas;
  /** Optional. */
  OneWayLatency oneWayLatency;
};

/** Time reserves and limits of a query engine. */
struct QuerySettings
{
  /** Failure domain of this daemon. */
  std::string failureDomain;
  /** Subtracted from the deadline for merging and writing the answer. */
  core::Duration mergeReserve = std::chrono::milliseconds{ 2 };
  /** Subtracted from a part's deadline for the transfer of its answer. */
  core::Duration returnReserve = std::chrono::milliseconds{ 1 };
  /** Hedge delay while too few latency samples are known. */
  core::Duration defaultHedgeDelay = std::chrono::milliseconds{ 50 };
  std::size_t safeFingerprints = 100'000;
  core::Duration keepSafeFingerprint = std::chrono::minutes{ 10 };
};

} // namespace skylarkwing::query
