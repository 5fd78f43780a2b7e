#include "store/tests/fake_store.h"

#include "store/base64.h"

#include <functional>
#include <utility>

namespace skylarkwing::store {

namespace {

using nlohmann::json;

constexpr unsigned kNotFound = 404;

std::int64_t
Integer(const json& aObject, const char* aName)
{
  return aObject.contains(aName) ? std::stoll(aObject[aName].get<std::string>()) : 0;
}

std::string
Bytes(const json& aObject, const char* aName)
{
  return aObject.contains(aName) ? DecodeBase64(aObject[aName].get<std::string>()).value()
                                 : std::string();
}

bool
IsWrite(const std::string& aTarget)
{
  return aTarget == "/v3/kv/txn" || aTarget == "/v3/lease/grant";
}

} // namespace

StoreEndpoint
FakeStore::Endpoint()
{
  StoreEndpoint endpoint;
  endpoint.name = "fake";
  endpoint.exchange = [this](net::HttpRequest aRequest, core::Duration aTimeout) {
    return Exchange(std::move(aRequest), aTimeout);
  };
  endpoint.openStream = [this](net::HttpRequest aRequest, core::Duration aTimeout) {
    return Open(std::move(aRequest), aTimeout);
  };
  return endpoint;
}

void
FakeStore::PutValue(const std::string& aKey, const std::string& aValue, LeaseId aLease)
{
  revision += mIsInTransaction ? 0 : 1;
  KeyValue& value = mValues[aKey];
  value.key = aKey;
  value.value = aValue;
  value.createRevision = value.createRevision == 0 ? revision : value.createRevision;
  value.modRevision = revision;
  value.lease = aLease;
  Notify(value);
}

void
FakeStore::Erase(const std::string& aKey)
{
  if (mValues.erase(aKey) == 0) {
    return;
  }
  revision += mIsInTransaction ? 0 : 1;
  KeyValue gone;
  gone.key = aKey;
  gone.modRevision = revision;
  Notify(gone);
}

const KeyValue*
FakeStore::Find(const std::string& aKey)
{
  ExpireLeases();
  const auto it = mValues.find(aKey);
  return it == mValues.end() ? nullptr : &it->second;
}

void
FakeStore::CloseWatches(bool aIsCompacting)
{
  for (const Watcher& watcher : mWatchers) {
    watcher.lines->Push(std::string());
  }
  mWatchers.clear();
  if (aIsCompacting) {
    mCompacted = revision;
    mEvents.clear();
  }
}

void
FakeStore::Restore(Revision aRevision)
{
  CloseWatches(false);
  mValues.clear();
  mEvents.clear();
  mCompacted = 0;
  ++cluster;
  revision = aRevision;
}

int
FakeStore::Calls() const
{
  int sum = 0;
  for (const auto& [target, count] : calls) {
    sum += count;
  }
  return sum;
}

core::Task<net::HttpResult>
FakeStore::Exchange(net::HttpRequest aRequest, core::Duration aTimeout)
{
  ++calls[aRequest.target];
  const core::TimePoint deadline = mTimers.Now() + aTimeout;
  const bool isWrite = IsWrite(aRequest.target);
  net::HttpResult reply;
  if (isDown) {
    reply.error = net::HttpClientError::ConnectFailed;
    co_return reply;
  }
  const bool isTooSlow = delay >= aTimeout;
  const bool isWriteLost = !isTooSlow && isWrite && writesToLose > 0;
  writesToLose -= isWriteLost ? 1 : 0;
  bool isLost = isTooSlow || isWriteLost;
  if (!isLost) {
    co_await core::Sleep(mTimers, delay);
    const json body = json::parse(aRequest.body);
    reply.response.body = Handle(aRequest.target, body, reply.response.status).dump();
    co_await core::Sleep(mTimers, answerDelay);
    isLost = isWrite && answersToLose > 0;
    answersToLose -= isLost ? 1 : 0;
  }
  if (isLost) {
    co_await core::Sleep(mTimers, deadline - mTimers.Now());
    reply.error = net::HttpClientError::TimedOut;
    reply.response.body.clear();
  }
  co_return reply;
}

core::Task<StreamReply>
FakeStore::Open(net::HttpRequest aRequest, core::Duration)
{
  ++calls[aRequest.target];
  StreamReply result;
  if (isDown) {
    result.reply.error = net::HttpClientError::ConnectFailed;
    co_return result;
  }
  const json request = json::parse(aRequest.body)["create_request"];
  const Revision start = Integer(request, "start_revision");
  const auto lines = std::make_shared<Lines>(mTimers);
  json created{ { "header", Header() }, { "created", true } };
  if (start <= mCompacted) {
    created["canceled"] = true;
    created["compact_revision"] = std::to_string(mCompacted);
  }
  const json envelope{ { "result", created } };
  lines->Push(envelope.dump() + "\n");
  const std::string key = Bytes(request, "key");
  for (auto it = mEvents.lower_bound(start); it != mEvents.end(); ++it) {
    if (it->second.key == key) {
      lines->Push(EventLine(Header(), it->second));
    }
  }
  mWatchers.push_back({ key, start, lines });
  // A waiting coroutine is owned by its mailbox, so that it must not own the mailbox in turn.
  mLines.push_back(lines);
  result.readNext = [this, waiting = lines.get()](core::Duration aTimeout) {
    return ReadLine(*waiting, mTimers.Now() + aTimeout);
  };
  co_return result;
}

core::Task<std::optional<std::string>>
FakeStore::ReadLine(Lines& aLines, core::TimePoint aUntil)
{
  std::optional<std::string> line = co_await aLines.Receive(aUntil);
  if (line && line->empty()) {
    line.reset();
  }
  co_return line;
}

json
FakeStore::Handle(const std::string& aTarget, const json& aBody, unsigned& aStatus)
{
  ExpireLeases();
  if (aTarget == "/v3/kv/range") {
    json answer = Range(aBody);
    answer["header"] = Header();
    return answer;
  }
  if (aTarget == "/v3/kv/txn") {
    return HandleTransaction(aBody, aStatus);
  }
  return HandleLease(aTarget, aBody);
}

json
FakeStore::HandleTransaction(const json& aBody, unsigned& aStatus)
{
  if (beforeTransaction) {
    const auto race = std::exchange(beforeTransaction, nullptr);
    race();
  }
  bool isMet = true;
  for (const json& compare : aBody["compare"]) {
    const auto it = mValues.find(Bytes(compare, "key"));
    const KeyValue value = it == mValues.end() ? KeyValue{} : it->second;
    const bool isCreate = compare["target"] == "CREATE";
    const Revision wanted = Integer(compare, isCreate ? "create_revision" : "mod_revision");
    isMet = isMet && wanted == (isCreate ? value.createRevision : value.modRevision);
  }
  // All writes of a transaction have the same revision.
  revision += isMet ? 1 : 0;
  mIsInTransaction = true;
  json responses = json::array();
  for (const json& operation : aBody[isMet ? "success" : "failure"]) {
    if (operation.contains("request_range")) {
      responses.push_back({ { "response_range", Range(operation["request_range"]) } });
      continue;
    }
    if (operation.contains("request_delete_range")) {
      Erase(Bytes(operation["request_delete_range"], "key"));
      continue;
    }
    const json& put = operation["request_put"];
    const LeaseId lease = Integer(put, "lease");
    if (lease != 0 && mLeases.count(lease) == 0) {
      aStatus = kNotFound;
      mIsInTransaction = false;
      return { { "error", "etcdserver: requested lease not found" }, { "code", 5 } };
    }
    PutValue(Bytes(put, "key"), Bytes(put, "value"), lease);
  }
  mIsInTransaction = false;
  json answer{ { "header", Header() }, { "responses", std::move(responses) } };
  if (isMet) {
    answer["succeeded"] = true;
  }
  return answer;
}

json
FakeStore::HandleLease(const std::string& aTarget, const json& aBody)
{
  if (aTarget == "/v3/lease/grant") {
    const std::chrono::seconds timeToLive{ Integer(aBody, "TTL") };
    mLeases[++mLastLease] = { timeToLive, mTimers.Now() + timeToLive };
    return { { "header", Header() },
             { "ID", std::to_string(mLastLease) },
             { "TTL", std::to_string(timeToLive.count()) } };
  }
  const LeaseId id = Integer(aBody, "ID");
  json result{ { "header", Header() }, { "ID", std::to_string(id) } };
  const auto it = mLeases.find(id);
  if (aTarget == "/v3/lease/revoke") {
    if (it != mLeases.end()) {
      it->second.expiresAt = mTimers.Now();
      ExpireLeases();
    }
    return { { "header", Header() } };
  }
  if (it != mLeases.end()) {
    it->second.expiresAt = mTimers.Now() + it->second.timeToLive;
    result["TTL"] = std::to_string(it->second.timeToLive.count());
  }
  return { { "result", result } };
}

json
FakeStore::Range(const json& aRequest) const
{
  json answer = json::object();
  const bool isKeysOnly = aRequest.value("keys_only", false);
  const auto it = mValues.find(Bytes(aRequest, "key"));
  if (it != mValues.end()) {
    answer["kvs"].push_back(ToJson(it->second, isKeysOnly));
  }
  return answer;
}

json
FakeStore::Header() const
{
  return { { "cluster_id", std::to_string(cluster) }, { "revision", std::to_string(revision) } };
}

void
FakeStore::ExpireLeases()
{
  for (auto it = mLeases.begin(); it != mLeases.end();) {
    if (it->second.expiresAt > mTimers.Now()) {
      ++it;
      continue;
    }
    const LeaseId lease = it->first;
    it = mLeases.erase(it);
    std::vector<std::string> keys;
    for (const auto& [key, value] : mValues) {
      if (value.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
  }
}

void
FakeStore::Notify(const KeyValue& aValue)
{
  mEvents.emplace(aValue.modRevision, aValue);
  for (const Watcher& watcher : mWatchers) {
    if (watcher.key == aValue.key && aValue.modRevision >= watcher.start) {
      watcher.lines->Push(EventLine(Header(), aValue));
    }
  }
}

json
FakeStore::ToJson(const KeyValue& aValue, bool aIsKeysOnly)
{
  json object{ { "key", EncodeBase64(aValue.key) },
               { "create_revision", std::to_string(aValue.createRevision) },
               { "mod_revision", std::to_string(aValue.modRevision) },
               { "lease", std::to_string(aValue.lease) } };
  if (!aIsKeysOnly) {
    object["value"] = EncodeBase64(aValue.value);
  }
  return object;
}

std::string
FakeStore::EventLine(const json& aHeader, const KeyValue& aValue)
{
  json event{ { "kv", ToJson(aValue, false) } };
  if (aValue.createRevision == 0) {
    event["type"] = "DELETE";
  }
  const json line{ { "result", { { "header", aHeader }, { "events", { event } } } } };
  return line.dump() + "\n";
}

} // namespace skylarkwing::store
