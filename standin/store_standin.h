#pragma once

#include "core/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace skylarkwing::standin {

/** Number of calls that the store received, by kind. */
struct StoreCalls
{
  /** Range requests, read-only transactions and lease time queries. */
  std::uint64_t reads = 0;
  /** Transactions that write, and lease revocations. */
  std::uint64_t writes = 0;
  std::uint64_t leaseGrants = 0;
  std::uint64_t leaseKeepAlives = 0;
  /** Watches that were opened. */
  std::uint64_t watches = 0;
  /** Events delivered to watches. */
  std::uint64_t watchEvents = 0;
  /** Calls interrupted by an outage, and calls whose response was dropped. */
  std::uint64_t failed = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreCalls,
                                   reads,
                                   writes,
                                   leaseGrants,
                                   leaseKeepAlives,
                                   watches,
                                   watchEvents,
                                   failed)

/**
 * In-memory store with the JSON gateway of etcd v3: ranges, transactions, leases, watches and
 * compaction. Faults can be injected while it runs.
 *
 * Like the real gateway, it omits fields that are zero, false or empty, and writes 64-bit integers
 * as strings. Call it only on the thread of its event loop.
 */
class StoreStandin
{
public:
  StoreStandin(boost::asio::io_context& aLoop, core::TimerService& aTimers);
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;
  ~StoreStandin();

  /** Listens on "IP:port"; port 0 picks a free one. @return false if it cannot be bound. */
  bool Start(const std::string& aAddress = "127.0.0.1:0");

  /** @return the bound "IP:port"; it stays the same across outages. */
  const std::string& Address() const;

  /** Closes the listener and every connection, or listens again with the stored data intact. */
  void SetDown(bool aIsDown);

  /** Delays the execution of every call. */
  void SetDelay(core::Duration aDelay);

  /**
   * Applies the next writes but drops their responses: each of these calls fails after 3 s.
   *
   * @param aCount number of writes.
   */
  void DropResponses(std::uint64_t aCount);

  /** @return the stored value of a key, without counting a call. */
  std::string Get(const std::string& aKey) const;

  /** Writes a key as another client would, without counting a call. */
  void Put(const std::string& aKey, const std::string& aValue);

  /** Compacts the history up to the current revision, so that older watches cannot resume. */
  void Compact();

  /** Closes every open watch. */
  void CloseWatches();

  /** @return the call counts so far. */
  const StoreCalls& Calls() const;

  /** @return the number of open watches. */
  std::uint64_t OpenWatches() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::standin
