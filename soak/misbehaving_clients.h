#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::soak {

/** Access to the daemons of a run. */
struct MisbehavingClientHooks
{
  std::function<std::size_t()> daemonCount;
  std::function<std::string(std::size_t aDaemon)> addressOf;
};

/**
 * Crowds of clients that stop in the middle of a request, send nothing, or don't read what they
 * asked for. They come to one daemon after another, stay for a while, and close or reset their
 * connections. No request of theirs reaches a replica.
 */
class MisbehavingClients
{
public:
  MisbehavingClients(boost::asio::io_context& aLoop,
                     core::TimerService& aTimers,
                     std::uint64_t aSeed,
                     MisbehavingClientHooks aHooks);

  /** Sends crowds until a point in time. */
  core::Task<void> Run(core::TimePoint aEnd);

  /** @return the number of clients that have come. */
  std::size_t Count() const { return mCount; }

private:
  boost::asio::io_context& mLoop;
  core::TimerService& mTimers;
  core::RandomSource mRandom;
  MisbehavingClientHooks mHooks;
  std::size_t mCount = 0;

  std::string ChooseBytes();
  core::Task<void> RunClient(std::string aAddress,
                             std::shared_ptr<const std::string> aBytes,
                             core::Duration aStay,
                             bool aIsReset);
};

} // namespace skylarkwing::soak
