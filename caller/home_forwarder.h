#pragma once

#include "caller/caller_query.h"
#include "caller/home_messages.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "net/peer_bus.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace skylarkwing::caller {

/**
 * Forwards requests to their home daemons and waits for the replies.
 *
 * Each request is sent only once; if the request or its reply is lost, the outcome is unknown.
 */
class HomeForwarder
{
public:
  using PeerSender = std::function<
    bool(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)>;

  HomeForwarder(core::TimerService& aTimers, core::RandomSource& aRandom, PeerSender aSend);

  /**
   * Sends a request to its home.
   *
   * @param aQuery the request; it has an identity.
   * @param aDeadline time until which to wait for the reply.
   * @param aReserve subtracted from the home's deadline for the transfer of its reply.
   * @return the home's reply, or nothing when none arrived.
   */
  core::Task<std::optional<net::HttpResponse>> Forward(CallerQuery aQuery,
                                                       core::TimePoint aDeadline,
                                                       core::Duration aReserve);

  /** Handles a reply; drops it when no request waits for it or it comes from another VM. */
  void HandleReply(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);

  /** Sends a reply. If it is lost, the outcome is unknown to the forwarding daemon. */
  void Reply(const std::string& aVm, const std::string& aForwardId, net::HttpResponse aResponse);

private:
  using ReplyMailbox = core::Mailbox<net::HttpResponse>;

  struct Pending
  {
    std::string vm;
    std::shared_ptr<ReplyMailbox> replies;
  };

  core::TimerService& mTimers;
  PeerSender mSend;
  std::string mPrefix;
  std::uint64_t mLastForward = 0;
  std::unordered_map<std::string, Pending> mPending;
};

} // namespace skylarkwing::caller
