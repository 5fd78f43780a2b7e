// Case: one client sends one malformed message, TRACE with a body.
#include "small_platform.hpp"

using namespace review;

namespace {

constexpr const char* kHost = "orders.example";
constexpr int kReplicas = 6;
constexpr int kClients = 24;
constexpr long long kLengthMs = 20000;
constexpr long long kTroubleAtMs = 10000;
/** A process that exits is restarted after a short delay (DEPLOY.md). */
constexpr long long kRestartMs = 500;
/** LOST: more than three times. */
constexpr int kMaxLost = 3;

struct Outcome
{
  int status = 0;
  bool isKept = false;
  bool isCut = false;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: malformed_message PROGRAM FOLDER RECORD TROUBLE\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  StartTime();
  Record record(aArguments[3]);
  const bool hasTrouble = std::string(aArguments[4]) != "0";
  const std::vector<std::string> zones{ "a", "b", "c" };
  Ledger ledger;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < kReplicas; ++n) {
    Replica::Settings settings;
    settings.id = "i-" + std::to_string(n);
    settings.service = "ledger";
    settings.zone = zones[static_cast<std::size_t>(n) % zones.size()];
    settings.slots = 6;
    settings.queue = 24;
    settings.workMs = 120;
    replicas.push_back(std::make_unique<Replica>(settings, ledger, record));
  }
  Deployment deployment(aArguments[1], aArguments[2]);
  deployment.Configure(json::array({ MakeRoute(kHost, "/orders/", "non_idempotent", "ledger") }),
                       { "ledger" });
  for (const auto& replica : replicas) {
    deployment.Announce(*replica);
  }
  if (!deployment.Start()) {
    return 2;
  }

  std::mutex mutex;
  std::map<std::string, Outcome> outcomes;
  std::atomic<int> nextId{ 0 };
  const auto end = Clock::now() + milliseconds(kLengthMs);
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      const auto& daemon =
        deployment.daemons[static_cast<std::size_t>(n) % deployment.daemons.size()];
      std::shared_ptr<Socket> socket;
      bool isKept = false;
      while (Clock::now() < end) {
        if (!socket) {
          isKept = false;
          socket = Socket::Connect(daemon->Callers());
          if (!socket) {
            SleepMs(100);
            continue;
          }
        }
        const std::string id = "q" + std::to_string(10000 + nextId++);
        const std::string body = "order " + id;
        record.Line("client sends " + id + " to " + daemon->Name());
        Outcome outcome;
        outcome.isKept = isKept;
        std::optional<Message> answer;
        if (socket->Write(
              "POST /orders/new HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nRequest-Id: " + id +
              "\r\nRequest-Deadline: 3000\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body)) {
          answer = socket->Read(Clock::now() + milliseconds(4000));
        }
        outcome.status = answer ? answer->Status() : 0;
        outcome.isCut = !answer && !socket->IsTimedOut();
        record.Line(outcome.isCut ? "the connection of " + id + " closes without an answer"
                                  : "client gets " + std::to_string(outcome.status) + " for " + id);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          outcomes[id] = outcome;
        }
        isKept = true;
        if (!answer || answer->Header("connection").value_or("") == "close") {
          socket.reset();
        }
        SleepMs(5);
      }
    });
  }
  SleepMs(kTroubleAtMs);
  int ends = 0;
  Daemon& daemon = *deployment.daemons.front();
  std::shared_ptr<Socket> odd;
  if (hasTrouble) {
    record.Line("one client sends TRACE with a body of three bytes to " + daemon.Name());
    odd = Socket::Connect(daemon.Callers());
    odd->Write("TRACE /orders/new HTTP/1.1\r\nHost: " + std::string(kHost) +
               "\r\nRequest-Id: odd1\r\nRequest-Deadline: 3000\r\nContent-Length: 3\r\n\r\nabc");
  }
  while (Clock::now() < end) {
    SleepMs(20);
    for (const auto& each : deployment.daemons) {
      if (const auto ended = each->Ended()) {
        ++ends;
        record.Line(each->Name() + " ended by itself: " + *ended + "; it is started again");
        SleepMs(kRestartMs);
        each->Start();
      }
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  std::map<int, int> byStatus;
  const auto runs = ledger.All();
  for (const auto& [id, outcome] : outcomes) {
    ++byStatus[outcome.status];
    if (outcome.isCut && outcome.isKept && runs.count(id) > 0) {
      ++lost;
      record.Line("LOST: " + id +
                  " came on a kept connection, was passed on to a sound replica, and " +
                  "its connection closed without an answer");
    }
  }
  std::string text = "requests " + std::to_string(outcomes.size());
  for (const auto& [status, n] : byStatus) {
    text += ", " + std::to_string(status) + ": " + std::to_string(n);
  }
  text += "; processes that ended by themselves " + std::to_string(ends) + ", LOST " +
          std::to_string(lost) + deployment.Stop();
  record.Line(text);
  record.Flush();
  std::cout << text << std::endl;
  std::_Exit(lost > kMaxLost ? 1 : 0);
}
