#include "main/event_loop.h"

#include "core/log.h"

#include <malloc.h>

#include <exception>

namespace skylarkwing {

namespace {

/**
 * Blocks from this size on are mapped on their own, so that the system gets them back when they are
 * freed. Otherwise the allocator keeps freed bodies and answers, and a crowd of slow readers of
 * answers of 3 MB took 91 MB where they were limited to 20 MB.
 */
constexpr int kMappedBlockBytes = 128 * 1024;

} // namespace

void
LimitAllocator()
{
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

void
RunEventLoop(boost::asio::io_context& aLoop, std::string_view aComponent)
{
  while (true) {
    try {
      aLoop.run();
      return;
    } catch (const std::exception& error) {
      core::LogEvent(
        core::LogLevel::Error, aComponent, "handler_failed", { { "error", error.what() } });
    }
  }
}

} // namespace skylarkwing
