// Cases: one byte of a replica's success is spoiled.
// KIND "stamp": in the name of the header Response-Stamp, so that the success bears no stamp.
// KIND "status": the first digit of the status, so that 200 turns into the interim status 100.
#include "small_platform.hpp"

using namespace review;

namespace {

constexpr const char* kHost = "orders.example";
constexpr int kReplicas = 3;
constexpr int kClients = 12;
/** garble of the site file: 0.35 of the replicas, 0.02 of their answers, for 5.5 s. */
constexpr double kShare = 0.35;
constexpr double kDose = 0.02;
constexpr long long kGarbleMs = 5500;
constexpr long long kTimeoutMs = 3000;

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 6) {
    std::cerr << "usage: spoiled_answer PROGRAM FOLDER RECORD TROUBLE KIND\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  StartTime();
  Record record(aArguments[3]);
  const bool hasTrouble = std::string(aArguments[4]) != "0";
  const bool isStatus = std::string(aArguments[5]) == "status";

  Ledger ledger;
  std::mutex mutex;
  std::mt19937_64 random(std::random_device{}());
  std::atomic<bool> isGarbling{ false };
  std::atomic<int> answers{ 0 };
  std::atomic<int> spoiled{ 0 };
  const std::vector<std::string> zones{ "a", "b", "c" };
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < kReplicas; ++n) {
    Replica::Settings settings;
    settings.id = "i-" + std::to_string(n);
    settings.service = "ledger";
    settings.zone = zones[static_cast<std::size_t>(n)];
    settings.slots = 6;
    settings.queue = 24;
    settings.workMs = 20;
    replicas.push_back(std::make_unique<Replica>(settings, ledger, record));
    if (n >= static_cast<int>(kReplicas * kShare)) {
      continue;
    }
    replicas.back()->SetSender([&](Socket& aSocket, const Message& aRequest, std::string aBytes) {
      ++answers;
      const std::string name = "Response-Stamp";
      const std::size_t at = aBytes.find(name);
      bool isSpoiled = false;
      if (hasTrouble && isGarbling && at != std::string::npos) {
        const std::lock_guard<std::mutex> lock(mutex);
        isSpoiled = std::uniform_real_distribution<double>(0.0, 1.0)(random) < kDose;
      }
      if (isSpoiled) {
        ++spoiled;
        aBytes[isStatus ? 9 : at + 11] = isStatus ? '1' : 'b';
        record.Line("replica spoils a byte of its answer to " +
                    aRequest.Header("request-id").value_or(""));
      }
      return aSocket.Write(aBytes);
    });
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

  std::atomic<int> nextId{ 0 };
  std::atomic<int> unstamped{ 0 };
  std::atomic<int> late{ 0 };
  std::atomic<int> unanswered{ 0 };
  std::map<int, int> byStatus;
  const auto end = Clock::now() + milliseconds(isStatus ? 80000 : 30000);
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      const int port =
        deployment.daemons[static_cast<std::size_t>(n) % deployment.daemons.size()]->Callers();
      std::shared_ptr<Socket> socket;
      while (Clock::now() < end) {
        if (!socket && !(socket = Socket::Connect(port))) {
          SleepMs(100);
          continue;
        }
        const std::string id = "q" + std::to_string(100000 + nextId++);
        const std::string body = "order " + id;
        record.Line("client sends " + id);
        const bool isSent = socket->Write(
          "POST /orders/new HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nRequest-Id: " + id +
          "\r\nRequest-Deadline: 3000\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body);
        std::optional<Message> answer;
        const long long sentAt = NowMs();
        const auto until = Clock::now() + milliseconds(kTimeoutMs + 500);
        if (isSent) {
          answer = socket->Read(until);
        }
        while (answer && answer->Status() / 100 == 1) {
          // An interim answer: the final one comes after it.
          record.Line("client gets the interim " + std::to_string(answer->Status()) + " for " + id);
          answer = socket->Read(until);
        }
        const long long took = NowMs() - sentAt;
        late += took > kTimeoutMs ? 1 : 0;
        if (!answer && took > kTimeoutMs) {
          ++unanswered;
          record.Line("CONFIG: " + id + " has no final answer 0.5 s after its route's timeout_ms");
        }
        const int status = answer ? answer->Status() : 0;
        const bool hasStamp = answer && answer->Header("response-stamp");
        record.Line("client gets " + std::to_string(status) + (hasStamp ? " with" : " without") +
                    " Response-Stamp for " + id);
        if (status / 100 == 2 && !hasStamp) {
          ++unstamped;
          record.Line("MIXED: " + id + " got a success without the replica's Response-Stamp");
        }
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++byStatus[status];
        }
        if (!answer || answer->Header("connection").value_or("") == "close") {
          socket.reset();
        }
        SleepMs(5);
      }
    });
  }
  while (Clock::now() + milliseconds(kGarbleMs) < end) {
    SleepMs(1000);
    isGarbling = true;
    SleepMs(kGarbleMs);
    isGarbling = false;
  }
  for (std::thread& client : clients) {
    client.join();
  }
  std::string text;
  for (const auto& [status, n] : byStatus) {
    text += std::to_string(status) + ": " + std::to_string(n) + ", ";
  }
  text += "answers of the faulty replica " + std::to_string(answers) + ", spoiled " +
          std::to_string(spoiled) + "; MIXED " + std::to_string(unstamped) +
          ", longer than timeout_ms " + std::to_string(late) +
          ", of these without a final answer " + std::to_string(unanswered) + deployment.Stop();
  record.Line(text);
  record.Flush();
  std::cout << text << std::endl;
  // CONFIG: eight or more of them, and over a quarter.
  const bool isConfigBroken = unanswered >= 8 && unanswered * 4 > late;
  std::_Exit(unstamped > 0 || isConfigBroken ? 1 : 0);
}
