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

/** What a daemon is given besides its settings. */
struct DaemonOptions
{
  /** Decides which VMs messages may be sent to; lets an experiment cut daemons apart. */
  std::function<bool(const std::string& aVm)> sendFilter;
};

/** Counts of a daemon that an experiment compares with what callers saw. */
struct DaemonCounts
{
  std::uint64_t generation = 0;
  std::size_t runningQueries = 0;
};

/**
 * One entry VM's process: all slices, wired. Its phases are Setup(), Start(), iteration of the
 * event loop, Stop() and Cleanup().
 *
 * Not thread-safe: all calls on the event loop's own thread.
 */
class Daemon
{
public:
  /** @param aLoop the event loop on which everything runs; it must outlive the daemon. */
  Daemon(boost::asio::io_context& aLoop, settings::Settings aSettings, DaemonOptions aOptions = {});
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /**
   * Binds the addresses.
   *
   * @return false when one cannot be bound; LastError() then says which.
   */
  bool Setup();

  /** Joins the other daemons and begins to serve. */
  void Start();

  /**
   * Stops without cutting off a request: announces that it leaves, serves until callers have
   * forgotten its address, and ends when nothing runs any more or the grace time is over.
   */
  core::Task<void> Stop();

  /** Closes everything at once. */
  void Cleanup();

  /** @return why Setup() failed. */
  const std::string& LastError() const;

  /** @return the "IP:port" bound for callers. */
  std::string CallerAddress() const;

  /** @return the "IP:port" bound for operators. */
  std::string OperatorAddress() const;

  /** @return counts as of now. */
  DaemonCounts Counts() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace skylarkwing::daemon
