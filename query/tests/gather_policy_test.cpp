#include "query/gather_policy.h"
#include "query/record_merge.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;

GatherProgress
MakeProgress(std::size_t aAnswered, std::size_t aFailed, milliseconds aAge)
{
  GatherProgress progress;
  progress.shards = 10;
  progress.minAnswered = 9;
  progress.answered = aAnswered;
  progress.failed = aFailed;
  progress.age = aAge;
  progress.objective = milliseconds{ 150 };
  progress.timeout = milliseconds{ 1500 };
  return progress;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gather_policy)

BOOST_AUTO_TEST_CASE(a_complete_answer_is_sent_immediately)
{
  BOOST_TEST((DecideNextStep(MakeProgress(10, 0, milliseconds{ 1 })) == GatherStep::Answer));
}

BOOST_AUTO_TEST_CASE(a_partial_answer_waits_for_the_objective)
{
  BOOST_TEST((DecideNextStep(MakeProgress(9, 0, milliseconds{ 100 })) == GatherStep::Wait));
  BOOST_TEST((DecideNextStep(MakeProgress(9, 0, milliseconds{ 131 })) == GatherStep::Answer));
}

BOOST_AUTO_TEST_CASE(a_partial_answer_is_sent_earlier_when_the_loop_lags)
{
  GatherProgress progress = MakeProgress(9, 0, milliseconds{ 117 });
  BOOST_TEST((DecideNextStep(progress) == GatherStep::Wait));
  progress.loopLag = milliseconds{ 5 };
  BOOST_TEST((DecideNextStep(progress) == GatherStep::Answer));
  BOOST_TEST((NextDecisionAge(progress) > progress.age));
  // The earliest time is bounded, however large the lag is.
  progress.loopLag = milliseconds{ 500 };
  progress.age = milliseconds{ 89 };
  BOOST_TEST((DecideNextStep(progress) == GatherStep::Wait));
  BOOST_TEST((NextDecisionAge(progress) == milliseconds{ 90 }));
}

BOOST_AUTO_TEST_CASE(a_partial_answer_is_sent_when_no_more_shards_can_answer)
{
  BOOST_TEST((DecideNextStep(MakeProgress(9, 1, milliseconds{ 5 })) == GatherStep::Answer));
}

BOOST_AUTO_TEST_CASE(a_query_that_cannot_reach_enough_shards_fails_immediately)
{
  BOOST_TEST((DecideNextStep(MakeProgress(5, 2, milliseconds{ 5 })) == GatherStep::Fail));
}

BOOST_AUTO_TEST_CASE(too_few_shards_wait_until_the_deadline)
{
  BOOST_TEST((DecideNextStep(MakeProgress(8, 0, milliseconds{ 1000 })) == GatherStep::Wait));
  BOOST_TEST((DecideNextStep(MakeProgress(8, 0, milliseconds{ 1485 })) == GatherStep::Fail));
}

BOOST_AUTO_TEST_CASE(the_next_decision_age_covers_every_change_caused_by_time_alone)
{
  for (std::size_t answered = 0; answered < 10; ++answered) {
    GatherProgress progress = MakeProgress(answered, 0, milliseconds{ 0 });
    const GatherStep first = DecideNextStep(progress);
    for (int ms = 0; ms < 1500; ++ms) {
      progress.age = milliseconds{ ms };
      if (DecideNextStep(progress) != first) {
        const auto next = NextDecisionAge(MakeProgress(answered, 0, milliseconds{ 0 }));
        const auto second = NextDecisionAge(MakeProgress(answered, 0, milliseconds{ 131 }));
        BOOST_TEST((next <= progress.age || second <= progress.age));
        break;
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(deferred_shards_are_queried_when_the_others_are_not_enough)
{
  GatherProgress progress = MakeProgress(8, 0, milliseconds{ 20 });
  progress.deferred = 1;
  BOOST_TEST((DecideNextStep(progress) == GatherStep::Wait));
  progress.failed = 1;
  BOOST_TEST((DecideNextStep(progress) == GatherStep::SendDeferred));
  progress.failed = 0;
  progress.age = milliseconds{ 131 };
  BOOST_TEST((DecideNextStep(progress) == GatherStep::Wait));
  BOOST_TEST((NextDecisionAge(progress) == milliseconds{ 750 }));
  progress.age = milliseconds{ 750 };
  BOOST_TEST((DecideNextStep(progress) == GatherStep::SendDeferred));
  progress = MakeProgress(9, 0, milliseconds{ 20 });
  progress.deferred = 1;
  BOOST_TEST((DecideNextStep(progress) == GatherStep::Answer));
}

BOOST_AUTO_TEST_CASE(only_late_shards_are_deferred_and_at_most_as_many_as_may_be_missing)
{
  std::vector<core::Duration> expected(36, milliseconds{ 12 });
  BOOST_TEST(ChooseDeferredShards(expected, 35, milliseconds{ 150 }).empty());
  expected[7] = milliseconds{ 200 };
  expected[8] = milliseconds{ 160 };
  expected[9] = milliseconds{ 400 };
  const auto deferred = ChooseDeferredShards(expected, 35, milliseconds{ 150 });
  BOOST_TEST_REQUIRE(deferred.size() == 1U);
  BOOST_TEST(deferred[0] == 9U);
  BOOST_TEST(ChooseDeferredShards(expected, 30, milliseconds{ 150 }).size() == 2U);
  BOOST_TEST(ChooseDeferredShards(expected, 36, milliseconds{ 150 }).empty());
}

BOOST_AUTO_TEST_CASE(the_hedge_delay_follows_the_typical_time_within_bounds)
{
  BOOST_TEST((HedgeDelay(milliseconds{ 2 }, milliseconds{ 150 }) == kMinHedgeDelay));
  BOOST_TEST((HedgeDelay(milliseconds{ 20 }, milliseconds{ 150 }) == milliseconds{ 36 }));
  BOOST_TEST((HedgeDelay(milliseconds{ 400 }, milliseconds{ 150 }) == milliseconds{ 60 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(record_merge)

BOOST_AUTO_TEST_CASE(equals_a_naive_sort_of_all_records)
{
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 200; ++round) {
    std::vector<std::string> parts(random() % 12);
    std::vector<std::string> all;
    for (std::string& part : parts) {
      for (std::size_t n = random() % 9; n > 0; --n) {
        std::string record(kRecordBytes, '\0');
        // Few values, so that duplicates occur; the high bit reveals a signed comparison.
        record[0] = static_cast<char>(random() % 2 == 0 ? 0xF0 : 0x10);
        record[15] = static_cast<char>(random() % 3);
        all.push_back(record);
        part += record;
      }
      part += std::string(random() % kRecordBytes, 'x');
    }
    std::sort(all.begin(), all.end(), [](const std::string& aLeft, const std::string& aRight) {
      return std::lexicographical_compare(
        aRight.begin(), aRight.end(), aLeft.begin(), aLeft.end(), [](char aOne, char aOther) {
          return static_cast<unsigned char>(aOne) < static_cast<unsigned char>(aOther);
        });
    });
    const std::size_t maxRecords = random() % 20;
    std::string expected;
    for (std::size_t n = 0; n < std::min(maxRecords, all.size()); ++n) {
      expected += all[n];
    }
    const std::vector<std::string_view> views(parts.begin(), parts.end());
    BOOST_TEST_REQUIRE((MergeRecords(views, maxRecords) == expected));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::tests
