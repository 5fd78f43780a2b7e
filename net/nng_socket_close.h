#pragma once

#include <nng/nng.h>

#include <chrono>
#include <memory>

namespace skylarkwing::net {

/** Maximum wait for nng_close(), which takes a few milliseconds unless it hangs. */
constexpr std::chrono::milliseconds kCloseTimeout{ 250 };

/** Time for messages in flight to arrive after the last receive call:
 * a LAN round trip plus margin. */
constexpr std::chrono::milliseconds kReceiveSettleTime{ 10 };

/**
 * Closes a socket with a timeout.
 *
 * In nng 1.5 `nng_close()` never returns when a connection is closed between the header and the
 * body of an incoming message: the connection is shut down, but nng waits for a read that never
 * completes. The socket is therefore closed on a separate thread. If that thread hangs, the memory
 * of the socket is leaked.
 *
 * @param aDelay wait before closing. The caller must have stopped receiving: nng then reads at most
 *               one message per connection and stops reading, which makes closing safe.
 * @param aContext object that callbacks of the socket use; kept until no callback can run any more.
 * @return false when nng_close() did not return in time.
 */
bool
CloseSocket(nng_socket aSocket,
            std::chrono::milliseconds aDelay,
            std::shared_ptr<const void> aContext);

} // namespace skylarkwing::net
