#pragma once

#include "net/http_message.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkwing::caller {

/** Kinds of messages between caller frontends. */
constexpr std::string_view kHomeRequestKind = "home-request";
constexpr std::string_view kHomeReplyKind = "home-reply";

/** A request that arrived at another daemon and is forwarded to its home. */
struct HomeRequest
{
  std::string forwardId;
  std::string identity;
  std::string index;
  std::string profile;
  std::string search;
  /** Time that the home may take, counted from sending the message. */
  std::int64_t remainingMicroseconds = 0;
};

/** The home's response to a forwarded request. */
struct HomeReply
{
  std::string forwardId;
  unsigned status = 0;
  std::string body;
  /** Value of the Retry-After header; empty if there is none. */
  std::string retryAfter;
};

/** @return the message as JSON. */
nlohmann::json
ToJson(const HomeRequest& aRequest);

/** @return the message as JSON. */
nlohmann::json
ToJson(const HomeReply& aReply);

/** @return the request, or nothing when the message is malformed. */
std::optional<HomeRequest>
ParseHomeRequest(const nlohmann::json& aBody);

/** @return the reply, or nothing when the message is malformed. */
std::optional<HomeReply>
ParseHomeReply(const nlohmann::json& aBody);

} // namespace skylarkwing::caller
