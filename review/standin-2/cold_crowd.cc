// A power cut takes all machines and all replicas of an index. The replicas come back cold, and
// the machines start together, after the leases of their entries in the store have ended. Counts
// what each cold replica gets in one second.
#include "stage.hh"

namespace {

using namespace stage;

/** Machines, replicas and bounds of demands/sanabel-search-grown.toml, with 4 of its 36 shards. */
constexpr int kMemoryMb = 360;
constexpr double kCpuShare = 0.27;
constexpr int kShards = 4;
constexpr int kSlots = 4;
constexpr int kMaxConnections = 64;
constexpr int kWorkMs = 10;
constexpr double kColdOverrun = 1.5;
constexpr double kColdSlack = 5.0;
constexpr double kColdSeconds = 3.0;
/** What a cold replica tolerates; the site file sets no limit. */
constexpr double kColdPerSecond = 5.0;
constexpr double kAllowed = kColdPerSecond * kColdOverrun + kColdSlack;
/** "Crashes at a rate well above that": three times the rate. */
constexpr int kCrashesAt = 16;
constexpr double kRequestsPerSecond = 105.0;
constexpr double kDeadlineSeconds = 1.0;
/** Before the retry of a request that could not be sent. */
constexpr double kPauseSeconds = 0.1;
/** `herd_kill` on core, off, and `srv_crash`: for_s (5). */
constexpr int kPowerOffMs = 5000;
/** The replicas are back this much sooner than the machines. */
constexpr int kReplicasSoonerMs = 400;
constexpr int kClients = 50;
constexpr int kStoreAnswerMs = 4;
constexpr int kHeartbeatMs = 1200;

std::string
Shard(int number)
{
  return "pantry-finder-" + std::to_string(number);
}

std::string
Configuration()
{
  json route = MakeRoute("r-main", "/main/", "");
  route.erase("service");
  route["timeout_ms"] = 1000;
  route["objective_ms"] = 150;
  route["top_k"] = 10;
  route["min_shard_ratio"] = 0.95;
  json services = json::array();
  for (int n = 0; n < kShards; ++n) {
    route["fanout_services"].push_back(Shard(n));
    services.push_back({ { "name", Shard(n) },
                         { "max_connections", kMaxConnections },
                         { "cold_period_s", kColdSeconds },
                         { "cold_per_s", kColdPerSecond } });
  }
  return json{ { "version", 3 },
               { "routes", json::array({ std::move(route) }) },
               { "services", std::move(services) },
               { "limits", json::object() } }
    .dump();
}

/** What arrived at a replica while it was cold. */
class Arrivals
{
public:
  void Add(double sent, double arrived)
  {
    const std::lock_guard lock(mutex);
    arrivals.emplace_back(sent, arrived);
  }

  /** @return how many arrived in the last second. */
  int CountRecent(double now)
  {
    const std::lock_guard lock(mutex);
    return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [now](const auto& a) {
      return a.second > now - 1.0;
    }));
  }

  /** @return the start of the second with most requests that were sent and arrived in it. */
  std::pair<double, int> Most()
  {
    const std::lock_guard lock(mutex);
    std::pair<double, int> most{ 0.0, 0 };
    for (const auto& [begin, arrived] : arrivals) {
      const auto count = static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(), [from = begin](const auto& arrival) {
          return arrival.first >= from && arrival.second < from + 1.0;
        }));
      if (count > most.second) {
        most = { begin, count };
      }
    }
    return most;
  }

private:
  std::mutex mutex;
  std::vector<std::pair<double, double>> arrivals;
};

void
Play(const std::string& folder)
{
  const std::map<std::string, std::string> zones{
    { "amman-marka", "amman" },  { "amman-sahab", "amman" },  { "irbid-hashmi", "irbid" },
    { "irbid-ramtha", "irbid" }, { "aqaba-port", "aqaba" },   { "aqaba-shallaleh", "aqaba" },
  };
  const std::vector<std::string> replicaZones{ "amman-marka", "irbid-hashmi", "aqaba-port" };
  Store store;
  Server platform([&store](const Message& request, int) {
    SleepMs(kStoreAnswerMs);
    return store.Handle(request);
  });
  store.Write("op/config", Configuration());

  std::mutex mutex;
  std::map<std::string, double> sentAt;
  std::map<std::string, Arrivals> cold;
  std::set<std::string> crashed;
  const auto watch = [&](Replica& replica, const Message& request) {
    if (Now() >= replica.coldUntil) {
      return;
    }
    const std::lock_guard lock(mutex);
    Arrivals& arrivals = cold[replica.Id()];
    arrivals.Add(sentAt.at(request.Header("Request-Id")), Now());
    if (arrivals.CountRecent(Now()) >= kCrashesAt && crashed.insert(replica.Id()).second) {
      replica.Crash();
      Record::Line(replica.Id() + " crashes with " + std::to_string(replica.Running()) +
                   " requests in it");
    }
  };
  std::vector<std::unique_ptr<Replica>> replicas;
  const auto startReplicas = [&](const std::string& generation, double coldSeconds) {
    for (int shard = 0; shard < kShards; ++shard) {
      for (const std::string& zone : replicaZones) {
        replicas.push_back(std::make_unique<Replica>(
          store, "i-" + std::to_string(shard) + "-" + zone + generation, Shard(shard), zone, kSlots,
          coldSeconds));
        replicas.back()->workMs = kWorkMs;
        replicas.back()->onArrival = watch;
      }
    }
  };
  startReplicas("a", 0.0);

  std::vector<std::unique_ptr<Daemon>> daemons;
  for (const auto& [zone, region] : zones) {
    for (int n = 0; n < (zone == "amman-marka" ? 5 : 4); ++n) {
      daemons.push_back(std::make_unique<Daemon>(
        DaemonPlace{
          "front-" + zone + "-" + std::to_string(n + 1), zone, region, kMemoryMb, kCpuShare },
        zones,
        platform.Address(),
        folder));
    }
  }
  const std::vector<std::string> seeds{ daemons[0]->Peers(), daemons[9]->Peers(),
                                        daemons[17]->Peers() };
  for (const auto& daemon : daemons) {
    daemon->SetSeeds(seeds);
    daemon->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->AwaitReady(10.0)) {
      CannotRun(daemon->Name() + " is not ready");
    }
  }
  // Traffic starts 14 s after the machines do.
  SleepMs(14'000);

  std::atomic<bool> isOver{ false };
  std::map<std::string, int> answers;
  const auto ask = [&](Client& client, const std::string& id, double deadline) {
    const auto left = static_cast<int>(std::max(0.001, deadline - Now()) * 1000.0);
    {
      const std::lock_guard lock(mutex);
      sentAt[id] = Now();
    }
    const Answer answer = client.Exchange("GET",
                                          "/main/" + id,
                                          { { "Host", "leno12.example" },
                                            { "Request-Id", id },
                                            { "Request-Deadline", std::to_string(left) } },
                                          "",
                                          left / 1000.0);
    const std::lock_guard lock(mutex);
    ++answers[answer.end == ReadEnd::Complete ? std::to_string(answer.message.Status())
                                              : NameOf(answer.end)];
    return answer;
  };
  std::vector<std::thread> clients;
  const double begin = Now();
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      const std::string address = daemons[static_cast<std::size_t>(n) % daemons.size()]->Front();
      Client kept(address);
      const double interval = kClients / kRequestsPerSecond;
      double due = begin + interval * n / kClients;
      for (int sequence = 0; !isOver; ++sequence) {
        std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, due - Now())));
        due = std::max(due + interval, Now());
        const std::string id = "c-" + std::to_string(n) + "-" + std::to_string(sequence);
        const double deadline = Now() + kDeadlineSeconds;
        const Answer first = ask(kept, id, deadline);
        const bool isRefused =
          first.end == ReadEnd::Complete && first.message.Status() == 503;
        if (first.end == ReadEnd::Complete && !isRefused) {
          continue;
        }
        // One retry on a new connection, no sooner than the machine says.
        const double left = std::max(0.0, deadline - Now());
        const double wait =
          isRefused ? std::min(std::atof(first.message.Header("Retry-After").c_str()), left / 3.0)
                    : kPauseSeconds;
        std::this_thread::sleep_for(std::chrono::duration<double>(wait));
        Client fresh(address);
        ask(fresh, id + "-again", deadline);
      }
    });
  }
  SleepMs(5000);

  for (const auto& replica : replicas) {
    replica->Crash();
  }
  Record::Line("all replicas lose power");
  if (HasTrouble()) {
    for (const auto& daemon : daemons) {
      daemon->Kill();
    }
    Record::Line("all machines lose power");
  }
  // The platform removes entries after three heartbeats of silence.
  SleepMs(3 * kHeartbeatMs);
  for (const auto& replica : replicas) {
    replica->RemoveEntry();
  }
  SleepMs(kPowerOffMs - kReplicasSoonerMs - 3 * kHeartbeatMs);
  startReplicas("b", kColdSeconds);
  Record::Line("the replicas are back, cold for " + std::to_string(kColdSeconds) + " s");
  SleepMs(kReplicasSoonerMs);
  const double backAt = Now();
  if (HasTrouble()) {
    for (const auto& daemon : daemons) {
      daemon->Start();
    }
  }
  SleepMs(8000);
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& [status, count] : answers) {
    Record::Line("answers " + status + ": " + std::to_string(count));
  }
  bool isBroken = false;
  int all = 0;
  for (auto& [id, arrivals] : cold) {
    const auto [from, most] = arrivals.Most();
    Record::Line("most requests to " + id + " in one second while it was cold: " +
                 std::to_string(most) + ", from " + std::to_string(from - backAt) +
                 " s after the machines are back; allowed: " + std::to_string(kAllowed));
    isBroken = isBroken || most > kAllowed;
    all += most;
  }
  Record::Line("replicas that crashed: " + std::to_string(crashed.size()));
  if (all == 0) {
    CannotRun("no request reached a cold replica");
  }
  Finish(isBroken ? kBroken : kHeld);
}

} // namespace

int
main(int count, char** arguments)
{
  return RunCase(count, arguments, Play);
}
