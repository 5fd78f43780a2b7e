#include "upstream/upstream_connection.h"

#include "core/name_table.h"
#include "net/http_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace skylarkwing::upstream {

namespace {

using nlohmann::json;

constexpr core::NameTable<UpstreamState, 3> kStateNames{ { "cold", "warm", "draining" } };
constexpr core::NameTable<ShedReason, 5> kShedNames{
  { "overloaded", "cold", "draining", "wrong_snapshot", "deadline" }
};
constexpr core::NameTable<ExchangeError, 5> kErrorNames{
  { "none", "nothing_sent", "broken", "timed_out", "malformed" }
};

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusShed = 503;
constexpr unsigned kStatusEnded = 504;

ExchangeError
ErrorOf(net::HttpClientError aError)
{
  switch (aError) {
    case net::HttpClientError::None:
      return ExchangeError::None;
    case net::HttpClientError::ConnectFailed:
    case net::HttpClientError::NothingSent:
    case net::HttpClientError::InvalidRequest:
      return ExchangeError::NothingSent;
    case net::HttpClientError::Broken:
      return ExchangeError::Broken;
    case net::HttpClientError::TimedOut:
      return ExchangeError::TimedOut;
    case net::HttpClientError::Malformed:
    case net::HttpClientError::NotEnoughMemory:
      return ExchangeError::Malformed;
  }
  return ExchangeError::Malformed;
}

std::string
TextOf(const json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  if (it == aObject.end() || !it->is_string()) {
    return {};
  }
  return it->get<std::string>();
}

std::uint64_t
NumberOf(const json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  if (it == aObject.end() || !it->is_number_unsigned()) {
    return 0;
  }
  return it->get<std::uint64_t>();
}

bool
FlagOf(const json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_boolean() && it->get<bool>();
}

const json&
ListOf(const json& aObject, const char* aName)
{
  static const json kEmpty = json::array();
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_array() ? *it : kEmpty;
}

UpstreamState
StateOf(const net::HttpResponse& aResponse)
{
  const std::optional<std::string> name = aResponse.Header("Upstream-State");
  if (!name) {
    return UpstreamState::Cold;
  }
  // An unknown state is treated as Cold, which has the lowest limit.
  return kStateNames.ValueOf(*name).value_or(UpstreamState::Cold);
}

ProcessNotice
NoticeOf(const net::HttpResult& aHttp)
{
  ProcessNotice notice;
  if (aHttp.error != net::HttpClientError::None) {
    return notice;
  }
  notice.incarnation = aHttp.response.Header("Upstream-Incarnation").value_or("");
  if (aHttp.response.Header("Upstream-State")) {
    notice.state = StateOf(aHttp.response);
  }
  return notice;
}

std::string
BodyOf(const SearchCall& aCall)
{
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(aCall.deadline);
  json body{ { "requestId", aCall.partId },      { "index", aCall.index },
             { "shard", aCall.shard },           { "snapshot", aCall.snapshot },
             { "deadlineMs", deadline.count() }, { "idempotent", aCall.isIdempotent } };
  body["search"] = json::parse(aCall.search, nullptr, false);
  if (body["search"].is_discarded()) {
    body["search"] = json::object();
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<Hit>
HitsOf(const json& aBody)
{
  std::vector<Hit> hits;
  for (const json& item : ListOf(aBody, "hits")) {
    if (!item.is_object()) {
      continue;
    }
    Hit hit;
    hit.id = TextOf(item, "id");
    const auto score = item.find("score");
    hit.score = score != item.end() && score->is_number() ? score->get<double>() : 0.0;
    const auto fields = item.find("fields");
    hit.fields = fields != item.end() ? fields->dump() : "{}";
    hits.push_back(std::move(hit));
  }
  return hits;
}

SearchReply
FailedReply(ExchangeError aError)
{
  SearchReply reply;
  reply.error = aError;
  return reply;
}

void
ReadOutcome(unsigned aStatus, const json& aBody, SearchReply& aReply)
{
  if (aStatus == kStatusOk) {
    aReply.outcome = SearchOutcome::Answered;
    aReply.isComplete = FlagOf(aBody, "complete");
    aReply.hits = HitsOf(aBody);
    return;
  }
  if (aStatus == kStatusShed && TextOf(aBody, "executed") == "no") {
    aReply.outcome = SearchOutcome::Shed;
    aReply.shedReason =
      kShedNames.ValueOf(TextOf(aBody, "reason")).value_or(ShedReason::Overloaded);
    return;
  }
  const bool isEnded = aStatus == kStatusShed || aStatus == kStatusEnded;
  aReply.outcome = isEnded ? SearchOutcome::Ended : SearchOutcome::Failed;
  aReply.wasCancelled = TextOf(aBody, "reason") == "cancelled";
}

SearchReply
ReadSearchReply(const net::HttpResult& aHttp, const std::string& aPartId)
{
  if (aHttp.error != net::HttpClientError::None) {
    return FailedReply(ErrorOf(aHttp.error));
  }
  const json body = json::parse(aHttp.response.body, nullptr, false);
  const unsigned status = aHttp.response.status;
  const bool isError = status != kStatusOk && status != kStatusShed && status != kStatusEnded;
  if (!body.is_object() && !isError) {
    return FailedReply(ExchangeError::Malformed);
  }
  SearchReply reply;
  reply.incarnation = aHttp.response.Header("Upstream-Incarnation").value_or("");
  reply.state = StateOf(aHttp.response);
  reply.partId = TextOf(body, "requestId");
  if (isError && reply.partId.empty()) {
    // An upstream that could not parse the request can't name it.
    reply.partId = aPartId;
  }
  reply.snapshot = NumberOf(body, "snapshot");
  reply.shard = static_cast<std::uint32_t>(NumberOf(body, "shard"));
  ReadOutcome(status, body, reply);
  return reply;
}

SnapshotHolding
ReadHolding(const json& aItem)
{
  SnapshotHolding holding;
  holding.snapshot = NumberOf(aItem, "snapshot");
  holding.shardCount = static_cast<std::uint32_t>(NumberOf(aItem, "shardCount"));
  for (const json& shard : ListOf(aItem, "shards")) {
    if (shard.is_number_unsigned() && shard.get<std::uint64_t>() < holding.shardCount) {
      holding.shards.push_back(shard.get<std::uint32_t>());
    }
  }
  return holding;
}

LoadReply
ReadLoadReply(const net::HttpResult& aHttp)
{
  LoadReply reply;
  reply.error = ErrorOf(aHttp.error);
  if (reply.error != ExchangeError::None) {
    return reply;
  }
  const json body = json::parse(aHttp.response.body, nullptr, false);
  if (aHttp.response.status != kStatusOk || !body.is_object()) {
    reply.error = ExchangeError::Malformed;
    return reply;
  }
  reply.notice = NoticeOf(aHttp);
  reply.incarnation =
    reply.notice.incarnation.empty() ? TextOf(body, "incarnation") : reply.notice.incarnation;
  reply.state = kStateNames.ValueOf(TextOf(body, "state")).value_or(UpstreamState::Cold);
  reply.inFlight = static_cast<std::uint32_t>(NumberOf(body, "inFlight"));
  reply.slots = static_cast<std::uint32_t>(NumberOf(body, "slots"));
  for (const json& item : ListOf(body, "holdings")) {
    if (item.is_object()) {
      reply.holdings.push_back(ReadHolding(item));
    }
  }
  return reply;
}

/** The connection over HTTP that daemons use. */
class HttpUpstreamConnection : public UpstreamConnection
{
public:
  HttpUpstreamConnection(boost::asio::any_io_executor aExecutor, std::string aAddress)
    : mConnection(std::move(aExecutor))
    , mAddress(std::move(aAddress))
  {
  }

  core::Task<bool> Connect(core::Duration aTimeout) override
  {
    return mConnection.Connect(mAddress, aTimeout);
  }

  core::Task<SearchReply> Search(SearchCall aCall, core::Duration aTimeout) override
  {
    net::HttpRequest request = MakeRequest("POST", "/search");
    request.body = BodyOf(aCall);
    const net::HttpResult reply = co_await mConnection.Exchange(std::move(request), aTimeout);
    SearchReply answer = ReadSearchReply(reply, aCall.partId);
    if (answer.error != ExchangeError::None) {
      mConnection.Close();
    }
    co_return answer;
  }

  core::Task<LoadReply> Load(core::Duration aTimeout) override
  {
    net::HttpRequest request = MakeRequest("GET", "/load");
    const net::HttpResult reply = co_await mConnection.Exchange(std::move(request), aTimeout);
    LoadReply answer = ReadLoadReply(reply);
    if (answer.error != ExchangeError::None) {
      mConnection.Close();
    }
    co_return answer;
  }

  core::Task<ProcessNotice> Cancel(std::string aPartId, core::Duration aTimeout) override
  {
    net::HttpRequest request = MakeRequest("POST", "/cancel");
    request.body = json{ { "requestId", aPartId } }.dump();
    const net::HttpResult reply = co_await mConnection.Exchange(std::move(request), aTimeout);
    co_return NoticeOf(reply);
  }

  bool IsOpen() const override { return mConnection.IsOpen(); }

  void Close() override { mConnection.Close(); }

private:
  net::TcpHttpConnection mConnection;
  std::string mAddress;

  net::HttpRequest MakeRequest(std::string aMethod, std::string aTarget) const
  {
    net::HttpRequest request;
    request.method = std::move(aMethod);
    request.target = std::move(aTarget);
    request.headers.push_back({ "Host", mAddress });
    return request;
  }
};

} // namespace

std::string_view
NameOf(UpstreamState aState)
{
  return kStateNames.NameOf(aState);
}

std::string_view
NameOf(ShedReason aReason)
{
  return kShedNames.NameOf(aReason);
}

std::string_view
NameOf(ExchangeError aError)
{
  return kErrorNames.NameOf(aError);
}

ConnectionFactory
MakeHttpConnectionFactory(boost::asio::any_io_executor aExecutor)
{
  return [executor = std::move(aExecutor)](const std::string& aAddress) {
    return std::make_shared<HttpUpstreamConnection>(executor, aAddress);
  };
}

} // namespace skylarkwing::upstream
