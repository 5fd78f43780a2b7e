#pragma once

#include <nng/nng.h>

#include <chrono>
#include <memory>

namespace skylarkwing::net {

/** Longest wait for a socket to close; one that closes does so within a few milliseconds. */
constexpr std::chrono::milliseconds kCloseTimeout{ 250 };

/** Time for messages under way to arrive once nothing asks for them: a round trip on a LAN, and
 * spare. */
constexpr std::chrono::milliseconds kSettleTime{ 10 };

/**
 * Closes a socket without the risk of waiting for ever.
 *
 * In nng 1.5 `nng_close()` never returns when a connection is closed between the head and the body
 * of a message that arrives: the connection is shut, but nng waits for a read that nobody ends. So
 * a thread of its own closes the socket. When it is stuck, the socket's memory is given up.
 *
 * @param aSettle how long to wait first. Nothing may ask for messages any more: then nng reads one
 *                message of each connection and stops reading, which makes closing safe.
 * @param aContext what callbacks of the socket use; kept until no callback can come any more.
 * @return whether the socket is closed; false when nng is stuck.
 */
bool
CloseSocket(nng_socket aSocket,
            std::chrono::milliseconds aSettle,
            std::shared_ptr<const void> aContext);

} // namespace skylarkwing::net
