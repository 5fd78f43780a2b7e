// A machine starts while a zone is evacuated. It reads the operator's keys with `serializable`,
// page by page; the second page comes from a member of the store that is two seconds behind. Counts
// the requests that the machine sends to the evacuated zone afterwards.
#include "stage.hh"

namespace {

using namespace stage;

/** Bounds of sites/shadenet-search.toml. */
constexpr double kEvacuateSeconds = 5.0;
constexpr double kContactSeconds = 4.0;
/** How far the lagging member is behind; `platform_compact` has x = 6 at most. */
constexpr double kLagSeconds = 2.0;
constexpr double kObservedSeconds = 12.0;
/** `value_bytes` of the store is 1,048,576. */
constexpr std::size_t kConfigurationBytes = 800'000;

std::string
Configuration()
{
  json routes = json::array({ MakeRoute("r-main", "/main/", "dispatch") });
  for (std::size_t bytes = 0, n = 0; bytes < kConfigurationBytes; ++n) {
    const std::string number = std::to_string(n);
    routes.push_back(MakeRoute("r-" + number, "/added" + number + "/", "dispatch"));
    bytes += routes.back().dump().size() + 1;
  }
  return json{ { "version", 3 },
               { "routes", std::move(routes) },
               { "services",
                 json::array({ { { "name", "dispatch" }, { "max_connections", 110 } } }) },
               { "limits", json::object() } }
    .dump();
}

/** The store behind its members: one is current, the other one lags. */
class Members
{
public:
  explicit Members(Store& aStore)
    : store(aStore)
  {
    std::thread([this] {
      while (true) {
        {
          const std::lock_guard lock(mutex);
          copies.emplace_back(Now(), store.Take());
          while (copies.size() > 1 && copies[1].first <= Now() - kLagSeconds) {
            copies.pop_front();
          }
        }
        SleepMs(50);
      }
    }).detach();
  }

  std::string Handle(const Message& request)
  {
    const bool mayLag = request.Path() == "/kv-range" && request.Query("serializable") == "1";
    if (!mayLag || !HasTrouble()) {
      return store.Handle(request);
    }
    const std::string prefix = request.Query("prefix");
    const std::string after = request.Query("after");
    // Each page is a read of its own, and may be answered by another member than the one before.
    const bool isLagging = !after.empty();
    if (!isLagging) {
      Record::Line("serializable read of '" + prefix + "' after '" + after +
                   "' answered by the current member, as_of " + std::to_string(store.Revision()));
      return store.Handle(request);
    }
    const std::lock_guard lock(mutex);
    const Store::Copy& copy = copies.front().second;
    Record::Line("serializable read of '" + prefix + "' after '" + after +
                 "' answered by the lagging member, as_of " + std::to_string(copy.revision));
    return Store::Range(prefix, after, copy.items, copy.revision);
  }

private:
  Store& store;
  std::mutex mutex;
  std::deque<std::pair<double, Store::Copy>> copies;
};

void
Play(const std::string& folder)
{
  const std::map<std::string, std::string> zones{ { "ikeja", "lagos" }, { "nassarawa", "kano" } };
  Store store;
  Members members(store);
  Server platform([&members](const Message& request, int) { return members.Handle(request); });
  const std::string document = Configuration();
  Record::Line("the configuration has " + std::to_string(document.size()) + " bytes");
  store.Write("op/config", document);

  std::atomic<double> evacuatedAt{ 1e9 };
  std::atomic<double> inTouchAt{ 1e9 };
  std::atomic<int> late{ 0 };
  std::atomic<int> runs{ 0 };
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < 4; ++n) {
    const std::string zone = n < 2 ? "ikeja" : "nassarawa";
    replicas.push_back(
      std::make_unique<Replica>(store, "i-" + std::to_string(n), "dispatch", zone, 6));
    replicas.back()->onRun = [&, zone](const Replica& replica, const Message& request) {
      ++runs;
      const bool isLate = zone == "nassarawa" && Now() > evacuatedAt + kEvacuateSeconds &&
                          Now() > inTouchAt;
      if (isLate && late++ < 10) {
        Record::Line("request " + request.Header("Request-Id") + " reaches " + replica.Id() +
                     " in nassarawa " + std::to_string(Now() - evacuatedAt) +
                     " s after the evacuation was acknowledged");
      }
    };
  }

  Daemon daemon({ "front-nassarawa-1", "nassarawa", "kano" }, zones, platform.Address(), folder);
  SleepMs(4000);
  store.Write("op/evacuate/nassarawa", "{}");
  evacuatedAt = Now();
  Record::Line("the evacuation of nassarawa is acknowledged at revision " +
               std::to_string(store.Revision()));
  SleepMs(500);
  const double startedAt = Now();
  daemon.Start();
  if (!daemon.AwaitReady(8.0)) {
    CannotRun("the daemon is not ready");
  }
  inTouchAt = startedAt + kContactSeconds;
  Client client(daemon.Front());
  int answered = 0;
  for (int n = 0; Now() < startedAt + kObservedSeconds; ++n) {
    const std::string id = "r-" + std::to_string(n);
    const Answer answer = client.Exchange("GET",
                                          "/main/" + id,
                                          { { "Host", "leno12.example" },
                                            { "Request-Id", id },
                                            { "Request-Deadline", "2000" } },
                                          "",
                                          3.0);
    answered += answer.end == ReadEnd::Complete && answer.message.Status() == 200 ? 1 : 0;
    SleepMs(30);
  }
  Record::Line("requests answered with 200: " + std::to_string(answered) + ", run: " +
               std::to_string(runs) + ", sent to the evacuated zone too late: " +
               std::to_string(late));
  if (answered < 50) {
    CannotRun("too few requests were served");
  }
  Finish(late > 0 ? kBroken : kHeld);
}

} // namespace

int
main(int count, char** arguments)
{
  return RunCase(count, arguments, Play);
}
