#pragma once

#include "core/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace skylarkwing::standin {

/** How many calls of each kind the store took. */
struct StoreCalls
{
  /** Ranges, and transactions that only read. */
  std::uint64_t reads = 0;
  /** Transactions and other calls that may write. */
  std::uint64_t writes = 0;
  std::uint64_t leaseGrants = 0;
  std::uint64_t leaseKeepAlives = 0;
  /** Watches that were opened. */
  std::uint64_t watches = 0;
  /** Events delivered to watches. */
  std::uint64_t watchEvents = 0;
  /** Calls that came while the store was down or had lost their answer. */
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
 * A small store behind the JSON gateway of etcd v3: ranges, transactions, leases, watches and
 * compaction, with faults that can be switched on while it runs.
 *
 * As the real gateway does, it leaves out fields that are zero, false or empty, and writes 64-bit
 * integers as strings. All calls on the loop's own thread.
 */
class StoreStandin
{
public:
  StoreStandin(boost::asio::io_context& aLoop, core::TimerService& aTimers);
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;
  ~StoreStandin();

  /** @return false when "IP:port" cannot be bound; port 0 picks a free one. */
  bool Start(const std::string& aAddress = "127.0.0.1:0");

  /** @return the bound "IP:port"; it stays the same over outages. */
  const std::string& Address() const;

  /** Closes the address and every connection, or opens it again with all that it held. */
  void SetDown(bool aIsDown);

  /** Lets each call wait before it is carried out. */
  void SetDelay(core::Duration aDelay);

  /**
   * Carries out writes and then loses their answer: the call ends without one after a while.
   *
   * @param aCount how many of the next writes.
   */
  void LoseAnswers(std::uint64_t aCount);

  /** @return the value of a key as the store holds it, without a call. */
  std::string Get(const std::string& aKey) const;

  /** Writes a key as another client would, without a call. */
  void Put(const std::string& aKey, const std::string& aValue);

  /** Forgets events up to now, so that older watches cannot be taken up again. */
  void Compact();

  /** Ends every open watch. */
  void CloseWatches();

  /** @return the calls so far. */
  const StoreCalls& Calls() const;

  /** @return how many watches wait now; each counts as one call. */
  std::uint64_t OpenWatches() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::standin
