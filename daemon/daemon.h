#pragma once

#include "core/task.h"
#include "declaration/declaration.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylarkwing::daemon {

/** Options of a daemon besides its settings. */
struct DaemonOptions
{
  /** @return whether messages may be sent to a VM; experiments use it to simulate network
   * partitions. */
  std::function<bool(const std::string& aVm)> sendFilter;
};

/** Counts that experiments compare with the results of callers. */
struct DaemonCounts
{
  std::uint64_t generation = 0;
  std::size_t runningQueries = 0;
};

/**
 * The process of an entry VM: all components, connected to each other. Its phases are Setup(),
 * Start(), running the event loop, Stop() and Cleanup().
 *
 * Not thread-safe: all calls must be made on the event loop's thread.
 */
class Daemon
{
public:
  /** @param aLoop event loop that runs everything; it must outlive the daemon. */
  Daemon(boost::asio::io_context& aLoop, settings::Settings aSettings, DaemonOptions aOptions = {});
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /**
   * Binds the addresses.
   *
   * @return false when an address cannot be bound; see LastError().
   */
  bool Setup();

  /** Joins the other daemons and starts to serve. */
  void Start();

  /**
   * Shuts down gracefully: announces that the daemon is leaving, serves until callers no longer use
   * its address, and ends when all work is finished or the grace period is over.
   */
  core::Task<void> Stop();

  /** Closes all sockets immediately. */
  void Cleanup();

  /** @return why Setup() failed. */
  const std::string& LastError() const;

  /** @return the "IP:port" bound for callers. */
  std::string CallerAddress() const;

  /** @return the "IP:port" bound for operators. */
  std::string OperatorAddress() const;

  /** @return the current counts. */
  DaemonCounts Counts() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace skylarkwing::daemon
