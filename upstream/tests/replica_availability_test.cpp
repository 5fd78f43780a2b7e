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
LeavingStanding()
{
  ReplicaAvailability standing;
  standing.Take({ true, std::nullopt }, 0.0, kStart);
  return standing;
}

/** One replica that turns away what its queue doesn't hold, and asks for rest. */
struct RestingReplica
{
  std::size_t slots = 7;
  std::size_t queue = 14;
  core::Duration work = milliseconds{ 50 };
  std::vector<core::TimePoint> ends;
  std::size_t turnedAway = 0;
  /** Most arrivals within one step of time. */
  std::size_t peak = 0;

  /** @return when the request is done, nothing when it is turned away. */
  std::optional<core::TimePoint> Accept(core::TimePoint aNow)
  {
    ends.erase(std::remove_if(
                 ends.begin(), ends.end(), [aNow](core::TimePoint aEnd) { return aEnd <= aNow; }),
               ends.end());
    if (ends.size() >= slots + queue) {
      ++turnedAway;
      return std::nullopt;
    }
    const std::size_t ahead = ends.size();
    const auto rounds = static_cast<int>(ahead / slots) + 1;
    ends.push_back(aNow + work * rounds);
    return ends.back();
  }
};

/** A daemon that always has more requests for the replica than it may send. */
struct EagerDaemon
{
  ReplicaAvailability standing;
  std::vector<core::TimePoint> running;
};

/**
 * Plays daemons that were all turned away at the same moment.
 *
 * @param aRecordsAnswers whether the daemons return step by step; otherwise all at once.
 * @return requests that were turned away after the rest.
 */
RestingReplica
PlayReturn(std::size_t aDaemons, std::size_t aMostEach, bool aIsStepwise)
{
  core::RandomSource random(20261204);
  RestingReplica replica;
  std::vector<EagerDaemon> daemons(aDaemons);
  const ReplicaNotice notice{ false, seconds{ 2 } };
  for (EagerDaemon& daemon : daemons) {
    daemon.standing.Take(notice, aIsStepwise ? random.Fraction() : 0.0, kStart);
  }
  for (core::TimePoint now = kStart; now < kStart + seconds{ 5 }; now += milliseconds{ 5 }) {
    std::size_t arrivals = 0;
    for (EagerDaemon& daemon : daemons) {
      const auto isDone = [now](core::TimePoint aEnd) { return aEnd <= now; };
      const auto running = std::remove_if(daemon.running.begin(), daemon.running.end(), isDone);
      for (auto it = running; it != daemon.running.end(); ++it) {
        daemon.standing.RecordAnswer(now);
      }
      daemon.running.erase(running, daemon.running.end());
      std::size_t most = std::min(aMostEach, daemon.standing.MaxInFlight(now));
      most = !aIsStepwise && most > 0 ? aMostEach : most;
      while (daemon.running.size() < most) {
        ++arrivals;
        const auto end = replica.Accept(now);
        if (!end) {
          daemon.standing.Take(notice, aIsStepwise ? random.Fraction() : 0.0, now);
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

BOOST_AUTO_TEST_SUITE(replica_standing)

BOOST_AUTO_TEST_CASE(a_replica_that_leaves_stays_left_whatever_it_says_later)
{
  ReplicaAvailability standing;
  BOOST_TEST(standing.MaxInFlight(kStart) == kNoLimit);
  BOOST_TEST((standing.Take({ true, std::nullopt }, 0.5, kStart) == AvailabilityChange::Leaving));
  BOOST_TEST((standing.Take({ true, std::nullopt }, 0.5, kStart) == AvailabilityChange::None));
  standing.Take({ false, std::nullopt }, 0.5, kStart + seconds{ 60 });
  standing.RecordAnswer(kStart + seconds{ 60 });
  BOOST_TEST(standing.IsLeaving());
  BOOST_TEST(standing.MaxInFlight(kStart + seconds{ 3600 }) == 0U);
}

BOOST_AUTO_TEST_CASE(a_rest_lasts_at_least_as_long_as_was_asked)
{
  for (const double spread : { 0.0, 0.3, 1.0 }) {
    ReplicaAvailability standing;
    BOOST_TEST(
      (standing.Take({ false, seconds{ 3 } }, spread, kStart) == AvailabilityChange::Backoff));
    BOOST_TEST(standing.MaxInFlight(kStart + milliseconds{ 2999 }) == 0U);
    BOOST_TEST(standing.MaxInFlight(kStart + milliseconds{ 3751 }) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_shorter_rest_does_not_cut_a_longer_one)
{
  ReplicaAvailability standing;
  standing.Take({ false, seconds{ 10 } }, 0.0, kStart);
  BOOST_TEST((standing.Take({ false, seconds{ 1 } }, 0.0, kStart + seconds{ 1 }) ==
              AvailabilityChange::None));
  BOOST_TEST(standing.IsBackingOff(kStart + seconds{ 9 }));
  BOOST_TEST(!standing.IsBackingOff(kStart + seconds{ 10 }));
}

BOOST_AUTO_TEST_CASE(an_enormous_rest_ends_and_none_is_no_rest)
{
  ReplicaAvailability standing;
  standing.Take({ false, core::Duration::zero() }, 1.0, kStart);
  BOOST_TEST(standing.MaxInFlight(kStart) == kNoLimit);
  standing.Take({ false, core::Duration::max() }, 1.0, kStart);
  BOOST_TEST(standing.IsBackingOff(kStart + std::chrono::hours{ 23 }));
  BOOST_TEST(!standing.IsBackingOff(kStart + std::chrono::hours{ 31 }));
}

BOOST_AUTO_TEST_CASE(room_after_a_rest_doubles_with_each_answer)
{
  ReplicaAvailability standing;
  standing.Take({ false, seconds{ 1 } }, 0.0, kStart);
  standing.RecordAnswer(kStart + milliseconds{ 500 });
  const core::TimePoint after = kStart + seconds{ 1 };
  BOOST_TEST(standing.MaxInFlight(after) == 1U);
  standing.RecordAnswer(after);
  BOOST_TEST(standing.MaxInFlight(after) == 2U);
  for (int n = 0; n < 5; ++n) {
    standing.RecordAnswer(after);
  }
  BOOST_TEST(standing.MaxInFlight(after) == kNoLimit);
}

BOOST_AUTO_TEST_CASE(tens_of_daemons_come_back_without_overloading_the_replica_again)
{
  const RestingReplica together = PlayReturn(40, 6, false);
  const RestingReplica stepwise = PlayReturn(40, 6, true);
  // Forty daemons that come back at once and in full are turned away again, for the most part.
  BOOST_TEST(together.peak >= 40U);
  BOOST_TEST(together.turnedAway >= 19U);
  // Spread over a quarter of the rest, no step of 5 ms sees more than the replica's queue holds.
  BOOST_TEST(stepwise.peak <= 21U);
  BOOST_TEST(stepwise.peak * 3 <= together.peak);
}

BOOST_AUTO_TEST_CASE(an_entry_that_comes_back_does_not_bring_back_a_process_that_left)
{
  RemovedReplicas former;
  former.Keep(MakeReplica(50), LeavingStanding(), kStart);
  BOOST_TEST(former.Take(MakeReplica(50)).IsLeaving());
  former.Keep(MakeReplica(50), LeavingStanding(), kStart);
  BOOST_TEST(former.Take(MakeReplica(49)).IsLeaving());
  former.Keep(MakeReplica(50), LeavingStanding(), kStart);
  BOOST_TEST(!former.Take(MakeReplica(51)).IsLeaving());
  // Without a start only the address tells one process from another.
  former.Keep(MakeReplica(0), LeavingStanding(), kStart);
  BOOST_TEST(former.Take(MakeReplica(0)).IsLeaving());
  former.Keep(MakeReplica(0), LeavingStanding(), kStart);
  BOOST_TEST(!former.Take(MakeReplica(0, "10.0.0.2:80")).IsLeaving());
}

BOOST_AUTO_TEST_CASE(former_standings_are_bounded_and_ordinary_ones_are_not_kept)
{
  RemovedReplicas former;
  former.Keep(MakeReplica(50), ReplicaAvailability(), kStart);
  BOOST_TEST(former.Size() == 0U);
  AnnouncedReplica replica = MakeReplica(50);
  for (std::size_t n = 0; n <= RemovedReplicas::kMaxReplicas; ++n) {
    replica.id = "i-" + std::to_string(n);
    former.Keep(replica, LeavingStanding(), kStart);
  }
  BOOST_TEST(former.Size() == RemovedReplicas::kMaxReplicas);
  replica.id = "i-0";
  BOOST_TEST(!former.Take(replica).IsLeaving());
  replica.id = "i-1";
  BOOST_TEST(former.Take(replica).IsLeaving());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream::test
