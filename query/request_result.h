#pragma once

#include "core/timer_service.h"
#include "net/http_message.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::query {

/** Outcome of a forwarded request. */
enum class RequestOutcome
{
  /** The answer covers all shards. */
  Complete,
  /** The answer lacks some shards. */
  Partial,
  /** The response of a replica is relayed. */
  Relayed,
  /** Nothing ran or will run. */
  NotRun,
  /** No answer, but the request may have run. */
  Failed,
  /** No answer before the deadline; the request may have run. */
  TimedOut,
  /** The caller disconnected. */
  CallerGone,
};

/** @return the name of an outcome, for logs and metric labels. */
std::string_view
NameOf(RequestOutcome aOutcome);

/** Result of a forwarded request. */
struct RequestResult
{
  RequestOutcome outcome = RequestOutcome::Failed;
  /** The relayed response of a replica. */
  net::HttpResponse response;
  /** For a query over shards: the signatures of the merged answers. */
  std::vector<std::string> signatures;
  std::size_t missingShards = 0;
  /** For a query over shards: the merged records. */
  std::string records;
  /** Delay before a caller without an answer may retry. */
  core::Duration retryAfter{};
  /** Why shards are missing, for the log. */
  std::string reason;
  /** Number of attempts sent to replicas. */
  std::size_t attempts = 0;
};

/** Receives the result of a request, exactly once. */
using RequestCallback = std::function<void(RequestResult)>;

} // namespace skylarkwing::query
