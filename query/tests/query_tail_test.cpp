#include "query/tests/query_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace skylarkwing::query::test {

using namespace std::chrono_literals;

namespace {

constexpr double kStragglerShare = 0.01;
constexpr int kStragglerFactor = 20;
constexpr int kQueries = 4000;
constexpr core::Duration kBetweenQueries = 10ms;

/** @return a random latency of a part: 4 ms to 6 ms, and 20 times as long for 1 % of the parts. */
core::Duration
DrawLatency(core::RandomSource& aRandom)
{
  const auto typical = std::chrono::microseconds{ 4000 + aRandom.Below(2000) };
  return aRandom.Fraction() < kStragglerShare ? typical * kStragglerFactor : typical;
}

core::Duration
Percentile99(std::vector<core::Duration> aLatencies)
{
  std::sort(aLatencies.begin(), aLatencies.end());
  return aLatencies.at(aLatencies.size() * 99 / 100);
}

/** @return the p99 of a query that asks one replica of each shard and waits for all of them. */
core::Duration
NaivePercentile99(std::uint32_t aShards)
{
  core::RandomSource random(11);
  std::vector<core::Duration> latencies;
  for (int n = 0; n < kQueries; ++n) {
    core::Duration slowest{};
    for (std::uint32_t shard = 0; shard < aShards; ++shard) {
      slowest = std::max(slowest, DrawLatency(random));
    }
    latencies.push_back(slowest);
  }
  return Percentile99(latencies);
}

void
CheckTail(std::uint32_t aShards, bool aIsEverySearchNew)
{
  QueryFixture fixture;
  core::RandomSource latencyRandom(13);
  fixture.AddSnapshot(7, aShards, 3);
  fixture.behaviour = [&latencyRandom](const upstream::PartRequest&) {
    PartBehaviour part;
    part.latency = DrawLatency(latencyRandom);
    return part;
  };
  for (int n = 0; n < kQueries; ++n) {
    const int search = aIsEverySearchNew ? n : n % 50;
    fixture.StartQuery("{\"q\":" + std::to_string(search) + "}", 400ms);
    fixture.Advance(kBetweenQueries);
  }
  fixture.Advance(400ms);
  BOOST_REQUIRE(fixture.results.size() == static_cast<std::size_t>(kQueries));
  const core::Duration hedged = Percentile99(fixture.latencies);
  const core::Duration naive = NaivePercentile99(aShards);
  const double parts = static_cast<double>(fixture.sent.size());
  const double extra = parts / (static_cast<double>(kQueries) * aShards) - 1.0;
  BOOST_TEST_MESSAGE("shards " << aShards << ", every search new " << aIsEverySearchNew << ": p99 "
                               << hedged / 1us << " us, naive " << naive / 1us
                               << " us, extra parts " << extra * 100.0 << " %");
  BOOST_TEST((2 * hedged <= naive));
  BOOST_TEST(extra <= 0.05);
}

} // namespace

BOOST_AUTO_TEST_SUITE(query_tail)

BOOST_AUTO_TEST_CASE(halves_the_naive_p99_with_at_most_five_percent_extra_parts)
{
  for (const std::uint32_t shards : { 10U, 15U }) {
    CheckTail(shards, false);
    CheckTail(shards, true);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::test
