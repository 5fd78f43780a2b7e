#pragma once

#include "core/timer_service.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::caller {

/** What one daemon tells another with a caller's request that it forwards. */
struct ForwardTerms
{
  /** VM of the daemon that got the request from its caller. */
  std::string origin;
  /** Version of the routing table there; an older one must not serve the request. */
  std::uint64_t version = 0;
  /** Time from the request's arrival there to its arrival at the other daemon. */
  core::Duration age{};
  /** Whether an attempt may have reached a replica, so that further ones need the retry budget. */
  bool isRepeat = false;
  /** Failure domains that are out of service, as far as is known there. */
  std::vector<std::string> domainsOut;
};

/** What the response of the other daemon means. */
enum class ForwardVerdict
{
  /** The response is for the caller. */
  Final,
  /** The request was not run there; another daemon may serve it. */
  NotRun,
  /** The request may have run there, and its answer can't arrive. */
  Lost,
};

/** @return the name of a verdict, for the protocol, logs and metric labels. */
std::string_view
NameOf(ForwardVerdict aVerdict);

/** The verdict and the reason for it. */
struct ForwardOutcome
{
  ForwardVerdict verdict = ForwardVerdict::Final;
  std::string reason;
};

/** Adds the terms to a request; replaces those that it has. */
void
AddForwardTerms(net::HttpRequest& aRequest, const ForwardTerms& aTerms);

/** Removes the terms from a request. @return them, nothing when they are missing or unreadable. */
std::optional<ForwardTerms>
TakeForwardTerms(net::HttpRequest& aRequest);

/** @return whether a request was forwarded by a daemon. */
bool
IsForwarded(const net::HttpRequest& aRequest);

void
AddForwardOutcome(net::HttpResponse& aResponse, const ForwardOutcome& aOutcome);

/**
 * Removes the outcome from a response, and the headers that concern one connection.
 *
 * @return the outcome, nothing when the other daemon doesn't know this protocol.
 */
std::optional<ForwardOutcome>
TakeForwardOutcome(net::HttpResponse& aResponse);

} // namespace skylarkwing::caller
