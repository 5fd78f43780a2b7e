#pragma once

#include "core/random_source.h"
#include "rollout/rollout_control.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::rollout::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const core::TimePoint kStart{ seconds{ 1000 } };
constexpr core::Duration kStep = milliseconds{ 50 };
constexpr std::int64_t kWallMs = 1'700'000'000'000;

/** One answer of a replica. */
struct Answer
{
  bool hasFailed = false;
  double workMs = 10.0;
};

/** What a request meets. */
struct Meeting
{
  std::string version;
  std::string route;
  std::string domain;
  /** Since the order. */
  double seconds = 0.0;
  /** Whether most requests go to the new version. */
  bool isLoaded = false;
};

/** Daemons with callers, a store and messages between them, under virtual time. */
class Fleet
{
public:
  explicit Fleet(std::size_t aDaemons, double aRate = 100.0)
    : rate(aRate)
  {
    for (std::size_t n = 0; n < aDaemons; ++n) {
      ranking.push_back("vm-" + std::to_string(1000 + n));
    }
    daemons.resize(aDaemons);
    for (std::size_t n = 0; n < aDaemons; ++n) {
      Restart(n);
    }
  }

  std::string service = "single";
  double rate;
  core::Duration duration = seconds{ 60 };
  core::TimePoint now = kStart;
  core::RandomSource random{ 7 };
  std::vector<std::string> ranking;
  std::vector<std::unique_ptr<RolloutControl>> daemons;
  std::set<std::size_t> dead;
  /** Daemons that exchange no messages with others. */
  std::set<std::size_t> cut;
  bool isStoreDown = false;
  std::function<Answer(const Meeting&)> answer = [](const Meeting&) { return Answer{}; };
  /** Counts between the order and the deadline. */
  std::uint64_t requests = 0;
  std::uint64_t exposed = 0;
  std::uint64_t bad = 0;
  /** Requests later than 5 s after the 50th bad answer. */
  std::uint64_t late = 0;
  std::optional<core::TimePoint> fiftieth;
  /** The order; revision 0 when there is none. */
  RolloutOrder order;
  std::optional<RolloutRecord> record;
  std::uint64_t recordRevision = 0;
  std::uint64_t revision = 10;
  /** When the phase of the record became final. */
  std::optional<core::TimePoint> endedAt;

  void Restart(std::size_t aIndex)
  {
    daemons[aIndex] =
      std::make_unique<RolloutControl>(ranking[aIndex], RolloutLimits{}, RolloutHooks{});
    RolloutControl& daemon = *daemons[aIndex];
    for (int n = 0; n < 3; ++n) {
      for (const std::string version : { "v1", "v2" }) {
        upstream::AnnouncedReplica replica;
        replica.id = version + std::to_string(n);
        replica.service = service;
        replica.version = version;
        replica.startedAt = version == "v1" ? 100 : 200;
        daemon.AddReplica(replica);
      }
    }
    daemon.SetRecord(service, record, recordRevision);
    daemon.SetRecordsRead();
    if (order.revision > 0) {
      daemon.SetOrder(order, true, now);
    }
  }

  void Order(const std::string& aTarget)
  {
    order = { service, aTarget, duration, ++revision };
    orderedAt = now;
    for (const auto& daemon : daemons) {
      daemon->SetOrder(order, false, now);
    }
  }

  /** @param aSeconds time since the order. */
  void RunUntil(double aSeconds)
  {
    while (Elapsed() < aSeconds) {
      Step();
    }
  }

  /** Runs until a time after the order, or until nothing is left to happen after the outcome. */
  void RunToEnd(double aSeconds)
  {
    while (Elapsed() < aSeconds && !(endedAt && now - *endedAt > seconds{ 6 })) {
      Step();
    }
  }

  double Elapsed() const { return std::chrono::duration<double>(now - orderedAt).count(); }

  RolloutPhase Phase() const { return record ? record->phase : RolloutPhase::Trial; }

  bool IsWithinBound() const
  {
    return static_cast<double>(exposed) <= 0.1 * static_cast<double>(requests) + 50.0;
  }

private:
  core::TimePoint orderedAt = kStart;
  std::int64_t mSteps = 0;

  void Step()
  {
    now += kStep;
    ++mSteps;
    for (std::size_t n = 0; n < daemons.size(); ++n) {
      if (dead.count(n) == 0) {
        Serve(*daemons[n]);
        // Every 150 and 300 ms, at different times for different daemons.
        const std::int64_t turn = mSteps + static_cast<std::int64_t>(n);
        if (turn % 3 == 0) {
          Review(n);
        }
        if (turn % 6 == 0) {
          Report(n);
        }
      }
    }
  }

  void Serve(RolloutControl& aDaemon)
  {
    const double mean = rate * 0.05 / static_cast<double>(daemons.size());
    for (double left = mean; left > 0.0; left -= 1.0) {
      if (random.Fraction() < std::min(left, 1.0)) {
        ServeOne(aDaemon);
      }
    }
  }

  void ServeOne(RolloutControl& aDaemon)
  {
    const bool counts = now <= orderedAt + duration;
    requests += counts ? 1 : 0;
    aDaemon.CountRequest(service);
    const upstream::VersionRule* rule = aDaemon.RuleOf(service);
    const bool isCandidate =
      rule != nullptr && rule->candidate && aDaemon.TakesTarget(service, now);
    const std::string version =
      rule == nullptr ? "v1" : (isCandidate ? *rule->candidate : rule->serving);
    aDaemon.CountSent(service, version);
    Meeting meeting{ version,
                     random.Fraction() < 0.7 ? "lookup" : "order",
                     "domain-" + std::to_string(random.Below(3)),
                     Elapsed(),
                     rule != nullptr && (rule->serving == "v2" || Elapsed() > 0.94 * 60.0) };
    const Answer given = answer(meeting);
    if (version == "v2") {
      exposed += counts ? 1 : 0;
      late += fiftieth && now - *fiftieth > seconds{ 5 } ? 1 : 0;
      bad += given.hasFailed || given.workMs > 25.0 ? 1 : 0;
      if (bad >= 50 && !fiftieth) {
        fiftieth = now;
      }
    }
    const double spread = 0.7 + 0.6 * random.Fraction();
    aDaemon.RecordSample({ service,
                           meeting.route,
                           version,
                           meeting.domain,
                           given.hasFailed,
                           std::chrono::duration_cast<core::Duration>(
                             std::chrono::duration<double, std::milli>(given.workMs * spread)) },
                         now);
  }

  void Review(std::size_t aIndex)
  {
    RolloutControl& daemon = *daemons[aIndex];
    daemon.SetFleet(ranking, 1.0 / static_cast<double>(daemons.size()));
    const std::int64_t wall =
      kWallMs + std::chrono::duration_cast<milliseconds>(now - kStart).count();
    for (const RolloutWrite& write : daemon.Review(now, wall)) {
      if (isStoreDown) {
        continue;
      }
      if (write.recordRevision == recordRevision) {
        record = write.record;
        recordRevision = ++revision;
        if (IsFinal(record->phase) && !endedAt) {
          endedAt = now;
        }
        Publish();
      } else {
        daemon.SetRecord(service, record, recordRevision);
      }
    }
  }

  void Report(std::size_t aIndex)
  {
    for (std::size_t n = 0; n < aIndex; ++n) {
      const bool isReachable = dead.count(n) == 0 && cut.count(n) == 0 && cut.count(aIndex) == 0;
      if (isReachable) {
        const auto reports = daemons[aIndex]->MakeReports(mSteps % 60 < 6, now);
        daemons[aIndex]->Apply(daemons[n]->Handle(reports, now), now);
        return;
      }
    }
  }

public:
  /** Delivers the record to all daemons. */
  void Publish()
  {
    for (const auto& daemon : daemons) {
      daemon->SetRecord(service, record, recordRevision);
    }
  }
};

} // namespace skylarkwing::rollout::tests
