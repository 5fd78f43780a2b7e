// The stage of a case: stand-ins for the platform's store, replicas and clients as threads of this
// process, and the project's daemons as child processes. Everything is on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

inline const SteadyClock::time_point kStart = SteadyClock::now();

/** Seconds since the start of the case. */
inline double
Now()
{
  return std::chrono::duration<double>(SteadyClock::now() - kStart).count();
}

inline void
SleepMs(int ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** The file record.txt of the case. */
class Record
{
public:
  static void Open(const std::string& path) { Get().file.open(path, std::ios::trunc); }

  static void Line(const std::string& text)
  {
    Record& record = Get();
    const std::lock_guard lock(record.mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", Now());
    record.file << time << text << '\n' << std::flush;
  }

private:
  std::ofstream file;
  std::mutex mutex;

  static Record& Get()
  {
    static Record* record = new Record;
    return *record;
  }
};

// ---------------------------------------------------------------------------------------------
// HTTP

struct Message
{
  std::string first;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const
  {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const
  {
    const auto at = first.find(' ');
    return first.substr(at + 1, first.find(' ', at + 1) - at - 1);
  }
  std::string Path() const { return Target().substr(0, Target().find('?')); }
  int Status() const { return std::atoi(first.substr(first.find(' ') + 1).c_str()); }

  std::string Query(const std::string& name) const
  {
    const std::string target = Target();
    const auto question = target.find('?');
    std::string rest = question == std::string::npos ? "" : target.substr(question + 1);
    while (!rest.empty()) {
      const auto end = rest.find('&');
      const std::string pair = rest.substr(0, end);
      if (pair.compare(0, name.size() + 1, name + "=") == 0) {
        return Decode(pair.substr(name.size() + 1));
      }
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return "";
  }

private:
  static std::string Decode(const std::string& text)
  {
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
      if (text[n] == '%' && n + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
        n += 2;
      } else {
        out += text[n];
      }
    }
    return out;
  }
};

enum class ReadEnd
{
  Complete,
  Closed,
  Reset,
  TimedOut,
};

/** Reads one message with a Content-Length, or without a body. Bytes beyond it stay in `buffer`. */
inline ReadEnd
ReadMessage(int fd, std::string& buffer, Message& message, double until)
{
  std::size_t head = 0;
  std::size_t length = 0;
  bool hasHead = false;
  while (true) {
    if (!hasHead && (head = buffer.find("\r\n\r\n")) != std::string::npos) {
      hasHead = true;
      message = {};
      std::size_t at = buffer.find("\r\n");
      message.first = buffer.substr(0, at);
      while (at < head) {
        const std::size_t end = buffer.find("\r\n", at + 2);
        const std::string line = buffer.substr(at + 2, end - at - 2);
        const std::size_t colon = line.find(':');
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
        at = end;
      }
      length = std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
    }
    if (hasHead && buffer.size() >= head + 4 + length) {
      message.body = buffer.substr(head + 4, length);
      buffer.erase(0, head + 4 + length);
      return ReadEnd::Complete;
    }
    const int wait = static_cast<int>((until - Now()) * 1000.0);
    pollfd entry{ fd, POLLIN, 0 };
    if (wait <= 0 || poll(&entry, 1, wait) <= 0) {
      return ReadEnd::TimedOut;
    }
    char block[65536];
    const ssize_t n = recv(fd, block, sizeof block, 0);
    if (n == 0) {
      return ReadEnd::Closed;
    }
    if (n < 0) {
      return ReadEnd::Reset;
    }
    buffer.append(block, static_cast<std::size_t>(n));
  }
}

inline bool
SendAll(int fd, const std::string& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::string
MakeResponse(int status,
             const std::vector<std::pair<std::string, std::string>>& headers,
             const std::string& body)
{
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The bandwidth of a machine's link, which all connections over it share. */
class Link
{
public:
  explicit Link(double mbps)
    : bytesPerSecond(mbps * 1e6 / 8.0)
  {
  }

  bool Send(int fd, const std::string& bytes)
  {
    constexpr std::size_t kBlock = 8192;
    for (std::size_t at = 0; at < bytes.size(); at += kBlock) {
      const std::string block = bytes.substr(at, kBlock);
      double until = 0.0;
      {
        const std::lock_guard lock(mutex);
        freeAt = std::max(freeAt, Now()) + static_cast<double>(block.size()) / bytesPerSecond;
        until = freeAt;
      }
      while (Now() < until) {
        std::this_thread::sleep_for(std::chrono::duration<double>(until - Now()));
      }
      if (!SendAll(fd, block)) {
        return false;
      }
    }
    return true;
  }

private:
  double bytesPerSecond;
  std::mutex mutex;
  double freeAt = 0.0;
};

/** Answers requests on a port of its own; one thread for each connection. */
class Server
{
public:
  /** Returns the bytes of the response; empty resets the connection. */
  using Handler = std::function<std::string(const Message& request, int fd)>;

  /** @param link the link that the responses take; null for no limit. */
  explicit Server(Handler handler, Link* link = nullptr)
    : handler(std::move(handler))
    , link(link)
  {
    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(listener, 512) != 0 ||
        getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("cannot listen");
    }
    port = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }

  /** Closes the port and all connections, as the end of a process does. */
  void Stop()
  {
    const std::lock_guard lock(mutex);
    isStopped = true;
    shutdown(listener, SHUT_RDWR);
    for (const int fd : open) {
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  Handler handler;
  Link* link;
  int listener = -1;
  int port = 0;
  bool isStopped = false;
  std::mutex mutex;
  std::set<int> open;

  void Accept()
  {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard lock(mutex);
      if (fd < 0 || isStopped) {
        if (fd >= 0) {
          close(fd);
        }
        close(listener);
        return;
      }
      open.insert(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd)
  {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string buffer;
    Message request;
    while (ReadMessage(fd, buffer, request, Now() + 600.0) == ReadEnd::Complete) {
      const std::string response = handler(request, fd);
      if (response.empty()) {
        const linger reset{ 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        break;
      }
      if (link != nullptr ? !link->Send(fd, response) : !SendAll(fd, response)) {
        break;
      }
    }
    const std::lock_guard lock(mutex);
    open.erase(fd);
    close(fd);
  }
};

/** Whether the peer has closed the connection of a request that is being answered. */
inline bool
IsClosed(int fd)
{
  char byte = 0;
  const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

struct Answer
{
  ReadEnd end = ReadEnd::Closed;
  Message message;
  bool wasSent = false;
};

inline std::string
NameOf(ReadEnd end)
{
  switch (end) {
    case ReadEnd::Complete:
      return "complete";
    case ReadEnd::Closed:
      return "closed";
    case ReadEnd::Reset:
      return "reset";
    case ReadEnd::TimedOut:
      return "timed_out";
  }
  return "";
}

/** A client's connection, kept open for many requests. */
class Client
{
public:
  explicit Client(std::string address)
    : address(std::move(address))
  {
  }
  Client(const Client&) = delete;
  ~Client() { Drop(); }

  bool IsOpen() const { return fd >= 0; }

  bool Connect()
  {
    Drop();
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(std::atoi(address.substr(address.find(':') + 1).c_str()));
    if (connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
      Drop();
    }
    return IsOpen();
  }

  Answer Exchange(const std::string& method,
                  const std::string& target,
                  const std::vector<std::pair<std::string, std::string>>& headers,
                  const std::string& body,
                  double seconds)
  {
    Answer answer;
    if (!IsOpen() && !Connect()) {
      return answer;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    answer.wasSent = SendAll(fd, text + "\r\n" + body);
    answer.end = answer.wasSent ? ReadMessage(fd, buffer, answer.message, Now() + seconds)
                                : ReadEnd::Reset;
    if (answer.end != ReadEnd::Complete ||
        strcasecmp(answer.message.Header("Connection").c_str(), "close") == 0) {
      Drop();
    }
    return answer;
  }

  void Drop()
  {
    if (fd >= 0) {
      close(fd);
    }
    fd = -1;
    buffer.clear();
  }

private:
  std::string address;
  int fd = -1;
  std::string buffer;
};

// ---------------------------------------------------------------------------------------------
// The platform's store

inline std::string
Encode64(const std::string& bytes)
{
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t block = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      block = block << 8U | (n + i < bytes.size() ? static_cast<unsigned char>(bytes[n + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      out += n + i > bytes.size() ? '=' : digits[block >> (18U - 6U * i) & 63U];
    }
  }
  return out;
}

/** The key-value service as the pages describe it; it loses nothing that it has acknowledged. */
class Store
{
public:
  Store()
    : expiry([this] { ExpireLeases(); })
  {
    expiry.detach();
  }

  /** Writes a key as the operator or a replica does. */
  std::uint64_t Write(const std::string& key, const std::string& value)
  {
    const std::lock_guard lock(mutex);
    return Put(key, Encode64(value), 0);
  }

  std::uint64_t Delete(const std::string& key)
  {
    const std::lock_guard lock(mutex);
    return Remove(key);
  }

  bool Has(const std::string& key)
  {
    const std::lock_guard lock(mutex);
    return items.count(key) > 0;
  }

  /** Most bytes of values in one answer to a watch; one event always fits. */
  std::atomic<std::size_t> maxWatchBytes{ 1'000'000 };

  /** Answers one call. */
  std::string Handle(const Message& request)
  {
    const std::string path = request.Path();
    if (path == "/kv-watch") {
      return Watch(request);
    }
    const std::lock_guard lock(mutex);
    if (path == "/kv-range") {
      return Range(request.Query("prefix"), request.Query("after"), items, revision);
    }
    if (path == "/kv-key") {
      const auto it = items.find(request.Query("key"));
      return it == items.end() ? MakeResponse(404, {}, "{}")
                               : Json(200, ItemJson(it->first, it->second));
    }
    if (path == "/kv-txn") {
      return Commit(json::parse(request.body));
    }
    if (path == "/kv-lease") {
      const double ttl = json::parse(request.body).at("ttl_ms").get<double>() / 1000.0;
      leases[++lastLease] = { ttl, Now() + ttl };
      return Json(200, { { "lease", lastLease }, { "ttl_ms", static_cast<int>(ttl * 1000) } });
    }
    if (path.compare(0, 9, "/kv-keep/") == 0) {
      const auto it = leases.find(std::strtoull(path.c_str() + 9, nullptr, 10));
      if (it == leases.end()) {
        return MakeResponse(404, {}, "{}");
      }
      it->second.end = Now() + it->second.ttl;
      return Json(200, { { "ttl_ms", static_cast<int>(it->second.ttl * 1000) } });
    }
    if (path.compare(0, 14, "/kv-lease-end/") == 0) {
      return EndLease(std::strtoull(path.c_str() + 14, nullptr, 10))
               ? Json(200, json::object())
               : MakeResponse(404, {}, "{}");
    }
    return MakeResponse(404, {}, "{}");
  }

  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };

  struct Copy
  {
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
  };

  /** The contents at this moment, for a member of the store that lags. */
  Copy Take()
  {
    const std::lock_guard lock(mutex);
    return { items, revision };
  }

  /** One page: at most 500 items or 1 MB. */
  static std::string Range(const std::string& prefix,
                           const std::string& after,
                           const std::map<std::string, Item>& items,
                           std::uint64_t revision)
  {
    json list = json::array();
    std::size_t bytes = 0;
    bool isTruncated = false;
    for (auto it = items.lower_bound(prefix);
         it != items.end() && it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
      if (!after.empty() && it->first <= after) {
        continue;
      }
      if (list.size() >= 500 || (!list.empty() && bytes + it->second.value.size() > 1'000'000)) {
        isTruncated = true;
        break;
      }
      bytes += it->second.value.size();
      list.push_back(ItemJson(it->first, it->second));
    }
    return Json(200,
                { { "items", std::move(list) }, { "truncated", isTruncated }, { "as_of", revision } });
  }

  std::uint64_t Revision()
  {
    const std::lock_guard lock(mutex);
    return revision;
  }

private:
  static constexpr double kHistorySeconds = 20.0;

  struct Event
  {
    std::uint64_t revision = 0;
    std::string key;
    json event;
    double at = 0.0;
  };

  struct Lease
  {
    double ttl = 0.0;
    double end = 0.0;
  };

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> history;
  std::uint64_t historyStart = 0;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 100;
  std::uint64_t lastLease = 7000;
  std::thread expiry;

  static std::string Json(int status, const json& body)
  {
    return MakeResponse(status, { { "Content-Type", "application/json" } }, body.dump());
  }

  static json ItemJson(const std::string& key, const Item& item)
  {
    return { { "key", key },
             { "value", item.value },
             { "mod_revision", item.revision },
             { "create_rev", item.created },
             { "lease", item.lease } };
  }

  std::uint64_t Put(const std::string& key, const std::string& value64, std::uint64_t lease)
  {
    Item& item = items[key];
    item.revision = ++revision;
    item.created = item.created == 0 ? revision : item.created;
    item.value = value64;
    item.lease = lease;
    history.push_back({ revision, key, ItemJson(key, item), Now() });
    changed.notify_all();
    return revision;
  }

  std::uint64_t Remove(const std::string& key)
  {
    if (items.erase(key) > 0) {
      ++revision;
      history.push_back({ revision,
                          key,
                          { { "key", key }, { "mod_revision", revision }, { "deleted", true } },
                          Now() });
      changed.notify_all();
    }
    return revision;
  }

  bool EndLease(std::uint64_t lease)
  {
    if (leases.erase(lease) == 0) {
      return false;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
    return true;
  }

  std::string Commit(const json& body)
  {
    json current = json::array();
    bool isMet = true;
    for (const json& row : body.at("expect")) {
      const auto it = items.find(row.at("key").get<std::string>());
      const std::uint64_t known = it == items.end() ? 0 : it->second.revision;
      isMet = isMet && known == row.at("mod_revision").get<std::uint64_t>();
      if (it != items.end()) {
        current.push_back(ItemJson(it->first, it->second));
      }
    }
    if (!isMet) {
      return Json(412, { { "items", std::move(current) } });
    }
    for (const json& put : body.at("puts")) {
      const std::uint64_t lease = put.value("lease", std::uint64_t{ 0 });
      if (lease != 0 && leases.count(lease) == 0) {
        return MakeResponse(404, {}, "{}");
      }
    }
    for (const json& put : body.at("puts")) {
      Put(put.at("key"), put.at("value"), put.value("lease", std::uint64_t{ 0 }));
    }
    for (const json& key : body.at("remove")) {
      Remove(key.get<std::string>());
    }
    return Json(200, { { "mod_revision", revision } });
  }

  std::string Watch(const Message& request)
  {
    const std::string prefix = request.Query("prefix");
    const std::uint64_t after = std::strtoull(request.Query("after").c_str(), nullptr, 10);
    const double until = Now() + std::atof(request.Query("wait_ms").c_str()) / 1000.0;
    std::unique_lock lock(mutex);
    while (true) {
      if (after < historyStart) {
        return MakeResponse(410, {}, "{}");
      }
      json events = json::array();
      std::uint64_t asOf = revision;
      std::size_t bytes = 0;
      for (const Event& event : history) {
        if (event.revision <= after || event.key.compare(0, prefix.size(), prefix) != 0) {
          continue;
        }
        bytes += event.event.value("value", std::string()).size();
        if (!events.empty() && bytes > maxWatchBytes) {
          asOf = event.revision - 1;
          break;
        }
        events.push_back(event.event);
      }
      if (!events.empty() || Now() >= until) {
        lock.unlock();
        return Json(200, { { "events", std::move(events) }, { "as_of", asOf } });
      }
      changed.wait_for(lock, std::chrono::duration<double>(until - Now()));
    }
  }

  void ExpireLeases()
  {
    while (true) {
      SleepMs(50);
      const std::lock_guard lock(mutex);
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : leases) {
        if (lease.end <= Now()) {
          ended.push_back(id);
        }
      }
      for (const std::uint64_t id : ended) {
        EndLease(id);
      }
      while (!history.empty() && history.front().at < Now() - kHistorySeconds) {
        historyStart = history.front().revision;
        history.pop_front();
      }
    }
  }
};

// ---------------------------------------------------------------------------------------------
// Replicas

/** A sound replica: announces itself in the store and answers requests. */
class Replica
{
public:
  struct Run
  {
    std::string request;
    double arrived = 0.0;
    bool isFinished = false;
  };

  /** @param coldSeconds how long it is cold after its start. */
  Replica(Store& store,
          std::string id,
          std::string service,
          std::string zone,
          int slots,
          double coldSeconds = 0.0)
    : store(store)
    , id(std::move(id))
    , service(std::move(service))
    , zone(std::move(zone))
    , slots(slots)
    , born(std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count())
    , server([this](const Message& request, int fd) { return Handle(request, fd); })
  {
    coldUntil = coldSeconds > 0.0 ? Now() + coldSeconds : 0.0;
    beat = std::thread([this] {
      while (!hasLeft) {
        Announce();
        for (int n = 0; n < 12 && !hasLeft; ++n) {
          SleepMs(100);
        }
      }
    });
    beat.detach();
  }

  /** Time that a request takes. */
  std::atomic<int> workMs{ 20 };

  /** Until when it is cold. */
  std::atomic<double> coldUntil{ 0.0 };

  /** Called for each request that isn't answered with 421. */
  std::function<void(Replica&, const Message&)> onArrival;

  std::function<void(const Replica&, const Message&)> onRun;

  const std::string& Id() const { return id; }
  const std::string& Service() const { return service; }
  std::string Address() const { return server.Address(); }

  /** Removes the entry; the process goes on serving. Returns when the store has accepted it. */
  void RemoveEntry()
  {
    const std::lock_guard lock(announcing);
    hasLeft = true;
    store.Delete("servers/" + id);
  }

  void Stop() { server.Stop(); }

  /** Ends as a process that crashes: it sends nothing more. */
  void Crash()
  {
    hasLeft = true;
    server.Stop();
  }

  int Running() const { return running; }

private:
  Store& store;
  std::string id;
  std::string service;
  std::string zone;
  int slots;
  std::int64_t born;
  std::atomic<bool> hasLeft{ false };
  std::atomic<int> running{ 0 };
  std::uint64_t sequence = 0;
  std::mutex announcing;
  Server server;
  std::thread beat;

  void Announce()
  {
    const std::lock_guard lock(announcing);
    if (hasLeft) {
      return;
    }
    store.Write("servers/" + id,
                json{ { "service", service },
                      { "address", server.Address() },
                      { "zone", zone },
                      { "version", "v1" },
                      { "slots", slots },
                      { "state", "ready" },
                      { "cold_remaining_ms",
                        static_cast<int>(std::max(0.0, coldUntil - Now()) * 1000.0) },
                      { "sequence", ++sequence },
                      { "born", born } }
                  .dump());
  }

  std::string Handle(const Message& request, int fd)
  {
    const std::string requestId = request.Header("Request-Id");
    const std::vector<std::pair<std::string, std::string>> echo{ { "Request-Id", requestId } };
    if (request.Header("Expected-Instance") != id) {
      auto headers = echo;
      headers.emplace_back("Instance-Id", id);
      return MakeResponse(421, headers, "");
    }
    if (onArrival) {
      onArrival(*this, request);
    }
    if (running >= slots) {
      auto headers = echo;
      headers.emplace_back("Not-Executed", "1");
      return MakeResponse(503, headers, "");
    }
    ++running;
    if (onRun) {
      onRun(*this, request);
    }
    const double end = Now() + workMs / 1000.0;
    while (Now() < end && !IsClosed(fd)) {
      SleepMs(5);
    }
    const std::string load =
      std::to_string(--running) + ",0," + std::to_string(slots);
    auto headers = echo;
    headers.emplace_back("Response-Stamp", "s." + id + "." + requestId);
    headers.emplace_back("Server-Load", load);
    headers.emplace_back("Keep-Alive", "timeout=10");
    return MakeResponse(200, headers, "body of " + requestId);
  }
};

// ---------------------------------------------------------------------------------------------
// The project's daemons

/** The child processes and the temporary folder of the case, which end with it. */
class Estate
{
public:
  static Estate& Get()
  {
    static Estate* estate = new Estate;
    return *estate;
  }

  void Add(pid_t pid)
  {
    const std::lock_guard lock(mutex);
    pids.insert(pid);
  }

  void Remove(pid_t pid)
  {
    const std::lock_guard lock(mutex);
    pids.erase(pid);
  }

  const std::string& Folder()
  {
    if (folder.empty()) {
      std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
      folder = mkdtemp(pattern.data());
    }
    return folder;
  }

  void End()
  {
    const std::lock_guard lock(mutex);
    for (const pid_t pid : pids) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") != nullptr) {
      std::cerr << "logs: " << folder << '\n';
    } else if (!folder.empty()) {
      std::error_code ignored;
      std::filesystem::remove_all(folder, ignored);
    }
  }

private:
  std::mutex mutex;
  std::set<pid_t> pids;
  std::string folder;
};

/** A free port of the loopback address, below those that outgoing connections get. */
inline std::string
FreeAddress()
{
  static int next = 20'000 + getpid() * 37 % 10'000;
  while (true) {
    next = next < 32'000 ? next + 1 : 20'000;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(next));
    const bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (isFree) {
      return "127.0.0.1:" + std::to_string(next);
    }
  }
}

struct DaemonPlace
{
  std::string name;
  std::string zone;
  std::string region;
  int memoryMb = 260;
  double cpuShare = 0.25;
};

/** `target/skylarkwing platform`, started as the deploy file says. */
class Daemon
{
public:
  Daemon(DaemonPlace place,
         const std::map<std::string, std::string>& zones,
         const std::string& storeAddress,
         std::string folder)
    : place(std::move(place))
    , folder(std::move(folder))
    , front(FreeAddress())
    , ready(FreeAddress())
    , directory(FreeAddress())
    , peers(FreeAddress())
  {
    // platform/settings.json.template, filled in.
    settings = { { "vm", this->place.name },
                 { "failureDomain", this->place.zone },
                 { "region", this->place.region },
                 { "regions", zones },
                 { "listen",
                   { { "callers", front },
                     { "readiness", ready },
                     { "directory", directory },
                     { "peers", peers } } },
                 { "seeds", json::array() },
                 { "store", { { "address", storeAddress }, { "leastLeaseMs", 1000 } } },
                 { "extraAttempts",
                   { { "ratio", 0.2 }, { "slack", 56 }, { "windowSeconds", 10 } } },
                 { "capacity", { { "share", this->place.cpuShare }, { "cores", 1 } } },
                 { "resources",
                   { { "memoryMegabytes", this->place.memoryMb }, { "descriptors", 4100 } } },
                 { "stopGraceSeconds", 6 },
                 { "longestListSeconds", 5 } };
  }

  Daemon(const Daemon&) = delete;

  const std::string& Name() const { return place.name; }
  const std::string& Front() const { return front; }
  const std::string& Peers() const { return peers; }
  void SetSeeds(const std::vector<std::string>& seeds) { settings["seeds"] = seeds; }
  /** Sets a section of the settings that not all deployments have. */
  void SetSection(const std::string& name, json section) { settings[name] = std::move(section); }

  void Start()
  {
    const std::string file = folder + "/" + place.name + ".json";
    const std::string log = folder + "/" + place.name + ".log";
    std::ofstream(file) << settings.dump(2);
    const std::string variable = "SKYLARKWING_NODE_FILE=" + file;
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      dup2(out, 1);
      dup2(out, 2);
      const char* arguments[] = { "target/skylarkwing", "platform", nullptr };
      const char* variables[] = { "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
                                  variable.c_str(), nullptr };
      execve(arguments[0],
             const_cast<char* const*>(arguments),
             const_cast<char* const*>(variables));
      _exit(127);
    }
    close(out);
    Estate::Get().Add(pid);
    Record::Line(place.name + " started");
  }

  void Signal(int signal)
  {
    if (pid > 0) {
      kill(pid, signal);
    }
  }

  void Kill()
  {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
      Estate::Get().Remove(pid);
      pid = -1;
    }
  }

  bool IsRunning()
  {
    if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
      Estate::Get().Remove(pid);
      pid = -1;
    }
    return pid > 0;
  }

  /** Waits until the readiness check answers 200. */
  bool AwaitReady(double seconds)
  {
    const double until = Now() + seconds;
    while (Now() < until) {
      if (IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

  bool IsReady()
  {
    Client client(ready);
    const Answer answer = client.Exchange("GET", "/readiness", { { "Host", "x" } }, "", 1.0);
    return answer.end == ReadEnd::Complete && answer.message.Status() == 200;
  }

  /** The anonymous memory of the process in kB, without what it shares with other programs. */
  long MemoryKb() const
  {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.compare(0, 8, "RssAnon:") == 0) {
        return std::atol(line.c_str() + 8);
      }
    }
    return 0;
  }

private:
  DaemonPlace place;
  std::string folder;
  std::string front;
  std::string ready;
  std::string directory;
  std::string peers;
  json settings;
  pid_t pid = -1;
};

/** Whether the case plays its disruption. */
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/** A route to one service, as in the operator's configuration. */
inline json
MakeRoute(const std::string& name,
          const std::string& prefix,
          const std::string& service,
          const std::string& type = "idempotent")
{
  return { { "name", name },
           { "host", "leno12.example" },
           { "prefix", prefix },
           { "route_type", type },
           { "timeout_ms", 5000 },
           { "objective_ms", 500 },
           { "priority", 1 },
           { "service", service },
           { "max_attempts", 2 },
           { "allowed_regions", json::array() } };
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/** Ends the case with its result. Threads of the stand-ins still run, so nothing is destroyed. */
[[noreturn]] inline void
Finish(int result)
{
  Record::Line(result == kHeld     ? "result: the rule held"
               : result == kBroken ? "result: the rule was broken"
                                   : "result: the case could not run");
  Estate::Get().End();
  _exit(result);
}

[[noreturn]] inline void
CannotRun(const std::string& reason)
{
  Record::Line(reason);
  Finish(kCouldNotRun);
}

/** Runs a case: record.txt stands in the folder that is the first argument. */
inline int
RunCase(int count, char** arguments, const std::function<void(const std::string& folder)>& body)
{
  if (count != 2) {
    std::cerr << "usage: " << arguments[0] << " FOLDER-OF-THE-CASE\n";
    return kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::set_terminate([] { CannotRun("an exception ended the case"); });
  Record::Open(std::string(arguments[1]) + "/record.txt");
  body(Estate::Get().Folder());
  Finish(kCouldNotRun);
}

} // namespace stage
