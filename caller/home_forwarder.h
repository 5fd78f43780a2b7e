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
 * Passes requests on to their home daemons and waits for what those say.
 *
 * Each request is sent once and never again: a request or reply that is lost leaves its outcome
 * unknown.
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
   * @param aUntil when to give up.
   * @param aReserve kept back from the home's time for the way of its reply.
   * @return the home's reply, or nothing when none came.
   */
  core::Task<std::optional<net::HttpResponse>> Forward(CallerQuery aQuery,
                                                       core::TimePoint aUntil,
                                                       core::Duration aReserve);

  /** Takes a reply; one that nobody waits for, or from another VM than was asked, is dropped. */
  void HandleReply(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);

  /** Sends a reply; a lost one leaves the asker with an unknown outcome. */
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
