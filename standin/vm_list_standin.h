#pragma once

#include "core/timer_service.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::standin {

/** One entry of the platform's VM list. */
struct VmListEntry
{
  std::string vm;
  std::string failureDomain;
  std::string region;
  std::string callerAddress;
  std::string peerAddress;
  bool isLeaving = false;
};

/**
 * The platform's VM list; it reports each change only after a lag. Call it only on the thread of
 * its event loop.
 */
class VmListStandin
{
public:
  VmListStandin(boost::asio::io_context& aLoop, core::TimerService& aTimers, core::Duration aLag);
  VmListStandin(const VmListStandin&) = delete;
  VmListStandin& operator=(const VmListStandin&) = delete;
  ~VmListStandin();

  /** Listens on "IP:port"; port 0 picks a free one. @return false if it cannot be bound. */
  bool Start(const std::string& aAddress = "127.0.0.1:0");

  /** @return the bound "IP:port". */
  const std::string& Address() const;

  /** Replaces the list. The change is reported after the lag, the first list immediately. */
  void Set(const std::vector<VmListEntry>& aEntries);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::standin
