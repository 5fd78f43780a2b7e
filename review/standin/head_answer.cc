// Case: a HEAD request that the daemon itself has to refuse, while the replicas of a service are
// down.
#include "small_platform.hpp"

using namespace review;

namespace {

constexpr const char* kHost = "stock.example";
constexpr int kReplicas = 3;
constexpr int kClients = 3;
/** srv_crash "dark all" of the site file lasts 4.5 s. Here connections are refused for as long. */
constexpr long long kDownMs = 4500;
constexpr long long kLengthMs = 20000;

/** A replica that crashes and comes back: its listener passes connections on, or resets them. */
class CrashingReplica
{
public:
  CrashingReplica(std::string aId, std::string aZone, Record& aRecord)
    : mId(std::move(aId))
    , mZone(std::move(aZone))
    , mRecord(aRecord)
    , mListener([this](std::shared_ptr<Socket> aSocket) { Serve(std::move(aSocket)); })
  {
  }
  void SetDown(bool aIsDown) { mIsDown = aIsDown; }
  std::string Key() const { return "servers/" + mId; }
  std::string Entry() const
  {
    return json{
      { "service", "stock" },
      { "address", mListener.Address() },
      { "zone", mZone },
      { "version", "v1" },
      { "slots", 6 },
      { "state", "ready" },
      { "cold_remaining_ms", 0 },
      { "sequence", 1 },
      { "born", 1700000000000LL }
    }.dump();
  }

private:
  void Serve(std::shared_ptr<Socket> aSocket)
  {
    if (mIsDown) {
      aSocket->Reset();
      return;
    }
    while (auto request = aSocket->Read()) {
      if (mIsDown) {
        aSocket->Reset();
        return;
      }
      const std::string id = request->Header("request-id").value_or("");
      const std::string headers =
        "Request-Id: " + id + "\r\nServer-Load: 0,0,6\r\nResponse-Stamp: st-" + id + "\r\n";
      mRecord.Line("replica " + mId + " RUNS " + request->Word(0) + " " + id);
      // /stock/empty has an empty body, for GET and for HEAD alike.
      const std::string body = request->Word(1) == "/stock/empty" ? "" : Replica::BodyOf(id);
      if (!aSocket->Write(Answer(200, headers, body))) {
        return;
      }
    }
  }

  std::string mId;
  std::string mZone;
  Record& mRecord;
  std::atomic<bool> mIsDown{ false };
  Listener mListener;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: head_answer PROGRAM FOLDER RECORD TROUBLE\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  StartTime();
  Record record(aArguments[3]);
  const bool hasTrouble = std::string(aArguments[4]) != "0";
  const std::vector<std::string> zones{ "a", "b", "c" };
  std::vector<std::unique_ptr<CrashingReplica>> replicas;
  for (int n = 0; n < kReplicas; ++n) {
    replicas.push_back(std::make_unique<CrashingReplica>(
      "i-" + std::to_string(n), zones[static_cast<std::size_t>(n)], record));
  }
  Deployment deployment(aArguments[1], aArguments[2]);
  deployment.Configure(json::array({ MakeRoute(kHost, "/stock/", "idempotent", "stock") }),
                       { "stock" });
  for (const auto& replica : replicas) {
    deployment.store.Put(replica->Key(), replica->Entry());
  }
  if (!deployment.Start()) {
    return 2;
  }

  std::atomic<int> nextId{ 0 };
  std::atomic<int> broken{ 0 };
  std::atomic<int> heads{ 0 };
  std::mutex mutex;
  std::map<int, int> byStatus;
  const auto end = Clock::now() + milliseconds(kLengthMs);
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      const int port = deployment.daemons[static_cast<std::size_t>(n)]->Callers();
      std::shared_ptr<Socket> socket;
      const auto request =
        [](const std::string& aMethod, const std::string& aPath, const std::string& aId) {
          return aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost + "\r\nRequest-Id: " + aId +
                 "\r\nRequest-Deadline: 2000\r\n\r\n";
        };
      while (Clock::now() < end) {
        SleepMs(100);
        if (!socket && !(socket = Socket::Connect(port))) {
          continue;
        }
        const std::string id = "h" + std::to_string(1000 + nextId++);
        record.Line("client sends HEAD " + id);
        socket->Write(request("HEAD", "/stock/empty", id));
        // The answer to HEAD has no body, whatever its Content-Length says (RFC 9110, 9.3.2).
        const auto answer = socket->ReadHead(Clock::now() + milliseconds(3000));
        if (!answer) {
          record.Line("client gets no answer for " + id);
          socket.reset();
          continue;
        }
        ++heads;
        record.Line("client gets " + std::to_string(answer->Status()) + " for HEAD " + id);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++byStatus[answer->Status()];
        }
        SleepMs(20);
        const std::string next = "g" + id.substr(1);
        record.Line("client sends GET " + next + " on the same connection");
        socket->Write(request("GET", "/stock/full", next));
        while (socket->Bytes().size() < 5 && socket->Fill(Clock::now() + milliseconds(3000))) {
        }
        if (!socket->HasBytes()) {
          socket.reset();
          continue;
        }
        if (socket->Bytes().compare(0, 5, "HTTP/") != 0) {
          ++broken;
          record.Line("MIXED: the answer to " + next + " begins with the bytes '" +
                      socket->Bytes().substr(0, 30) + "', which are no answer in the protocol");
          socket.reset();
          continue;
        }
        const auto full = socket->Read(Clock::now() + milliseconds(3000));
        record.Line("client gets " + std::to_string(full ? full->Status() : 0) + " for GET " +
                    next);
        if (!full || full->Header("connection").value_or("") == "close") {
          socket.reset();
        }
      }
    });
  }
  SleepMs(6000);
  if (hasTrouble) {
    record.Line("all replicas of the service crash");
    for (const auto& replica : replicas) {
      replica->SetDown(true);
    }
    SleepMs(kDownMs);
    record.Line("they are back");
    for (const auto& replica : replicas) {
      replica->SetDown(false);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  std::string text = "HEAD requests answered " + std::to_string(heads);
  for (const auto& [status, n] : byStatus) {
    text += ", " + std::to_string(status) + ": " + std::to_string(n);
  }
  text += "; MIXED " + std::to_string(broken) + deployment.Stop();
  record.Line(text);
  record.Flush();
  std::cout << text << std::endl;
  std::_Exit(broken > 0 ? 1 : 0);
}
