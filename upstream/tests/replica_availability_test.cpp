#include "core/random_source.h"
#include "upstream/replica_availability.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
const core::TimePoint kStart{ seconds{ 1000 } };

AnnouncedReplica
MakeReplica(std::uint64_t aStartedAt, const std::string& aAddress = "10.0.0.1:80")
{
  AnnouncedReplica replica;
  replica.id = "i-1";
  replica.address = aAddress;
  replica.startedAt = aStartedAt;
  return replica;
}

ReplicaAvailability
LeavingAvailability()
{
  ReplicaAvailability availability;
  availability.Apply({ true, std::nullopt }, 0.0, kStart);
  return availability;
}

/** A replica that rejects requests beyond its queue, with a request to back off. */
struct OverloadedReplica
{
  std::size_t slots = 7;
  std::size_t queue = 14;
  core::Duration serviceTime = milliseconds{ 50 };
  std::vector<core::TimePoint> ends;
  std::size_t rejected = 0;
  /** Most arrivals within one time step. */
  std::size_t peak = 0;

  /** @return when the request is done, nothing when it is rejected. */
  std::optional<core::TimePoint> Accept(core::TimePoint aNow)
  {
    ends.erase(std::remove_if(
                 ends.begin(), ends.end(), [aNow](core::TimePoint aEnd) { return aEnd <= aNow; }),
               ends.end());
    if (ends.size() >= slots + queue) {
      ++rejected;
      return std::nullopt;
    }
    const std::size_t ahead = ends.size();
    const auto rounds = static_cast<int>(ahead / slots) + 1;
    ends.push_back(aNow + serviceTime * rounds);
    return ends.back();
  }
};

/** A daemon that always has more requests for the replica than it may send. */
struct SaturatedDaemon
{
  ReplicaAvailability availability;
  std::vector<core::TimePoint> running;
};

/**
 * Simulates daemons that were all rejected at the same moment.
 *
 * @param aDaemons number of daemons.
 * @param aMaxInFlight requests that each daemon wants to keep in flight.
 * @param aIsStepwise whether the daemons return with jitter and a ramp; otherwise all at once.
 * @return the replica, with the requests rejected after the backoff.
 */
OverloadedReplica
SimulateReturn(std::size_t aDaemons, std::size_t aMaxInFlight, bool aIsStepwise)
{
  core::RandomSource random(20261204);
  OverloadedReplica replica;
  std::vector<SaturatedDaemon> daemons(aDaemons);
  const ReplicaNotice notice{ false, seconds{ 2 } };
  for (SaturatedDaemon& daemon : daemons) {
    daemon.availability.Apply(notice, aIsStepwise ? random.Fraction() : 0.0, kStart);
  }
  for (core::TimePoint now = kStart; now < kStart + seconds{ 5 }; now += milliseconds{ 5 }) {
    std::size_t arrivals = 0;
    for (SaturatedDaemon& daemon : daemons) {
      const auto isDone = [now](core::TimePoint aEnd) { return aEnd <= now; };
      const auto running = std::remove_if(daemon.running.begin(), daemon.running.end(), isDone);
      for (auto it = running; it != daemon.running.end(); ++it) {
        daemon.availability.RecordAnswer(now);
      }
      daemon.running.erase(running, daemon.running.end());
      std::size_t limit = std::min(aMaxInFlight, daemon.availability.MaxInFlight(now));
      limit = !aIsStepwise && limit > 0 ? aMaxInFlight : limit;
      while (daemon.running.size() < limit) {
        ++arrivals;
        const auto end = replica.Accept(now);
        if (!end) {
          daemon.availability.Apply(notice, aIsStepwise ? random.Fraction() : 0.0, now);
          break;
        }
        daemon.running.push_back(*end);
      }
    }
    replica.peak = std::max(replica.peak, arrivals);
  }
  return replica;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_availability)

BOOST_AUTO_TEST_CASE(a_replica_that_shuts_down_stays_unavailable_whatever_it_says_later)
{
  ReplicaAvailability availability;
  BOOST_TEST(availability.MaxInFlight(kStart) == kNoLimit);
  BOOST_TEST(
    (availability.Apply({ true, std::nullopt }, 0.5, kStart) == AvailabilityChange::Leaving));
  BOOST_TEST((availability.Apply({ true, std::nullopt }, 0.5, kStart) == AvailabilityChange::None));
  availability.Apply({ false, std::nullopt }, 0.5, kStart + seconds{ 60 });
  availability.RecordAnswer(kStart + seconds{ 60 });
  BOOST_TEST(availability.IsLeaving());
  BOOST_TEST(availability.MaxInFlight(kStart + seconds{ 3600 }) == 0U);
}

BOOST_AUTO_TEST_CASE(a_backoff_lasts_at_least_as_long_as_requested)
{
  for (const double jitter : { 0.0, 0.3, 1.0 }) {
    ReplicaAvailability availability;
    BOOST_TEST(
      (availability.Apply({ false, seconds{ 3 } }, jitter, kStart) == AvailabilityChange::Backoff));
    BOOST_TEST(availability.MaxInFlight(kStart + milliseconds{ 2999 }) == 0U);
    BOOST_TEST(availability.MaxInFlight(kStart + milliseconds{ 3751 }) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_shorter_backoff_does_not_end_a_longer_one)
{
  ReplicaAvailability availability;
  availability.Apply({ false, seconds{ 10 } }, 0.0, kStart);
  BOOST_TEST((availability.Apply({ false, seconds{ 1 } }, 0.0, kStart + seconds{ 1 }) ==
              AvailabilityChange::None));
  BOOST_TEST(availability.IsBackingOff(kStart + seconds{ 9 }));
  BOOST_TEST(!availability.IsBackingOff(kStart + seconds{ 10 }));
}

BOOST_AUTO_TEST_CASE(a_huge_backoff_is_cut_and_a_zero_one_is_none)
{
  ReplicaAvailability availability;
  availability.Apply({ false, core::Duration::zero() }, 1.0, kStart);
  BOOST_TEST(availability.MaxInFlight(kStart) == kNoLimit);
  availability.Apply({ false, core::Duration::max() }, 1.0, kStart);
  BOOST_TEST(availability.IsBackingOff(kStart + std::chrono::hours{ 23 }));
  BOOST_TEST(!availability.IsBackingOff(kStart + std::chrono::hours{ 31 }));
}

BOOST_AUTO_TEST_CASE(the_limit_after_a_backoff_doubles_with_each_answer)
{
  ReplicaAvailability availability;
  availability.Apply({ false, seconds{ 1 } }, 0.0, kStart);
  availability.RecordAnswer(kStart + milliseconds{ 500 });
  const core::TimePoint after = kStart + seconds{ 1 };
  BOOST_TEST(availability.MaxInFlight(after) == 1U);
  availability.RecordAnswer(after);
  BOOST_TEST(availability.MaxInFlight(after) == 2U);
  for (int n = 0; n < 5; ++n) {
    availability.RecordAnswer(after);
  }
  BOOST_TEST(availability.MaxInFlight(after) == kNoLimit);
}

BOOST_AUTO_TEST_CASE(tens_of_daemons_return_without_overloading_the_replica_again)
{
  const OverloadedReplica together = SimulateReturn(40, 6, false);
  const OverloadedReplica stepwise = SimulateReturn(40, 6, true);
  // Forty daemons that return at once and in full are mostly rejected again.
  BOOST_TEST(together.peak >= 40U);
  BOOST_TEST(together.rejected >= 19U);
  // Spread over a quarter of the backoff, no step of 5 ms gets more requests than the replica's
  // slots and queue hold.
  BOOST_TEST(stepwise.peak <= 21U);
  BOOST_TEST(stepwise.peak * 3 <= together.peak);
}

BOOST_AUTO_TEST_CASE(an_entry_that_comes_back_does_not_revive_a_process_that_shut_down)
{
  RemovedReplicas removed;
  removed.Keep(MakeReplica(50), LeavingAvailability(), kStart);
  BOOST_TEST(removed.Take(MakeReplica(50)).IsLeaving());
  removed.Keep(MakeReplica(50), LeavingAvailability(), kStart);
  BOOST_TEST(removed.Take(MakeReplica(49)).IsLeaving());
  removed.Keep(MakeReplica(50), LeavingAvailability(), kStart);
  BOOST_TEST(!removed.Take(MakeReplica(51)).IsLeaving());
  // Without a start time, only the address tells one process from another.
  removed.Keep(MakeReplica(0), LeavingAvailability(), kStart);
  BOOST_TEST(removed.Take(MakeReplica(0)).IsLeaving());
  removed.Keep(MakeReplica(0), LeavingAvailability(), kStart);
  BOOST_TEST(!removed.Take(MakeReplica(0, "10.0.0.2:80")).IsLeaving());
}

BOOST_AUTO_TEST_CASE(removed_replicas_are_bounded_and_available_ones_are_not_kept)
{
  RemovedReplicas removed;
  removed.Keep(MakeReplica(50), ReplicaAvailability(), kStart);
  BOOST_TEST(removed.Size() == 0U);
  AnnouncedReplica replica = MakeReplica(50);
  for (std::size_t n = 0; n <= RemovedReplicas::kMaxReplicas; ++n) {
    replica.id = "i-" + std::to_string(n);
    removed.Keep(replica, LeavingAvailability(), kStart);
  }
  BOOST_TEST(removed.Size() == RemovedReplicas::kMaxReplicas);
  replica.id = "i-0";
  BOOST_TEST(!removed.Take(replica).IsLeaving());
  replica.id = "i-1";
  BOOST_TEST(removed.Take(replica).IsLeaving());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
