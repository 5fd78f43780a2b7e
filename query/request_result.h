#pragma once

#include "core/timer_service.h"
#include "net/http_message.h"

#include <cstddef>
#include <functional>
#include <optional>
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
  /** Another daemon has served it; its response is relayed. */
  Forwarded,
};

/** @return the name of an outcome, for logs and metric labels. */
std::string_view
NameOf(RequestOutcome aOutcome);

/** Result of a forwarded request. */
struct RequestResult
{
  RequestOutcome outcome = RequestOutcome::Failed;
  /** The relayed response of a replica or of another daemon. */
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
  /** Whether an attempt has found no way to its replica, or got no answer. */
  bool isUnreachable = false;
  /** When the first of those attempts was sent that a replica may have run; nothing if none was. */
  std::optional<core::TimePoint> firstRunAt;
};

/** Receives the result of a request, exactly once. */
using RequestCallback = std::function<void(RequestResult)>;

} // namespace skylarkwing::query
