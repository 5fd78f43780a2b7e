#pragma once

#include "console/change_service.h"
#include "console/console_hooks.h"
#include "console/operator_access.h"
#include "core/metrics.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "net/http_message.h"

#include <memory>

namespace skylarkwing::console {

/**
 * The HTTP interface for operators: status, events, configuration, history, burn and quarantine.
 *
 * Not thread-safe: one instance belongs to one event loop. Requests may outlive the instance.
 */
class OperatorApi
{
public:
  OperatorApi(core::TimerService& aTimers,
              core::Metrics& aMetrics,
              OperatorTokens aTokens,
              ConsoleHooks aHooks);
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;
  ~OperatorApi();

  /** Handles one request; to be passed to net::HttpServer as its handler. */
  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);

  /** Ends every event stream, so that shutdown does not wait for screens. */
  void Stop();

private:
  struct State;
  class Requests;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::console
