// Machines have the narrowest link of their site. The configuration grows while it runs, then all
// processes are killed and started again. Counts which requests are served before and afterwards.
#include "stage.hh"

namespace {

using namespace stage;

/** The smaller machines of grown/shadenet-search-grown.toml, and its bounds. */
constexpr int kMemoryMb = 160;
constexpr double kCpuShare = 0.12;
constexpr double kLinkMbps = 20.0;
constexpr double kRecoverySeconds = 15.0;
constexpr double kObservedSeconds = 15.0;
/** The rule: less than a quarter is served. */
constexpr double kLeastShare = 0.25;
/** `value_bytes` of the store is 1,048,576. */
constexpr std::size_t kFirstBytes = 50'000;
constexpr std::size_t kGrownBytes = 1'000'000;

std::string
Configuration(int version, std::size_t size)
{
  json routes = json::array({ MakeRoute("r-main", "/main/", "dispatch") });
  for (std::size_t bytes = 0, n = 0; bytes < size; ++n) {
    const std::string number = std::to_string(n);
    routes.push_back(MakeRoute("r-" + number, "/added" + number + "/", "dispatch"));
    bytes += routes.back().dump().size() + 1;
  }
  return json{ { "version", version },
               { "routes", std::move(routes) },
               { "services",
                 json::array({ { { "name", "dispatch" }, { "max_connections", 110 } } }) },
               { "limits", json::object() } }
    .dump();
}

struct Served
{
  int sent = 0;
  int served = 0;
};

/** Sends requests to both machines in turn, on kept connections if there are any. */
Served
Ask(const std::vector<std::unique_ptr<Daemon>>& daemons, double seconds, const std::string& prefix)
{
  Served result;
  std::vector<std::unique_ptr<Client>> clients;
  for (const auto& daemon : daemons) {
    clients.push_back(std::make_unique<Client>(daemon->Front()));
  }
  const double until = Now() + seconds;
  while (Now() < until) {
    const std::string id = prefix + std::to_string(result.sent);
    Client& client = *clients[static_cast<std::size_t>(result.sent++) % clients.size()];
    const Answer answer = client.Exchange("GET",
                                          "/main/" + id,
                                          { { "Host", "leno12.example" },
                                            { "Request-Id", id },
                                            { "Request-Deadline", "2000" } },
                                          "",
                                          3.0);
    const bool isServed = answer.end == ReadEnd::Complete && answer.message.Status() == 200 &&
                          answer.message.body == "body of " + id;
    result.served += isServed ? 1 : 0;
    if (result.sent % 50 <= 2) {
      Record::Line("request " + id + ": " + NameOf(answer.end) + ", status " +
                   (answer.end == ReadEnd::Complete ? std::to_string(answer.message.Status())
                                                    : std::string("none")));
    }
    SleepMs(50);
  }
  return result;
}

void
Play(const std::string& folder)
{
  const std::map<std::string, std::string> zones{ { "ikeja", "lagos" }, { "nassarawa", "kano" } };
  Store store;
  const auto handle = [&store](const Message& request, int) { return store.Handle(request); };
  Link firstLink(kLinkMbps);
  Link secondLink(kLinkMbps);
  Server firstPlatform(handle, &firstLink);
  Server secondPlatform(handle, &secondLink);
  store.Write("op/config", Configuration(1, kFirstBytes));
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < 3; ++n) {
    replicas.push_back(
      std::make_unique<Replica>(store, "i-" + std::to_string(n), "dispatch", "ikeja", 6));
  }
  std::vector<std::unique_ptr<Daemon>> daemons;
  daemons.push_back(std::make_unique<Daemon>(
    DaemonPlace{ "front-ikeja-1", "ikeja", "lagos", kMemoryMb, kCpuShare },
    zones,
    firstPlatform.Address(),
    folder));
  daemons.push_back(std::make_unique<Daemon>(
    DaemonPlace{ "front-nassarawa-1", "nassarawa", "kano", kMemoryMb, kCpuShare },
    zones,
    secondPlatform.Address(),
    folder));
  for (const auto& daemon : daemons) {
    daemon->SetSeeds({ daemons[0]->Peers(), daemons[1]->Peers() });
    daemon->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->AwaitReady(10.0)) {
      CannotRun(daemon->Name() + " is not ready with the first configuration");
    }
  }
  const std::string grown = Configuration(2, kGrownBytes);
  store.Write("op/config", grown);
  Record::Line("the configuration grows to " + std::to_string(grown.size()) + " bytes");
  SleepMs(6000);
  const Served before = Ask(daemons, 5.0, "before-");
  Record::Line("before the fault: sent " + std::to_string(before.sent) + ", served " +
               std::to_string(before.served));
  if (before.served * 4 < before.sent || before.sent < 20) {
    CannotRun("too few requests were served before the fault");
  }
  if (HasTrouble()) {
    for (const auto& daemon : daemons) {
      daemon->Kill();
    }
    Record::Line("all processes are killed");
    SleepMs(1400);
    for (const auto& daemon : daemons) {
      daemon->Start();
    }
  }
  const double backAt = Now();
  Ask(daemons, kRecoverySeconds, "during-");
  const Served after = Ask(daemons, kObservedSeconds, "after-");
  Record::Line("from " + std::to_string(kRecoverySeconds) + " to " +
               std::to_string(Now() - backAt) + " s after the machines are back: sent " +
               std::to_string(after.sent) + ", served " + std::to_string(after.served) +
               ", machines that are ready: " +
               std::to_string(std::count_if(daemons.begin(),
                                            daemons.end(),
                                            [](const auto& daemon) { return daemon->IsReady(); })));
  Finish(after.served < kLeastShare * after.sent ? kBroken : kHeld);
}

} // namespace

int
main(int count, char** arguments)
{
  return RunCase(count, arguments, Play);
}
