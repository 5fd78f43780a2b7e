#pragma once

#include <boost/asio/io_context.hpp>

#include <string_view>

namespace skylarkwing {

/** Makes the allocator return large blocks to the system when they are freed. */
void
LimitAllocator();

/**
 * Runs an event loop until it is stopped. An exception ends only the handler that it escapes from.
 *
 * @param aComponent component that the log names.
 */
void
RunEventLoop(boost::asio::io_context& aLoop, std::string_view aComponent);

} // namespace skylarkwing
