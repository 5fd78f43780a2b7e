#include "caller/home_messages.h"

#include <nlohmann/json.hpp>

namespace skylarkwing::caller {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HomeRequest,
                                   forwardId,
                                   identity,
                                   index,
                                   profile,
                                   search,
                                   remainingMicroseconds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HomeReply, forwardId, status, body, retryAfter)

namespace {

template<typename Message>
std::optional<Message>
Parse(const nlohmann::json& aBody)
{
  try {
    return aBody.get<Message>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace

nlohmann::json
ToJson(const HomeRequest& aRequest)
{
  return aRequest;
}

nlohmann::json
ToJson(const HomeReply& aReply)
{
  return aReply;
}

std::optional<HomeRequest>
ParseHomeRequest(const nlohmann::json& aBody)
{
  return Parse<HomeRequest>(aBody);
}

std::optional<HomeReply>
ParseHomeReply(const nlohmann::json& aBody)
{
  return Parse<HomeReply>(aBody);
}

} // namespace skylarkwing::caller
