#include "standin/store_standin.h"

#include "core/task.h"
#include "net/http_server.h"
#include "standin/key_value_state.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <list>
#include <optional>
#include <utility>
#include <vector>

namespace skylarkwing::standin {

namespace {

using nlohmann::json;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcNotFound = 5;
constexpr int kGrpcUnavailable = 14;
/** Time until a call whose response is dropped fails. */
constexpr core::Duration kDroppedResponseDelay = std::chrono::seconds{ 3 };
constexpr std::size_t kMaxBodyBytes = 4UL * 1024 * 1024;
constexpr core::Duration kWatchPollInterval = std::chrono::milliseconds{ 500 };

namespace base64 = boost::beast::detail::base64;

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::string
DecodeBase64(const std::string& aText)
{
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), aText.data(), aText.size()).first);
  return bytes;
}

std::string
ToCamelCase(const std::string& aSnake)
{
  std::string camel;
  for (std::size_t n = 0; n < aSnake.size(); ++n) {
    if (aSnake[n] == '_' && n + 1 < aSnake.size()) {
      ++n;
      camel += static_cast<char>(aSnake[n] - 'a' + 'A');
    } else {
      camel += aSnake[n];
    }
  }
  return camel;
}

/** @return a member by its protobuf or JSON name, as the gateway accepts both; null if absent. */
const json&
Member(const json& aObject, const std::string& aName)
{
  static const json kNull;
  if (!aObject.is_object()) {
    return kNull;
  }
  const auto snake = aObject.find(aName);
  if (snake != aObject.end()) {
    return *snake;
  }
  const auto camel = aObject.find(ToCamelCase(aName));
  return camel == aObject.end() ? kNull : *camel;
}

std::int64_t
IntegerMember(const json& aObject, const std::string& aName)
{
  const json& member = Member(aObject, aName);
  if (member.is_number_integer()) {
    return member.get<std::int64_t>();
  }
  if (!member.is_string()) {
    return 0;
  }
  return std::strtoll(member.get_ref<const std::string&>().c_str(), nullptr, 10);
}

std::string
StringMember(const json& aObject, const std::string& aName)
{
  const json& member = Member(aObject, aName);
  return member.is_string() ? member.get<std::string>() : std::string();
}

KeyRange
ParseRange(const json& aObject)
{
  return { DecodeBase64(StringMember(aObject, "key")),
           DecodeBase64(StringMember(aObject, "range_end")) };
}

/** Adds a 64-bit integer as the gateway writes it: as a string, omitted if it is 0. */
void
AddInteger(json& aObject, const char* aName, std::int64_t aValue)
{
  if (aValue != 0) {
    aObject[aName] = std::to_string(aValue);
  }
}

json
ToJson(const StoredValue& aValue)
{
  json object = { { "key", EncodeBase64(aValue.key) } };
  AddInteger(object, "create_revision", aValue.createRevision);
  AddInteger(object, "mod_revision", aValue.modRevision);
  AddInteger(object, "version", aValue.version);
  if (!aValue.value.empty()) {
    object["value"] = EncodeBase64(aValue.value);
  }
  AddInteger(object, "lease", aValue.lease);
  return object;
}

json
ToJson(const StoredEvent& aEvent)
{
  json object = { { "kv", ToJson(aEvent.value) } };
  if (aEvent.isDelete) {
    object["type"] = "DELETE";
  }
  return object;
}

/** @return whether the comparison of a transaction holds for a value. */
bool
IsSatisfied(const json& aCompare, const StoredValue& aValue)
{
  const std::string target = StringMember(aCompare, "target");
  std::string result = StringMember(aCompare, "result");
  int order = 0;
  if (target == "VALUE") {
    order = aValue.value.compare(DecodeBase64(StringMember(aCompare, "value")));
  } else {
    std::int64_t actual = aValue.version;
    std::string name = "version";
    if (target == "MOD") {
      actual = aValue.modRevision;
      name = "mod_revision";
    } else if (target == "CREATE") {
      actual = aValue.createRevision;
      name = "create_revision";
    } else if (target == "LEASE") {
      actual = aValue.lease;
      name = "lease";
    }
    const std::int64_t wanted = IntegerMember(aCompare, name);
    order = actual < wanted ? -1 : static_cast<int>(actual > wanted);
  }
  if (result == "GREATER") {
    return order > 0;
  }
  if (result == "LESS") {
    return order < 0;
  }
  return result == "NOT_EQUAL" ? order != 0 : order == 0;
}

net::HttpResponse
Respond(const json& aBody)
{
  net::HttpResponse response;
  response.body = aBody.dump();
  return response;
}

net::HttpResponse
Fail(unsigned aStatus, int aCode, const std::string& aMessage)
{
  const json body = { { "error", aMessage }, { "code", aCode }, { "message", aMessage } };
  net::HttpResponse response = Respond(body);
  response.status = aStatus;
  return response;
}

core::Task<net::HttpResponse>
RespondEmpty()
{
  co_return net::HttpResponse{};
}

} // namespace

/** State shared by the tasks of one store. */
struct StoreStandin::State : std::enable_shared_from_this<StoreStandin::State>
{
  using Wakeups = core::Mailbox<bool>;

  State(boost::asio::io_context& aLoop, core::TimerService& aTimers)
    : loop(aLoop)
    , timers(aTimers)
    , values(aTimers)
  {
  }

  boost::asio::io_context& loop;
  core::TimerService& timers;
  KeyValueState values;
  std::unique_ptr<net::HttpServer> server;
  std::string address;
  StoreCalls calls;
  core::Duration delay{};
  std::uint64_t responsesToDrop = 0;
  /** Incremented on every start and whenever all watches are closed; older watches then end. */
  std::uint64_t serverGeneration = 0;
  std::list<std::shared_ptr<Wakeups>> watches;

  bool Listen(const std::string& aAddress);
  void Close();
  void EndWatches();
  void WakeWatches();
  json Header() const;
  core::Task<net::HttpResponse> Handle(std::shared_ptr<State> aSelf, net::HttpRequest aRequest);
  core::Task<net::HttpResponse> DropResponse(net::HttpResponse aResponse);
  net::HttpResponse Dispatch(const std::string& aPath, const json& aBody, bool& aIsWrite);
  net::HttpResponse HandleRange(const json& aBody);
  net::HttpResponse HandleTransaction(const json& aBody, bool& aIsWrite);
  net::HttpResponse HandleLease(const std::string& aPath, const json& aBody, bool& aIsWrite);
  net::HttpResponse HandleTimeToLive(std::int64_t aId);
  json RunRange(const json& aRequest) const;
  std::optional<json> RunOperation(const json& aOperation, bool& aIsWrite);
  net::HttpResponse OpenWatch(const json& aBody);
  core::Task<void> RunWatch(std::shared_ptr<State> aSelf, json aRequest, net::HttpStream& aStream);
  core::Task<bool> SendEvents(net::HttpStream& aStream,
                              const KeyRange& aRange,
                              std::int64_t& aNextRevision);
};

bool
StoreStandin::State::Listen(const std::string& aAddress)
{
  ++serverGeneration;
  net::HttpServerLimits limits;
  limits.bodyBytes = kMaxBodyBytes;
  const std::weak_ptr<State> weak = weak_from_this();
  server = std::make_unique<net::HttpServer>(
    loop, limits, [weak](net::HttpRequest aRequest) -> core::Task<net::HttpResponse> {
      const std::shared_ptr<State> self = weak.lock();
      return self ? self->Handle(self, std::move(aRequest)) : RespondEmpty();
    });
  if (!server->Listen(aAddress)) {
    server.reset();
    return false;
  }
  address = server->Address();
  return true;
}

void
StoreStandin::State::Close()
{
  if (server) {
    server->Close();
    server.reset();
  }
  EndWatches();
}

void
StoreStandin::State::EndWatches()
{
  ++serverGeneration;
  WakeWatches();
}

void
StoreStandin::State::WakeWatches()
{
  for (const auto& watch : watches) {
    watch->Push(true);
  }
}

json
StoreStandin::State::Header() const
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(values.Revision()) },
           { "raft_term", "1" } };
}

core::Task<net::HttpResponse>
StoreStandin::State::Handle([[maybe_unused]] std::shared_ptr<State> aSelf,
                            net::HttpRequest aRequest)
{
  const std::uint64_t generation = serverGeneration;
  if (delay > core::Duration::zero()) {
    co_await core::Sleep(timers, delay);
  }
  if (generation != serverGeneration) {
    ++calls.failed;
    co_return Fail(kStatusUnavailable, kGrpcUnavailable, "etcdserver: not available");
  }
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object()) {
    co_return Fail(kStatusBadRequest, kGrpcInvalidArgument, "invalid JSON");
  }
  bool isWrite = false;
  net::HttpResponse response = Dispatch(aRequest.Path(), body, isWrite);
  if (!isWrite || responsesToDrop == 0) {
    co_return response;
  }
  --responsesToDrop;
  response = co_await DropResponse(std::move(response));
  co_return response;
}

core::Task<net::HttpResponse>
StoreStandin::State::DropResponse(net::HttpResponse aResponse)
{
  ++calls.failed;
  co_await core::Sleep(timers, kDroppedResponseDelay);
  aResponse = Fail(kStatusUnavailable, kGrpcUnavailable, "etcdserver: request timed out");
  co_return aResponse;
}

net::HttpResponse
StoreStandin::State::Dispatch(const std::string& aPath, const json& aBody, bool& aIsWrite)
{
  if (aPath == "/v3/kv/range") {
    return HandleRange(aBody);
  }
  if (aPath == "/v3/kv/txn") {
    return HandleTransaction(aBody, aIsWrite);
  }
  if (aPath.starts_with("/v3/lease/") || aPath.starts_with("/v3/kv/lease/")) {
    return HandleLease(aPath, aBody, aIsWrite);
  }
  if (aPath == "/v3/watch") {
    return OpenWatch(aBody);
  }
  return Fail(kStatusNotFound, kGrpcNotFound, "Not Found");
}

net::HttpResponse
StoreStandin::State::HandleRange(const json& aBody)
{
  ++calls.reads;
  json response = RunRange(aBody);
  response["header"] = Header();
  return Respond(response);
}

json
StoreStandin::State::RunRange(const json& aRequest) const
{
  std::vector<StoredValue> found = values.Range(ParseRange(aRequest));
  json response = json::object();
  AddInteger(response, "count", static_cast<std::int64_t>(found.size()));
  const auto limit = static_cast<std::size_t>(IntegerMember(aRequest, "limit"));
  if (limit != 0 && found.size() > limit) {
    found.resize(limit);
    response["more"] = true;
  }
  for (const StoredValue& value : found) {
    response["kvs"].push_back(ToJson(value));
  }
  return response;
}

net::HttpResponse
StoreStandin::State::HandleTransaction(const json& aBody, bool& aIsWrite)
{
  bool isMet = true;
  for (const json& compare : Member(aBody, "compare")) {
    isMet = isMet && IsSatisfied(compare, values.Get(DecodeBase64(StringMember(compare, "key"))));
  }
  json response = json::object();
  if (isMet) {
    response["succeeded"] = true;
  }
  bool isKnownLease = true;
  values.BeginTransaction();
  for (const json& operation : Member(aBody, isMet ? "success" : "failure")) {
    const std::optional<json> result = RunOperation(operation, aIsWrite);
    isKnownLease = isKnownLease && result.has_value();
    response["responses"].push_back(result.value_or(json::object()));
  }
  values.EndTransaction();
  ++(aIsWrite ? calls.writes : calls.reads);
  if (!isKnownLease) {
    return Fail(kStatusNotFound, kGrpcNotFound, "etcdserver: requested lease not found");
  }
  response["header"] = Header();
  return Respond(response);
}

std::optional<json>
StoreStandin::State::RunOperation(const json& aOperation, bool& aIsWrite)
{
  const json& range = Member(aOperation, "request_range");
  if (range.is_object()) {
    return json{ { "response_range", RunRange(range) } };
  }
  aIsWrite = true;
  const json& put = Member(aOperation, "request_put");
  if (put.is_object()) {
    const bool isKnownLease = values.Put(DecodeBase64(StringMember(put, "key")),
                                         DecodeBase64(StringMember(put, "value")),
                                         IntegerMember(put, "lease"));
    if (!isKnownLease) {
      return std::nullopt;
    }
    return json{ { "response_put", json::object() } };
  }
  json deleted = json::object();
  AddInteger(
    deleted, "deleted", values.Delete(ParseRange(Member(aOperation, "request_delete_range"))));
  return json{ { "response_delete_range", deleted } };
}

net::HttpResponse
StoreStandin::State::HandleLease(const std::string& aPath, const json& aBody, bool& aIsWrite)
{
  const std::int64_t id = IntegerMember(aBody, "ID");
  if (aPath == "/v3/lease/grant") {
    ++calls.leaseGrants;
    aIsWrite = true;
    const std::chrono::seconds timeToLive{ IntegerMember(aBody, "TTL") };
    const std::int64_t granted = values.Grant(id, timeToLive);
    return Respond({ { "header", Header() },
                     { "ID", std::to_string(granted) },
                     { "TTL", std::to_string(timeToLive.count()) } });
  }
  if (aPath == "/v3/lease/keepalive") {
    ++calls.leaseKeepAlives;
    json result = { { "header", Header() }, { "ID", std::to_string(id) } };
    const auto timeToLive = values.KeepAlive(id);
    AddInteger(result, "TTL", timeToLive ? timeToLive->count() : 0);
    return Respond({ { "result", result } });
  }
  if (aPath == "/v3/lease/timetolive") {
    ++calls.reads;
    return HandleTimeToLive(id);
  }
  ++calls.writes;
  aIsWrite = true;
  if (!values.Revoke(id)) {
    return Fail(kStatusNotFound, kGrpcNotFound, "etcdserver: requested lease not found");
  }
  return Respond({ { "header", Header() } });
}

net::HttpResponse
StoreStandin::State::HandleTimeToLive(std::int64_t aId)
{
  constexpr std::int64_t kExpired = -1;
  const auto left = values.TimeLeft(aId);
  json response = { { "header", Header() }, { "ID", std::to_string(aId) } };
  AddInteger(response, "TTL", left ? left->count() : kExpired);
  return Respond(response);
}

net::HttpResponse
StoreStandin::State::OpenWatch(const json& aBody)
{
  ++calls.watches;
  const std::shared_ptr<State> self = shared_from_this();
  net::HttpResponse response;
  response.stream = [self, request = Member(aBody, "create_request")](net::HttpStream& aStream) {
    return self->RunWatch(self, request, aStream);
  };
  return response;
}

core::Task<void>
StoreStandin::State::RunWatch([[maybe_unused]] std::shared_ptr<State> aSelf,
                              json aRequest,
                              net::HttpStream& aStream)
{
  const std::uint64_t generation = serverGeneration;
  const KeyRange range = ParseRange(aRequest);
  std::int64_t next = IntegerMember(aRequest, "start_revision");
  json created = { { "header", Header() }, { "created", true } };
  const bool isCompacted = next != 0 && next <= values.CompactRevision();
  if (isCompacted) {
    created["canceled"] = true;
    AddInteger(created, "compact_revision", values.CompactRevision());
  }
  next = next == 0 ? values.Revision() + 1 : next;
  const json first = { { "result", created } };
  std::string line = first.dump() + "\n";
  bool isOpen = co_await aStream.Write(std::move(line));
  if (isCompacted) {
    co_return;
  }
  const auto wakeups = std::make_shared<Wakeups>(timers);
  const auto it = watches.insert(watches.end(), wakeups);
  while (isOpen && generation == serverGeneration) {
    isOpen = co_await SendEvents(aStream, range, next);
    co_await wakeups->Receive(timers.Now() + kWatchPollInterval);
  }
  watches.erase(it);
}

core::Task<bool>
StoreStandin::State::SendEvents(net::HttpStream& aStream,
                                const KeyRange& aRange,
                                std::int64_t& aNextRevision)
{
  json events = json::array();
  for (const StoredEvent& event : values.EventsFrom(aNextRevision, aRange)) {
    events.push_back(ToJson(event));
  }
  aNextRevision = values.Revision() + 1;
  if (events.empty()) {
    co_return true;
  }
  calls.watchEvents += events.size();
  const json message = { { "result", { { "header", Header() }, { "events", events } } } };
  std::string line = message.dump() + "\n";
  const bool isSent = co_await aStream.Write(std::move(line));
  co_return isSent;
}

StoreStandin::StoreStandin(boost::asio::io_context& aLoop, core::TimerService& aTimers)
  : mState(std::make_shared<State>(aLoop, aTimers))
{
  const std::weak_ptr<State> weak = mState;
  mState->values.SetChangeCallback([weak] {
    const std::shared_ptr<State> self = weak.lock();
    if (self) {
      self->WakeWatches();
    }
  });
}

StoreStandin::~StoreStandin()
{
  mState->Close();
}

bool
StoreStandin::Start(const std::string& aAddress)
{
  return mState->Listen(aAddress);
}

const std::string&
StoreStandin::Address() const
{
  return mState->address;
}

void
StoreStandin::SetDown(bool aIsDown)
{
  if (aIsDown) {
    mState->Close();
    return;
  }
  if (!mState->server) {
    mState->Listen(mState->address);
  }
}

void
StoreStandin::SetDelay(core::Duration aDelay)
{
  mState->delay = aDelay;
}

void
StoreStandin::DropResponses(std::uint64_t aCount)
{
  mState->responsesToDrop = aCount;
}

std::string
StoreStandin::Get(const std::string& aKey) const
{
  return mState->values.Get(aKey).value;
}

void
StoreStandin::Put(const std::string& aKey, const std::string& aValue)
{
  mState->values.BeginTransaction();
  mState->values.Put(aKey, aValue, 0);
  mState->values.EndTransaction();
}

void
StoreStandin::Compact()
{
  mState->values.Compact(mState->values.Revision());
}

void
StoreStandin::CloseWatches()
{
  mState->EndWatches();
}

const StoreCalls&
StoreStandin::Calls() const
{
  return mState->calls;
}

std::uint64_t
StoreStandin::OpenWatches() const
{
  return mState->watches.size();
}

} // namespace skylarkwing::standin
