#pragma once

#include "net/http_message.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkwing::caller {

/** Kinds of messages between caller fronts. */
constexpr std::string_view kHomeRequestKind = "home-request";
constexpr std::string_view kHomeReplyKind = "home-reply";

/** A request that came to another daemon than its home. */
struct HomeRequest
{
  std::string forwardId;
  std::string identity;
  std::string index;
  std::string profile;
  std::string search;
  /** Time until the caller's deadline when the message was sent. */
  std::int64_t remainingMicroseconds = 0;
};

/** What the home has to say to a request. */
struct HomeReply
{
  std::string forwardId;
  unsigned status = 0;
  std::string body;
  /** Value of Retry-After; empty for none. */
  std::string retryAfter;
};

/** @return the message as JSON. */
nlohmann::json
ToJson(const HomeRequest& aRequest);

/** @return the message as JSON. */
nlohmann::json
ToJson(const HomeReply& aReply);

/** @return the request, or nothing when the message is not one. */
std::optional<HomeRequest>
ParseHomeRequest(const nlohmann::json& aBody);

/** @return the reply, or nothing when the message is not one. */
std::optional<HomeReply>
ParseHomeReply(const nlohmann::json& aBody);

} // namespace skylarkwing::caller
