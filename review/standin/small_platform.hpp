// Small stand-ins for the review's scripts: the platform's store, replicas, callers, and the
// daemons as processes. One thread for each connection; loopback addresses only.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

inline Clock::time_point&
StartTime()
{
  static Clock::time_point start = Clock::now();
  return start;
}

inline long long
NowMs()
{
  return std::chrono::duration_cast<milliseconds>(Clock::now() - StartTime()).count();
}

inline void
SleepMs(long long aMs)
{
  std::this_thread::sleep_for(milliseconds(aMs));
}

/** The file record.txt: what was sent, answered and run, with milliseconds since the start. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << NowMs() << " ms  " << aText << "\n";
  }
  void Flush()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline std::string
Lower(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

/** A message of HTTP/1.1; header names in lower case. */
struct Message
{
  std::string firstLine;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::optional<std::string> Header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers) {
      if (name == aName) {
        return value;
      }
    }
    return std::nullopt;
  }
  std::string Word(int aIndex) const
  {
    std::istringstream in(firstLine);
    std::string word;
    for (int n = 0; n <= aIndex; ++n) {
      word.clear();
      in >> word;
    }
    return word;
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

/** A blocking connection with a buffer. */
class Socket
{
public:
  explicit Socket(int aFd)
    : mFd(aFd)
  {
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }

  static std::shared_ptr<Socket> Connect(int aPort, int aTimeoutMs = 1000)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    int error = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (error != 0 && errno == EINPROGRESS) {
      pollfd wait{ fd, POLLOUT, 0 };
      socklen_t size = sizeof(error);
      if (poll(&wait, 1, aTimeoutMs) == 1) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      }
    }
    if (error != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, flags);
    return std::make_shared<Socket>(fd);
  }

  bool Write(const std::string& aBytes)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t n = send(mFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  /** @param aUntil when to give up, if set. @return false at the end of the stream. */
  bool Fill(std::optional<Clock::time_point> aUntil = std::nullopt)
  {
    int wait = -1;
    if (aUntil) {
      const auto left = std::chrono::duration_cast<milliseconds>(*aUntil - Clock::now()).count();
      wait = static_cast<int>(std::max<long long>(0, left));
    }
    pollfd readable{ mFd, POLLIN, 0 };
    if (poll(&readable, 1, wait) <= 0) {
      mIsTimedOut = true;
      return false;
    }
    char bytes[16384];
    const ssize_t n = recv(mFd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  std::optional<Message> ReadHead(std::optional<Clock::time_point> aUntil = std::nullopt)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream in(mBuffer.substr(0, end));
    mBuffer.erase(0, end + 4);
    std::getline(in, message.firstLine);
    if (!message.firstLine.empty() && message.firstLine.back() == '\r') {
      message.firstLine.pop_back();
    }
    std::string line;
    while (std::getline(in, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::size_t start = colon + 1;
      while (start < line.size() && line[start] == ' ') {
        ++start;
      }
      message.headers.emplace_back(Lower(line.substr(0, colon)), line.substr(start));
    }
    return message;
  }

  std::optional<Message> Read(std::optional<Clock::time_point> aUntil = std::nullopt)
  {
    auto message = ReadHead(aUntil);
    if (!message) {
      return std::nullopt;
    }
    const std::size_t length =
      static_cast<std::size_t>(std::atoll(message->Header("content-length").value_or("0").c_str()));
    while (mBuffer.size() < length) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    message->body = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return message;
  }

  /** @return whether the peer has closed the connection. */
  bool IsClosedByPeer() const
  {
    char byte = 0;
    const ssize_t n = recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Reset()
  {
    const linger now{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  void Shutdown() { shutdown(mFd, SHUT_RDWR); }
  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }
  bool HasBytes() const { return !mBuffer.empty(); }
  const std::string& Bytes() const { return mBuffer; }
  void Drop(std::size_t aBytes) { mBuffer.erase(0, aBytes); }
  bool IsTimedOut() const { return mIsTimedOut; }

  /** A second copy of an answer that is to come late on this connection. */
  std::string lateCopy;

private:
  int mFd;
  std::string mBuffer;
  bool mIsTimedOut = false;
};

/** @return a free port below those that outgoing connections get, which could take it meanwhile. */
inline int
FreePort()
{
  static std::mt19937 random(std::random_device{}());
  while (true) {
    const int port = 12000 + static_cast<int>(random() % 18000);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (isFree) {
      return port;
    }
  }
}

/** Accepts connections on a free loopback port and serves each in a thread. */
class Listener
{
public:
  using Handler = std::function<void(std::shared_ptr<Socket>)>;

  explicit Listener(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(mFd, 512) != 0) {
      std::cerr << "cannot listen\n";
      std::_Exit(2);
    }
    socklen_t size = sizeof(address);
    getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    std::thread([fd = mFd, handler = mHandler] {
      while (true) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          return;
        }
        std::thread([handler, client] { handler(std::make_shared<Socket>(client)); }).detach();
      }
    }).detach();
  }
  int Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  Handler mHandler;
  int mFd = -1;
  int mPort = 0;
};

inline std::string
Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < aBytes.size(); n += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      value = value << 8U | (n + k < aBytes.size() ? static_cast<unsigned char>(aBytes[n + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += n + k > aBytes.size() ? '=' : kDigits[(value >> (18 - 6 * k)) & 63U];
    }
  }
  return out;
}

inline std::string
UrlDecode(const std::string& aText)
{
  std::string out;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '%' && n + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += aText[n] == '+' ? ' ' : aText[n];
    }
  }
  return out;
}

inline std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  std::istringstream in(aTarget.substr(std::min(aTarget.size(), aTarget.find('?') + 1)));
  std::string part;
  while (std::getline(in, part, '&')) {
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == aName) {
      return equals == std::string::npos ? "" : UrlDecode(part.substr(equals + 1));
    }
  }
  return "";
}

inline std::string
Answer(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  const char* reason = aStatus == 200 ? "OK" : "Other";
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + reason + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** The platform's store: items, watches, transactions and leases, as PROTOCOL.md says. */
class Store
{
public:
  /** Changes an item before it is listed to callers of one port; for views of single daemons. */
  using View = std::function<std::string(int aPort, const std::string& aKey, std::string aValue)>;

  Store()
  {
    std::thread([this] {
      while (true) {
        SleepMs(50);
        ExpireLeases();
      }
    }).detach();
  }

  /** @return the port of a new address of the store. */
  int Open()
  {
    auto port = std::make_shared<int>(0);
    auto listener = std::make_shared<Listener>(
      [this, port](std::shared_ptr<Socket> aSocket) { Serve(std::move(aSocket), *port); });
    *port = listener->Port();
    mListeners.push_back(listener);
    return *port;
  }

  void Put(const std::string& aKey, const std::string& aValue, std::uint64_t aLease = 0)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    PutLocked(aKey, aValue, aLease);
    mChanged.notify_all();
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    RemoveLocked(aKey);
    mChanged.notify_all();
  }
  std::size_t Count(const std::string& aPrefix)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::size_t n = 0;
    for (const auto& [key, item] : mItems) {
      n += key.compare(0, aPrefix.size(), aPrefix) == 0 ? 1 : 0;
    }
    return n;
  }
  void SetView(View aView) { mView = std::move(aView); }
  /** A store that is down hangs: it accepts calls and answers none. */
  void SetDown(bool aIsDown)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsDown = aIsDown;
    mChanged.notify_all();
  }

private:
  struct Item
  {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool isDeleted = false;
  };
  struct Lease
  {
    long long ttlMs = 0;
    Clock::time_point end;
  };

  void PutLocked(const std::string& aKey, const std::string& aValue, std::uint64_t aLease)
  {
    ++mRevision;
    Item& item = mItems[aKey];
    item.created = item.created == 0 ? mRevision : item.created;
    item.key = aKey;
    item.value = aValue;
    item.revision = mRevision;
    item.lease = aLease;
    mEvents.push_back(item);
  }
  void RemoveLocked(const std::string& aKey)
  {
    if (mItems.erase(aKey) > 0) {
      Item gone;
      gone.key = aKey;
      gone.revision = ++mRevision;
      gone.isDeleted = true;
      mEvents.push_back(gone);
    }
  }
  void EndLeaseLocked(std::uint64_t aLease)
  {
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveLocked(key);
    }
    mLeases.erase(aLease);
    mChanged.notify_all();
  }
  void ExpireLeases()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : mLeases) {
      if (!mIsDown && lease.end < Clock::now()) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      EndLeaseLocked(id);
    }
  }
  json ToJson(const Item& aItem, int aPort) const
  {
    if (aItem.isDeleted) {
      return { { "key", aItem.key }, { "mod_revision", aItem.revision }, { "deleted", true } };
    }
    const std::string value = mView ? mView(aPort, aItem.key, aItem.value) : aItem.value;
    return { { "key", aItem.key },
             { "value", Base64(value) },
             { "mod_revision", aItem.revision },
             { "create_rev", aItem.created },
             { "lease", aItem.lease } };
  }

  static std::string FromBase64(const std::string& aText)
  {
    std::string out;
    unsigned value = 0;
    int bits = 0;
    for (const char c : aText) {
      const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
      const char* const at = std::strchr(digits, c);
      if (c == '=' || at == nullptr) {
        break;
      }
      value = value << 6U | static_cast<unsigned>(at - digits);
      bits += 6;
      if (bits >= 8) {
        bits -= 8;
        out += static_cast<char>((value >> bits) & 255U);
      }
    }
    return out;
  }

  void Serve(std::shared_ptr<Socket> aSocket, int aPort)
  {
    while (auto request = aSocket->Read()) {
      auto [status, body] = Handle(*request, aPort);
      if (status == 0) {
        // The store is down: the call hangs until the store is back, and gets no answer.
        aSocket->Reset();
        return;
      }
      const std::string text = body.is_null() ? "{}" : body.dump();
      const std::string headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
      if (!aSocket->Write(Answer(status, headers, text))) {
        return;
      }
    }
  }

  std::pair<int, json> Handle(const Message& aRequest, int aPort)
  {
    const std::string target = aRequest.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock<std::mutex> lock(mMutex);
    if (mIsDown) {
      mChanged.wait(lock, [this] { return !mIsDown; });
      return { 0, nullptr };
    }
    if (path == "/kv-range") {
      const std::string prefix = QueryValue(target, "prefix");
      json items = json::array();
      for (const auto& [key, item] : mItems) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
          items.push_back(ToJson(item, aPort));
        }
      }
      return { 200, { { "items", items }, { "truncated", false }, { "as_of", mRevision } } };
    }
    if (path == "/kv-watch") {
      const std::string prefix = QueryValue(target, "prefix");
      const auto after = static_cast<std::uint64_t>(std::stoull(QueryValue(target, "after")));
      const long long wait = std::stoll(QueryValue(target, "wait_ms"));
      const auto end = Clock::now() + milliseconds(wait);
      while (true) {
        json events = json::array();
        for (const Item& event : mEvents) {
          if (event.revision > after && event.key.compare(0, prefix.size(), prefix) == 0) {
            events.push_back(ToJson(event, aPort));
          }
        }
        if (mIsDown) {
          mChanged.wait(lock, [this] { return !mIsDown; });
          return { 0, nullptr };
        }
        if (!events.empty() || Clock::now() >= end) {
          return { 200, { { "events", events }, { "as_of", mRevision } } };
        }
        mChanged.wait_until(lock, end);
      }
    }
    if (path == "/kv-lease") {
      const json body = json::parse(aRequest.body);
      const std::uint64_t id = ++mLastLease;
      const long long ttl = body.at("ttl_ms").get<long long>();
      mLeases[id] = { ttl, Clock::now() + milliseconds(ttl) };
      return { 200, { { "lease", id }, { "ttl_ms", ttl } } };
    }
    if (path.compare(0, 9, "/kv-keep/") == 0) {
      const auto it = mLeases.find(std::stoull(path.substr(9)));
      if (it == mLeases.end()) {
        return { 404, nullptr };
      }
      it->second.end = Clock::now() + milliseconds(it->second.ttlMs);
      return { 200, { { "ttl_ms", it->second.ttlMs } } };
    }
    if (path.compare(0, 14, "/kv-lease-end/") == 0) {
      EndLeaseLocked(std::stoull(path.substr(14)));
      return { 200, nullptr };
    }
    if (path == "/kv-txn") {
      const json body = json::parse(aRequest.body);
      for (const json& put : body.value("puts", json::array())) {
        const auto lease = put.value("lease", std::uint64_t{ 0 });
        if (lease != 0 && mLeases.count(lease) == 0) {
          return { 404, nullptr };
        }
      }
      for (const json& put : body.value("puts", json::array())) {
        PutLocked(
          put.at("key"), FromBase64(put.at("value")), put.value("lease", std::uint64_t{ 0 }));
      }
      for (const json& key : body.value("remove", json::array())) {
        RemoveLocked(key);
      }
      mChanged.notify_all();
      return { 200, { { "mod_revision", mRevision } } };
    }
    return { 404, nullptr };
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::deque<Item> mEvents;
  std::map<std::uint64_t, Lease> mLeases;
  std::uint64_t mRevision = 1;
  std::uint64_t mLastLease = 0;
  bool mIsDown = false;
  View mView;
  std::vector<std::shared_ptr<Listener>> mListeners;
};

/** What replicas have begun to work on, by Request-Id. */
class Ledger
{
public:
  struct Run
  {
    std::string replica;
    std::string target;
    std::string body;
    long long atMs = 0;
  };
  void Add(const std::string& aId, Run aRun)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRuns[aId].push_back(std::move(aRun));
  }
  std::map<std::string, std::vector<Run>> All()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::vector<Run>> mRuns;
};

/** A sound replica; a case may spoil its answers. */
class Replica
{
public:
  struct Settings
  {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 2;
    int queue = 4;
    int workMs = 30;
  };
  /** Sends an answer. The default is one write of the bytes. */
  using Sender = std::function<bool(Socket&, const Message& aRequest, std::string aBytes)>;
  /** Called when a request has been read, before anything else. */
  using OnRead = std::function<void(Socket&, const Message& aRequest)>;

  Replica(Settings aSettings, Ledger& aLedger, Record& aRecord)
    : mSettings(std::move(aSettings))
    , mLedger(aLedger)
    , mRecord(aRecord)
    , mListener([this](std::shared_ptr<Socket> aSocket) { Serve(std::move(aSocket)); })
  {
  }
  void SetSender(Sender aSender) { mSender = std::move(aSender); }
  void SetOnRead(OnRead aOnRead) { mOnRead = std::move(aOnRead); }
  std::string Address() const { return mListener.Address(); }
  const std::string& Id() const { return mSettings.id; }
  std::string Entry(const std::string& aAddress) const
  {
    return json{
      { "service", mSettings.service }, { "address", aAddress },
      { "zone", mSettings.zone },       { "version", "v1" },
      { "slots", mSettings.slots },     { "state", "ready" },
      { "cold_remaining_ms", 0 },       { "sequence", 1 },
      { "born", 1700000000000LL }
    }.dump();
  }
  static std::string StampOf(const std::string& aReplica, const std::string& aId)
  {
    return "st-" + aReplica + "-" + aId;
  }
  static std::string BodyOf(const std::string& aId) { return "result of " + aId + "\n"; }

private:
  void Serve(std::shared_ptr<Socket> aSocket)
  {
    while (auto request = aSocket->Read()) {
      if (mOnRead) {
        mOnRead(*aSocket, *request);
      }
      const std::string bytes = Handle(*aSocket, *request);
      const bool isSent = mSender ? mSender(*aSocket, *request, bytes) : aSocket->Write(bytes);
      if (!isSent) {
        return;
      }
    }
  }

  std::string Handle(Socket& aSocket, const Message& aRequest)
  {
    const std::string id = aRequest.Header("request-id").value_or("");
    const std::string echo = "Request-Id: " + id + "\r\n";
    if (aRequest.Header("expected-instance").value_or(mSettings.id) != mSettings.id) {
      mRecord.Line("replica " + mSettings.id + " answers 421 to " + id);
      return Answer(421, echo + "Instance-Id: " + mSettings.id + "\r\n", "");
    }
    std::unique_lock<std::mutex> lock(mMutex);
    if (mRunning + mWaiting >= mSettings.slots + mSettings.queue) {
      const std::string load = Load();
      lock.unlock();
      mRecord.Line("replica " + mSettings.id + " is full, 503 Not-Executed to " + id);
      return Answer(503, echo + load + "Not-Executed: 1\r\n", "");
    }
    ++mWaiting;
    while (mRunning >= mSettings.slots) {
      mFree.wait_for(lock, milliseconds(20));
      if (aSocket.IsClosedByPeer()) {
        --mWaiting;
        mRecord.Line("replica " + mSettings.id + " drops " + id + " unrun: its connection closed");
        return "";
      }
    }
    --mWaiting;
    ++mRunning;
    lock.unlock();
    mRecord.Line("replica " + mSettings.id + " RUNS " + id);
    mLedger.Add(id, { mSettings.id, aRequest.Word(1), aRequest.body, NowMs() });
    SleepMs(mSettings.workMs);
    lock.lock();
    --mRunning;
    const std::string load = Load();
    mFree.notify_all();
    lock.unlock();
    return Answer(200,
                  echo + load + "Content-Type: text/plain\r\nResponse-Stamp: " +
                    StampOf(mSettings.id, id) + "\r\n",
                  BodyOf(id));
  }
  std::string Load() const
  {
    return "Server-Load: " + std::to_string(mRunning) + "," + std::to_string(mWaiting) + "," +
           std::to_string(mSettings.slots) + "\r\n";
  }

  Settings mSettings;
  Ledger& mLedger;
  Record& mRecord;
  Sender mSender;
  OnRead mOnRead;
  std::mutex mMutex;
  std::condition_variable mFree;
  int mRunning = 0;
  int mWaiting = 0;
  Listener mListener;
};

/** A daemon, started with the command of the deploy file. */
class Daemon
{
public:
  Daemon(std::string aProgram, std::string aFolder, std::string aName, std::string aZone)
    : mProgram(std::move(aProgram))
    , mFolder(std::move(aFolder))
    , mName(std::move(aName))
    , mZone(std::move(aZone))
    , mCallers(FreePort())
    , mReadiness(FreePort())
    , mDirectory(FreePort())
    , mPeers(FreePort())
  {
  }
  ~Daemon() { Kill(); }

  /** The template platform/settings.json.template with the values of a small deployment. */
  void WriteSettings(int aStorePort, const std::vector<std::string>& aSeeds) const
  {
    const auto at = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
    const json settings{
      { "vm", mName },
      { "failureDomain", mZone },
      { "region", "region-" + mZone },
      { "regions", { { "a", "region-a" }, { "b", "region-b" }, { "c", "region-c" } } },
      { "listen",
        { { "callers", at(mCallers) },
          { "readiness", at(mReadiness) },
          { "directory", at(mDirectory) },
          { "peers", at(mPeers) } } },
      { "seeds", aSeeds },
      { "store", { { "address", at(aStorePort) }, { "leastLeaseMs", 1000 } } },
      { "extraAttempts", { { "ratio", 0.2 }, { "slack", 54 }, { "windowSeconds", 10 } } },
      { "capacity", { { "share", 0.25 }, { "cores", 1 } } },
      { "stopGraceSeconds", 6 },
      { "longestListSeconds", 5 }
    };
    std::ofstream(mFolder + "/" + mName + ".json") << settings.dump(2);
  }
  void Start()
  {
    const std::string file = mFolder + "/" + mName + ".json";
    const std::string log = mFolder + "/" + mName + ".log";
    const pid_t parent = getpid();
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        std::_Exit(2);
      }
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      clearenv();
      setenv("PATH", "/usr/bin:/bin", 1);
      setenv("LANG", "C.UTF-8", 1);
      setenv("SKYLARKWING_NODE_FILE", file.c_str(), 1);
      execl(mProgram.c_str(), mProgram.c_str(), "platform", static_cast<char*>(nullptr));
      std::_Exit(2);
    }
  }
  /** @return how the process ended, or nothing while it runs. */
  std::optional<std::string> Ended()
  {
    int status = 0;
    if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
      mPid = -1;
      mEnd = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                 : "exit " + std::to_string(WEXITSTATUS(status));
    }
    return mPid > 0 ? std::nullopt : std::optional<std::string>(mEnd);
  }
  void Signal(int aSignal)
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
      mEnd = "killed";
    }
  }
  bool IsReady() const
  {
    const auto socket = Socket::Connect(mReadiness, 300);
    if (!socket || !socket->Write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    const auto answer = socket->Read(Clock::now() + milliseconds(500));
    return answer && answer->Status() == 200;
  }
  const std::string& Name() const { return mName; }
  int Callers() const { return mCallers; }
  int Peers() const { return mPeers; }
  pid_t Pid() const { return mPid; }

private:
  std::string mProgram;
  std::string mFolder;
  std::string mName;
  std::string mZone;
  int mCallers;
  int mReadiness;
  int mDirectory;
  int mPeers;
  pid_t mPid = -1;
  std::string mEnd;
};

/** @return whether all daemons are ready within the time. */
inline bool
AwaitReady(std::vector<std::unique_ptr<Daemon>>& aDaemons, long long aMs)
{
  const auto end = Clock::now() + milliseconds(aMs);
  while (Clock::now() < end) {
    bool areReady = true;
    for (const auto& daemon : aDaemons) {
      areReady = areReady && daemon->IsReady();
    }
    if (areReady) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

/** A route of one service, as the operator writes it. */
inline json
MakeRoute(const std::string& aHost,
          const std::string& aPrefix,
          const std::string& aType,
          const std::string& aService,
          const std::vector<std::string>& aRegions = {})
{
  return json{ { "name", "r-" + aService + aPrefix },
               { "host", aHost },
               { "prefix", aPrefix },
               { "route_type", aType },
               { "timeout_ms", 3000 },
               { "objective_ms", 300 },
               { "priority", 2 },
               { "service", aService },
               { "max_attempts", 2 },
               { "allowed_regions", aRegions } };
}

/** The store with a configuration and replicas, and three daemons, one in each zone. */
class Deployment
{
public:
  Deployment(const std::string& aProgram, const std::string& aFolder)
  {
    mStorePort = store.Open();
    for (const std::string zone : { "a", "b", "c" }) {
      daemons.push_back(std::make_unique<Daemon>(aProgram, aFolder, "front-" + zone, zone));
    }
  }
  void Configure(const json& aRoutes, const std::vector<std::string>& aServices)
  {
    json services = json::array();
    for (const std::string& name : aServices) {
      services.push_back({ { "name", name },
                           { "health_path", "/health" },
                           { "max_connections", 49 },
                           { "cold_period_s", 3.0 },
                           { "cold_per_s", 0.0 } });
    }
    const json limits{ { "max_header_bytes", 16384 },
                       { "max_body_bytes", 262144 },
                       { "header_timeout_ms", 5000 },
                       { "idle_timeout_ms", 30000 } };
    store.Put(
      "op/config",
      json{
        { "version", 7 }, { "routes", aRoutes }, { "services", services }, { "limits", limits } }
        .dump());
  }
  void Announce(const Replica& aReplica)
  {
    store.Put("servers/" + aReplica.Id(), aReplica.Entry(aReplica.Address()));
  }
  bool Start()
  {
    for (const auto& daemon : daemons) {
      daemon->WriteSettings(mStorePort, { "127.0.0.1:" + std::to_string(daemons[0]->Peers()) });
      daemon->Start();
    }
    if (!AwaitReady(daemons, 15000)) {
      std::cerr << "the daemons are not ready\n";
      return false;
    }
    // Longer than contact_ms (5,000) after their start, so that the daemons are in touch.
    SleepMs(6000);
    return true;
  }
  /** Ends the daemons. @return those that had ended by themselves. */
  std::string Stop()
  {
    std::string text;
    for (const auto& daemon : daemons) {
      if (const auto ended = daemon->Ended()) {
        text += "; " + daemon->Name() + " ended: " + *ended;
      }
      daemon->Kill();
    }
    return text;
  }

  Store store;
  std::vector<std::unique_ptr<Daemon>> daemons;

private:
  int mStorePort = 0;
};

} // namespace review
