#include "console/operator_client.h"

#include <chrono>
#include <utility>

namespace skylarkwing::console {

namespace {

constexpr core::Duration kConnectTimeout = std::chrono::seconds{ 3 };
/** Longer than the timeout of a daemon for the store. */
constexpr core::Duration kResponseTimeout = std::chrono::seconds{ 20 };

void
Fail(OperatorReply& aReply, OperatorClientError aError, std::string aReason)
{
  aReply.error = aError;
  aReply.reason = std::move(aReason);
}

void
ParseReply(OperatorReply& aReply, const net::HttpResult& aHttpReply)
{
  if (aHttpReply.error == net::HttpClientError::NothingSent) {
    Fail(aReply, OperatorClientError::NotDone, "the daemon closed the connection");
    return;
  }
  if (aHttpReply.error != net::HttpClientError::None) {
    const std::string name(net::NameOf(aHttpReply.error));
    Fail(aReply, OperatorClientError::Unknown, "no answer came: " + name);
    return;
  }
  aReply.status = aHttpReply.response.status;
  aReply.body = nlohmann::json::parse(aHttpReply.response.body, nullptr, false);
  if (aReply.body.is_discarded()) {
    Fail(aReply, OperatorClientError::Unknown, "the answer is not JSON");
    return;
  }
  const bool isRefusal = aReply.status >= 400 && !aReply.body.contains("outcome");
  if (isRefusal) {
    Fail(aReply,
         OperatorClientError::NotDone,
         aReply.body.is_object() ? aReply.body.value("reason", "refused") : "refused");
  }
}

} // namespace

OperatorClient::OperatorClient(std::string aServer, std::string aToken)
  : mServer(std::move(aServer))
  , mToken(std::move(aToken))
{
}

OperatorReply
OperatorClient::Get(const std::string& aTarget)
{
  net::HttpRequest request;
  request.target = aTarget;
  return Run(std::move(request));
}

OperatorReply
OperatorClient::Post(const std::string& aTarget, const nlohmann::json& aBody)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = aTarget;
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body = aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Run(std::move(request));
}

OperatorReply
OperatorClient::Run(net::HttpRequest aRequest)
{
  aRequest.headers.push_back({ "Authorization", "Bearer " + mToken });
  OperatorReply reply;
  core::Start(mLoop.get_executor(), Exchange(std::move(aRequest), reply));
  mLoop.restart();
  mLoop.run();
  return reply;
}

core::Task<void>
OperatorClient::Exchange(net::HttpRequest aRequest, OperatorReply& aReply)
{
  net::TcpHttpConnection connection(mLoop.get_executor());
  const bool isOpen = co_await connection.Connect(mServer, kConnectTimeout);
  if (!isOpen) {
    Fail(aReply, OperatorClientError::NotDone, "cannot connect to " + mServer);
    co_return;
  }
  const net::HttpResult reply = co_await connection.Exchange(std::move(aRequest), kResponseTimeout);
  ParseReply(aReply, reply);
}

} // namespace skylarkwing::console
