#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "upstream/part.h"
#include "upstream/replica_status.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::upstream {

/** The state that an upstream reports in an answer. */
enum class UpstreamState
{
  Cold,
  Warm,
  Draining,
};

/** @return the name of a state, as upstreams spell it. */
std::string_view
NameOf(UpstreamState aState);

/** Why an upstream did not run a search. */
enum class ShedReason
{
  Overloaded,
  Cold,
  Draining,
  WrongSnapshot,
  Deadline,
};

/** @return the name of a reason, as upstreams spell it. */
std::string_view
NameOf(ShedReason aReason);

/** How an exchange with an upstream ended, below the level of its answer. */
enum class ExchangeError
{
  None,
  /** Not a byte of the request was written. */
  NothingSent,
  /** The connection ended after bytes were written. */
  Broken,
  /** No whole answer came in time. */
  TimedOut,
  /** The answer was invalid. */
  Malformed,
};

/** @return the name of an error, for metric labels. */
std::string_view
NameOf(ExchangeError aError);

/** One search as it is sent to an upstream. */
struct SearchCall
{
  std::string partId;
  std::string index;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;
  /** Time that the upstream has for it. */
  core::Duration deadline{};
  bool isIdempotent = true;
  /** The search as JSON text. */
  std::string search;
};

/** How an upstream handled a search. */
enum class SearchOutcome
{
  /** It ran, and the hits are here. */
  Answered,
  /** It did not run. */
  Shed,
  /** It ran past its deadline or was cancelled, so it may have run. */
  Ended,
  /** The upstream answered with an error of its own, so it may have run. */
  Failed,
};

/** The result of one search; the fields after the error are valid only without an error. */
struct SearchReply
{
  ExchangeError error = ExchangeError::None;
  /** Identifies the process that answered; empty when it does not say. */
  std::string incarnation;
  UpstreamState state = UpstreamState::Cold;
  SearchOutcome outcome = SearchOutcome::Ended;
  std::string partId;
  std::uint64_t snapshot = 0;
  std::uint32_t shard = 0;
  bool isComplete = false;
  std::vector<Hit> hits;
  ShedReason shedReason = ShedReason::Overloaded;
  bool wasCancelled = false;
};

/**
 * What the process at the other end reports about itself in the header of any answer; it does not
 * lag.
 */
struct ProcessNotice
{
  /** Identifies the process; empty when it does not say. */
  std::string incarnation;
  /** Unset when it does not say. */
  std::optional<UpstreamState> state;
};

/** The report of an upstream's load endpoint. It lags and may be wrong; its notice does not. */
struct LoadReply
{
  ExchangeError error = ExchangeError::None;
  ProcessNotice notice;
  /** Identifies the process at the other end of the connection. */
  std::string incarnation;
  UpstreamState state = UpstreamState::Cold;
  std::uint32_t inFlight = 0;
  std::uint32_t slots = 0;
  std::vector<SnapshotHolding> holdings;
};

/**
 * One connection to an upstream, one exchange at a time.
 *
 * Not thread-safe. A task that runs an exchange must keep the connection alive until it is over.
 */
class UpstreamConnection
{
public:
  UpstreamConnection() = default;
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;
  virtual ~UpstreamConnection() = default;

  /** @return false when the upstream did not accept a connection in time. */
  virtual core::Task<bool> Connect(core::Duration aTimeout) = 0;

  /** Runs one search. After any error the connection is closed. */
  virtual core::Task<SearchReply> Search(SearchCall aCall, core::Duration aTimeout) = 0;

  /** Requests the load endpoint. After any error the connection is closed. */
  virtual core::Task<LoadReply> Load(core::Duration aTimeout) = 0;

  /**
   * Asks the upstream to cancel a search that runs on another connection.
   *
   * @return what its answer says about the process; empty when there was none.
   */
  virtual core::Task<ProcessNotice> Cancel(std::string aPartId, core::Duration aTimeout) = 0;

  /** @return whether another exchange is possible, as far as is known here. */
  virtual bool IsOpen() const = 0;

  /** Closes it; a running exchange ends with Broken. */
  virtual void Close() = 0;
};

/** Makes a connection, not yet connected, to "IP:port". */
using ConnectionFactory = std::function<std::shared_ptr<UpstreamConnection>(const std::string&)>;

/** @return a factory of connections over HTTP. */
ConnectionFactory
MakeHttpConnectionFactory(boost::asio::any_io_executor aExecutor);

} // namespace skylarkwing::upstream
