// Case: a full replica's refusal (503, Not-Executed) is also sent a second time, late.
#include "small_platform.hpp"

using namespace review;

namespace {

constexpr const char* kHost = "orders.example";
constexpr int kReplicas = 3;
constexpr int kClients = 10;
/** garble "extra late" of the site file: 0.6 of the replicas, 0.03 of their answers, for 5 s. */
constexpr double kShare = 0.6;
constexpr double kDose = 0.03;
constexpr long long kGarbleMs = 5000;
constexpr long long kCalmMs = 1000;
constexpr long long kLengthMs = 80000;

struct Outcome
{
  int status = 0;
  std::string stamp;
  std::string body;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: late_duplicate PROGRAM FOLDER RECORD TROUBLE\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  StartTime();
  const std::string program = aArguments[1];
  const std::string folder = aArguments[2];
  Record record(aArguments[3]);
  const bool hasTrouble = std::string(aArguments[4]) != "0";

  Ledger ledger;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::mutex garbleMutex;
  std::mt19937_64 random(std::random_device{}());
  std::atomic<bool> isGarbling{ false };
  std::atomic<int> answers{ 0 };
  std::atomic<int> extras{ 0 };
  const std::vector<std::string> zones{ "a", "b", "c" };
  for (int n = 0; n < kReplicas; ++n) {
    Replica::Settings settings;
    settings.id = "i-" + std::to_string(n);
    settings.service = "ledger";
    settings.zone = zones[static_cast<std::size_t>(n)];
    settings.slots = 2;
    settings.queue = 3;
    settings.workMs = 30;
    replicas.push_back(std::make_unique<Replica>(settings, ledger, record));
    const bool isFaulty = n < static_cast<int>(kReplicas * kShare);
    if (!isFaulty) {
      continue;
    }
    Replica& replica = *replicas.back();
    replica.SetSender([&](Socket& aSocket, const Message&, std::string aBytes) {
      ++answers;
      {
        const std::lock_guard<std::mutex> lock(garbleMutex);
        aSocket.lateCopy.clear();
        const double draw = std::uniform_real_distribution<double>(0.0, 1.0)(random);
        if (hasTrouble && isGarbling && draw < kDose) {
          aSocket.lateCopy = aBytes;
        }
      }
      return aSocket.Write(aBytes);
    });
    // The second answer arrives where the next one is expected.
    replica.SetOnRead([&](Socket& aSocket, const Message& aRequest) {
      const std::string extra = std::exchange(aSocket.lateCopy, {});
      if (!extra.empty()) {
        ++extras;
        record.Line("late second answer '" + extra.substr(9, 3) + "' of " +
                    extra.substr(extra.find("Request-Id"), 30).substr(0, 24) + " before " +
                    aRequest.Header("request-id").value_or(""));
        aSocket.Write(extra);
      }
    });
  }
  Deployment deployment(program, folder);
  // Orders stay in their region, where the service has one replica.
  deployment.Configure(
    json::array({ MakeRoute(kHost, "/orders/", "non_idempotent", "ledger", { "region-a" }) }),
    { "ledger" });
  for (const auto& replica : replicas) {
    deployment.Announce(*replica);
  }
  if (!deployment.Start()) {
    return 2;
  }
  const auto& daemons = deployment.daemons;

  std::mutex outcomeMutex;
  std::map<std::string, Outcome> outcomes;
  std::atomic<int> nextId{ 0 };
  const auto end = Clock::now() + milliseconds(kLengthMs);
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      std::mt19937 own(static_cast<unsigned>(n));
      const int port = daemons[static_cast<std::size_t>(n) % daemons.size()]->Callers();
      std::shared_ptr<Socket> socket;
      while (Clock::now() < end) {
        if (!socket) {
          socket = Socket::Connect(port);
          if (!socket) {
            SleepMs(100);
            continue;
          }
        }
        const std::string id = "q" + std::to_string(100000 + nextId++);
        const std::string body = "order " + id;
        record.Line("client sends " + id);
        const std::string head =
          "POST /orders/new HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nRequest-Id: " + id +
          "\r\nRequest-Deadline: 3000\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n";
        Outcome outcome;
        std::optional<Message> answer;
        if (socket->Write(head + body)) {
          answer = socket->Read(Clock::now() + milliseconds(4000));
        }
        if (answer) {
          outcome.status = answer->Status();
          outcome.stamp = answer->Header("response-stamp").value_or("");
          outcome.body = answer->body;
        }
        record.Line("client gets " + std::to_string(outcome.status) + " for " + id);
        {
          const std::lock_guard<std::mutex> lock(outcomeMutex);
          outcomes[id] = outcome;
        }
        if (!answer || answer->Header("connection").value_or("") == "close") {
          socket.reset();
        }
        double pause = 10.0 + static_cast<double>(own() % 40);
        if (answer) {
          if (const auto wait = answer->Header("retry-after")) {
            pause = std::atof(wait->c_str()) * 1000.0;
          }
        }
        SleepMs(static_cast<long long>(pause));
      }
    });
  }
  while (Clock::now() + milliseconds(kGarbleMs) < end) {
    SleepMs(kCalmMs);
    isGarbling = true;
    SleepMs(kGarbleMs);
    isGarbling = false;
  }
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(4000);

  int twice = 0;
  int refused = 0;
  int foreign = 0;
  std::map<int, int> byStatus;
  const auto runs = ledger.All();
  for (const auto& [id, list] : runs) {
    if (list.size() > 1) {
      ++twice;
      std::string where;
      for (const Ledger::Run& run : list) {
        where += " " + run.replica + "@" + std::to_string(run.atMs);
      }
      record.Line("TWICE: " + id + " has run " + std::to_string(list.size()) + " times:" + where);
    }
  }
  for (const auto& [id, outcome] : outcomes) {
    ++byStatus[outcome.status];
    const auto it = runs.find(id);
    const bool isPromise = outcome.status == 429 || outcome.status == 503 ||
                           outcome.status == 408 || outcome.status == 421;
    if (isPromise && it != runs.end()) {
      ++refused;
      record.Line("REFUSED: " + id + " was answered " + std::to_string(outcome.status) +
                  " and has run");
    }
    if (outcome.status / 100 == 2 &&
        (it == runs.end() || outcome.body != Replica::BodyOf(id) || outcome.stamp.empty())) {
      ++foreign;
      record.Line("MIXED: " + id);
    }
  }
  std::string text = "requests " + std::to_string(outcomes.size());
  for (const auto& [status, n] : byStatus) {
    text += ", " + std::to_string(status) + ": " + std::to_string(n);
  }
  text += "; answers of the faulty replicas " + std::to_string(answers) + ", late second answers " +
          std::to_string(extras) + "; TWICE " + std::to_string(twice) + ", REFUSED " +
          std::to_string(refused) + ", MIXED " + std::to_string(foreign);
  text += deployment.Stop();
  record.Line(text);
  record.Flush();
  std::cout << text << std::endl;
  std::_Exit(twice + refused + foreign > 0 ? 1 : 0);
}
