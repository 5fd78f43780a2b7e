#pragma once

#include "net/http_client.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>

namespace skylarkwing::console {

/** Why a request to the operators' API failed. */
enum class OperatorClientError
{
  None,
  /** The request had no effect: it was not sent, or it was refused. */
  NotDone,
  /** The request was sent and no complete answer was received; it may have had an effect. */
  Unknown,
};

/** An answer of the operators' API. */
struct OperatorReply
{
  OperatorClientError error = OperatorClientError::None;
  unsigned status = 0;
  nlohmann::json body;
  /** The error in one sentence. */
  std::string reason;
};

/** A blocking command-line client of one daemon's operators' API; one connection per request. */
class OperatorClient
{
public:
  /**
   * @param aServer "IP:port".
   * @param aToken the bearer token.
   */
  OperatorClient(std::string aServer, std::string aToken);

  /** Sends a GET request. */
  OperatorReply Get(const std::string& aTarget);

  /** Sends a POST request with a JSON body. */
  OperatorReply Post(const std::string& aTarget, const nlohmann::json& aBody);

private:
  std::string mServer;
  std::string mToken;
  boost::asio::io_context mLoop;

  OperatorReply Run(net::HttpRequest aRequest);
  core::Task<void> Exchange(net::HttpRequest aRequest, OperatorReply& aReply);
};

} // namespace skylarkwing::console
