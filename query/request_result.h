#pragma once

#include "core/timer_service.h"
#include "net/http_message.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::query {

/** How a forwarded request ended. */
enum class RequestOutcome
{
  /** All shards are in the answer. */
  Complete,
  /** Some shards are missing from the answer. */
  Partial,
  /** A replica's own answer is passed on. */
  Relayed,
  /** Nothing ran and nothing will. */
  NotRun,
  /** It may have run, and there is no answer. */
  Failed,
  /** The time was up before there was an answer; it may have run. */
  TimedOut,
  /** The caller went away. */
  CallerGone,
};

/** @return the name of an outcome, for logs and metric labels. */
std::string_view
NameOf(RequestOutcome aOutcome);

/** What came of a forwarded request. */
struct RequestResult
{
  RequestOutcome outcome = RequestOutcome::Failed;
  /** Of a request to one replica that is passed on. */
  net::HttpResponse response;
  /** Of a query over shards: the signatures of the answers that are in it. */
  std::vector<std::string> signatures;
  std::size_t missingShards = 0;
  /** Of a query over shards: the merged records. */
  std::string records;
  /** When a caller that got no answer may come again. */
  core::Duration retryAfter{};
  /** Why there is no whole answer, for the log. */
  std::string reason;
  /** Attempts that were sent to replicas. */
  std::size_t attempts = 0;
};

/** Receives the result of a request, exactly once. */
using RequestCallback = std::function<void(RequestResult)>;

} // namespace skylarkwing::query
