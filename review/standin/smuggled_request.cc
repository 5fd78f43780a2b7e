// Case: one malformed message, whose Transfer-Encoding isn't chunked, holds the text of a request.
#include "small_platform.hpp"

using namespace review;

namespace {

constexpr const char* kHost = "orders.example";
constexpr int kReplicas = 3;
constexpr int kClients = 6;
constexpr long long kLengthMs = 12000;
constexpr long long kTroubleAtMs = 6000;

std::string
MakePost(const std::string& aId, const std::string& aFraming, const std::string& aBody)
{
  return "POST /orders/new HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nRequest-Id: " + aId +
         "\r\nRequest-Deadline: 3000\r\n" + aFraming + "\r\n\r\n" + aBody;
}

std::string
MakePost(const std::string& aId, const std::string& aBody)
{
  return MakePost(aId, "Content-Length: " + std::to_string(aBody.size()), aBody);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: smuggled_request PROGRAM FOLDER RECORD TROUBLE\n";
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
    settings.zone = zones[static_cast<std::size_t>(n)];
    settings.slots = 6;
    settings.queue = 24;
    settings.workMs = 20;
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
  // The body of each request that a client sent, by its id.
  std::map<std::string, std::string> sent;
  std::map<int, int> byStatus;
  std::atomic<int> nextId{ 0 };
  const auto end = Clock::now() + milliseconds(kLengthMs);
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
        const std::string id = "q" + std::to_string(10000 + nextId++);
        const std::string body = "order " + id;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent[id] = body;
        }
        record.Line("client sends " + id);
        std::optional<Message> answer;
        if (socket->Write(MakePost(id, body))) {
          answer = socket->Read(Clock::now() + milliseconds(4000));
        }
        const int status = answer ? answer->Status() : 0;
        record.Line("client gets " + std::to_string(status) + " for " + id);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++byStatus[status];
        }
        if (!answer || answer->Header("connection").value_or("") == "close") {
          socket.reset();
        }
        SleepMs(20);
      }
    });
  }
  SleepMs(kTroubleAtMs);
  // An order whose text quotes a request, as a note to the stock might.
  const std::string quoted = MakePost("quoted1", "forty rolls");
  {
    const std::lock_guard<std::mutex> lock(mutex);
    sent["odd1"] = quoted;
  }
  const auto odd = Socket::Connect(deployment.daemons.front()->Callers());
  record.Line(std::string("one client sends odd1, whose body quotes a request, with ") +
              (hasTrouble ? "Transfer-Encoding: gzip" : "Content-Length"));
  odd->Write(hasTrouble ? MakePost("odd1", "Transfer-Encoding: gzip", quoted)
                        : MakePost("odd1", quoted));
  while (const auto answer = odd->Read(Clock::now() + milliseconds(1500))) {
    record.Line("its client gets " + std::to_string(answer->Status()) + " for " +
                answer->Header("request-id").value_or("no id"));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int unasked = 0;
  for (const auto& [id, runs] : ledger.All()) {
    const auto it = sent.find(id);
    for (const Ledger::Run& run : runs) {
      if (it == sent.end()) {
        ++unasked;
        record.Line("UNASKED: " + run.replica + " ran " + id + ", which no client sent; body '" +
                    run.body + "'");
      } else if (run.body != it->second) {
        ++unasked;
        record.Line("UNASKED: " + run.replica + " ran " + id + " with another body, of " +
                    std::to_string(run.body.size()) + " bytes instead of " +
                    std::to_string(it->second.size()));
      }
    }
  }
  std::string text = "requests " + std::to_string(sent.size());
  for (const auto& [status, n] : byStatus) {
    text += ", " + std::to_string(status) + ": " + std::to_string(n);
  }
  text += "; UNASKED " + std::to_string(unasked) + deployment.Stop();
  record.Line(text);
  record.Flush();
  std::cout << text << std::endl;
  std::_Exit(unasked > 0 ? 1 : 0);
}
