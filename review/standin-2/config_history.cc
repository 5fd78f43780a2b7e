// The operator changes a large configuration again and again, as an operator does over days. The
// platform ends a process whose memory exceeds its limit. Counts the requests that were passed on
// to a replica and whose kept connection ended without an answer.
#include "stage.hh"

namespace {

using namespace stage;

/** The smallest `memory_mb` of the machines in grown/shadenet-search-grown.toml. */
constexpr int kMemoryMb = 160;
/** `value_bytes` of the store. */
constexpr std::size_t kValueBytes = 1'048'576;
constexpr std::size_t kConfigurationBytes = 1'040'000;
/** Storms of grown/shadenet-search-grown.toml: for_s = 4.0, gap_s = 0.33. */
constexpr int kStorms = 20;
constexpr int kChangesInStorm = 12;
constexpr int kChangeGapMs = 330;
constexpr int kStormGapMs = 1000;
/** The rule allows three. */
constexpr int kAllowedLosses = 3;

std::string
Configuration(int version)
{
  json routes = json::array({ MakeRoute("r-main", "/main/", "dispatch") });
  json document = { { "version", version },
                    { "services",
                      json::array({ { { "name", "dispatch" }, { "max_connections", 110 } } }) },
                    { "limits", json::object() } };
  static const std::string filler = [] {
    std::string text;
    for (int n = 0; text.size() < kConfigurationBytes; ++n) {
      const std::string number = std::to_string(n);
      text += "," + MakeRoute("r-" + number, "/added" + number + "/", "dispatch").dump();
    }
    return text;
  }();
  document["routes"] = json::array();
  std::string text = document.dump();
  const std::string mark = "\"routes\":[]";
  routes[0]["timeout_ms"] = 5000 + version % 7;
  text.replace(text.find(mark), mark.size(), "\"routes\":[" + routes[0].dump() + filler + "]");
  return text;
}

struct Counts
{
  std::mutex mutex;
  std::set<std::string> arrived;
  /** Requests on kept connections that ended without an answer. */
  std::vector<std::string> unanswered;
  int answered = 0;
  int wrong = 0;
};

void
Play(const std::string& folder)
{
  const std::map<std::string, std::string> zones{ { "ikeja", "lagos" }, { "nassarawa", "kano" } };
  Store store;
  Server platform([&store](const Message& request, int) { return store.Handle(request); });
  Counts counts;
  const std::string first = Configuration(1);
  if (first.size() > kValueBytes) {
    CannotRun("the configuration is larger than the store allows");
  }
  Record::Line("the configuration has " + std::to_string(first.size()) + " bytes");
  store.Write("op/config", first);

  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < 6; ++n) {
    replicas.push_back(std::make_unique<Replica>(
      store, "i-" + std::to_string(n), "dispatch", n % 2 == 0 ? "ikeja" : "nassarawa", 6));
    replicas.back()->workMs = 400;
    replicas.back()->onRun = [&counts](const Replica&, const Message& request) {
      const std::lock_guard lock(counts.mutex);
      counts.arrived.insert(request.Header("Request-Id"));
    };
  }

  std::vector<std::unique_ptr<Daemon>> daemons;
  daemons.push_back(std::make_unique<Daemon>(
    DaemonPlace{ "front-ikeja-1", "ikeja", "lagos", kMemoryMb }, zones, platform.Address(), folder));
  daemons.push_back(std::make_unique<Daemon>(
    DaemonPlace{ "front-nassarawa-1", "nassarawa", "kano", kMemoryMb }, zones, platform.Address(),
    folder));
  for (const auto& daemon : daemons) {
    daemon->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->AwaitReady(10.0)) {
      CannotRun(daemon->Name() + " is not ready");
    }
  }
  SleepMs(1500);

  std::atomic<bool> isOver{ false };
  std::vector<std::thread> clients;
  for (std::size_t c = 0; c < 24; ++c) {
    clients.emplace_back([&, c] {
      Client client(daemons[c % daemons.size()]->Front());
      int onConnection = 0;
      for (int n = 0; !isOver; ++n) {
        if (!client.IsOpen()) {
          onConnection = 0;
          if (!client.Connect()) {
            --n;
            SleepMs(50);
            continue;
          }
        }
        const std::string id = "c" + std::to_string(c) + "-" + std::to_string(n);
        const Answer answer = client.Exchange("GET",
                                              "/main/" + id,
                                              { { "Host", "leno12.example" },
                                                { "Request-Id", id },
                                                { "Request-Deadline", "5000" } },
                                              "",
                                              6.0);
        const std::lock_guard lock(counts.mutex);
        if (answer.end == ReadEnd::Complete) {
          counts.answered += answer.message.Status() == 200 ? 1 : 0;
          counts.wrong += answer.message.Status() == 200 &&
                              answer.message.body != "body of " + id
                            ? 1
                            : 0;
        } else if (onConnection > 0 && counts.arrived.count(id) > 0) {
          counts.unanswered.push_back(id);
          Record::Line("request " + id + " ran at a replica, and its connection ended: " +
                       NameOf(answer.end));
        }
        ++onConnection;
      }
    });
  }

  // The platform: a process that exceeds its memory is killed.
  std::atomic<int> killed{ 0 };
  std::atomic<int> version{ 1 };
  std::thread platformWatch([&] {
    for (int n = 0; !isOver; ++n) {
      for (const auto& daemon : daemons) {
        if (killed > 0) {
          continue;
        }
        const long kb = daemon->MemoryKb();
        if (n % 100 == 0) {
          Record::Line(daemon->Name() + " has " + std::to_string(kb / 1024) + " MB at version " +
                       std::to_string(version));
        }
        if (kb > kMemoryMb * 1024L) {
          Record::Line(daemon->Name() + " exceeds its memory with " + std::to_string(kb / 1024) +
                       " MB at version " + std::to_string(version) + " and is killed");
          daemon->Kill();
          ++killed;
        }
      }
      SleepMs(50);
    }
  });

  for (int storm = 0; storm < kStorms && killed == 0; ++storm) {
    for (int n = 0; n < kChangesInStorm && killed == 0; ++n) {
      if (HasTrouble()) {
        store.Write("op/config", Configuration(++version));
      }
      SleepMs(kChangeGapMs);
    }
    SleepMs(kStormGapMs);
  }
  SleepMs(500);
  for (const auto& daemon : daemons) {
    if (!daemon->IsRunning()) {
      daemon->Start();
    }
  }
  SleepMs(2500);
  isOver = true;
  platformWatch.join();
  for (std::thread& client : clients) {
    client.join();
  }
  Record::Line("versions written: " + std::to_string(version) + ", requests answered with 200: " +
               std::to_string(counts.answered) + ", wrong answers: " +
               std::to_string(counts.wrong) + ", processes killed for their memory: " +
               std::to_string(killed) + ", requests lost: " +
               std::to_string(counts.unanswered.size()));
  if (counts.answered < 100) {
    CannotRun("too few requests were served");
  }
  Finish(static_cast<int>(counts.unanswered.size()) > kAllowedLosses ? kBroken : kHeld);
}

} // namespace

int
main(int count, char** arguments)
{
  return RunCase(count, arguments, Play);
}
