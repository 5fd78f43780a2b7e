// Evidence of replicas that ended under requests, spread through the store.

#include "query/crash_notices.h"
#include "store/tests/virtual_loop.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

namespace skylarkwing::query::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using store::StoreStatus;
using upstream::CrashEvidence;
using upstream::EvidenceKind;

/** Counts writes, and refuses them on request. */
class CountingStore : public store::KeyValueStore
{
public:
  StoreStatus answer = StoreStatus::Done;
  std::uint64_t leases = 0;
  std::vector<std::pair<std::string, std::string>> puts;

  core::Task<store::KeyListResult> ReadAll(std::string, store::ReadConsistency) override
  {
    co_return store::KeyListResult{};
  }
  core::Task<store::KeyListResult> Watch(std::string, store::StorePosition, core::Duration) override
  {
    co_return store::KeyListResult{};
  }
  core::Task<StoreStatus> Put(std::string aKey, std::string aValue, std::uint64_t) override
  {
    if (answer == StoreStatus::Done) {
      puts.emplace_back(aKey, aValue);
    }
    co_return answer;
  }
  core::Task<store::LeaseGrant> GrantLease(core::Duration aLifetime) override
  {
    leases += answer == StoreStatus::Done ? 1 : 0;
    co_return store::LeaseGrant{ answer, leases, aLifetime };
  }
  core::Task<StoreStatus> KeepLeaseAlive(std::uint64_t) override { co_return answer; }
  core::Task<StoreStatus> RevokeLease(std::uint64_t) override { co_return answer; }
};

CrashEvidence
Evidence(std::uint64_t aEpisode, EvidenceKind aKind = EvidenceKind::Crash)
{
  return { 42, aKind, "r1", "1", 7, aEpisode };
}

std::string
KeyOf(const CrashEvidence& aEvidence)
{
  return "crash-" + std::to_string(aEvidence.episode);
}

struct NoticesFixture
{
  store::VirtualLoop loop;
  core::RandomSource random{ 20261205 };
  std::shared_ptr<CountingStore> store = std::make_shared<CountingStore>();
  bool isInForce = true;
  double ownShare = 1.0;
  std::deque<std::shared_ptr<CrashNotices>> daemons;

  CrashNotices& AddDaemon()
  {
    CrashNoticeHooks hooks;
    hooks.isInForce = [this](const CrashEvidence&) { return isInForce; };
    hooks.ownShare = [this] { return ownShare; };
    hooks.onWritten = [](const std::string&, StoreStatus) {};
    const CrashNoticeCodec codec{ KeyOf, [](const CrashEvidence& aEvidence) {
                                   return std::string(upstream::NameOf(aEvidence.kind));
                                 } };
    daemons.push_back(std::make_shared<CrashNotices>(
      loop.io.get_executor(), loop.timers, random, store, codec, hooks));
    return *daemons.back();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_notices, NoticesFixture)

BOOST_AUTO_TEST_CASE(the_store_is_called_while_no_replica_ends)
{
  AddDaemon();
  loop.Run(minutes{ 20 });
  BOOST_TEST(store->leases == 0U);
  BOOST_TEST(store->puts.empty());
}

BOOST_AUTO_TEST_CASE(evidence_is_lost_when_the_store_is_away)
{
  CrashNotices& notices = AddDaemon();
  store->answer = StoreStatus::Refused;
  notices.Publish(Evidence(1));
  loop.Run(seconds{ 30 });
  BOOST_TEST(store->puts.empty());
  store->answer = StoreStatus::Done;
  loop.Run(seconds{ 1 });
  BOOST_REQUIRE(store->puts.size() == 1U);
  BOOST_TEST(store->puts[0].first == "crash-1");
  loop.Run(minutes{ 20 });
  BOOST_TEST(store->puts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(evidence_that_vanishes_from_the_store_is_forgotten_in_a_quarantine)
{
  constexpr std::size_t kDaemons = 20;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    AddDaemon().OnRead(Evidence(1));
  }
  for (const auto& notices : daemons) {
    notices->OnLost("crash-1");
  }
  while (store->puts.empty()) {
    loop.Run(milliseconds{ 10 });
  }
  // The others see the first write before their own delay is over.
  for (const auto& notices : daemons) {
    notices->OnRead(Evidence(1));
  }
  loop.Run(seconds{ 5 });
  BOOST_TEST(store->puts.size() <= 2U);
  isInForce = false;
  for (const auto& notices : daemons) {
    notices->OnLost("crash-1");
  }
  loop.Run(seconds{ 5 });
  BOOST_TEST(store->puts.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(all_daemons_write_that_an_end_was_disproved)
{
  constexpr std::size_t kDaemons = 20;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    AddDaemon().OnRead(Evidence(1));
    daemons.back()->Publish(Evidence(1, EvidenceKind::Disproved));
  }
  while (store->puts.empty()) {
    loop.Run(milliseconds{ 10 });
  }
  for (const auto& notices : daemons) {
    notices->OnRead(Evidence(1, EvidenceKind::Disproved));
  }
  loop.Run(seconds{ 5 });
  BOOST_TEST(store->puts.size() <= 2U);
  BOOST_TEST(store->puts[0].second == "disproved");
}

BOOST_AUTO_TEST_CASE(a_failure_of_all_replicas_floods_the_store)
{
  constexpr std::size_t kDaemons = 100;
  ownShare = 1.0 / kDaemons;
  std::uint64_t episode = 0;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    CrashNotices& notices = AddDaemon();
    for (int count = 0; count < 200; ++count) {
      notices.Publish(Evidence(++episode));
    }
    BOOST_TEST(notices.PendingCount() <= CrashNotices::kMaxPending);
  }
  loop.Run(seconds{ 10 });
  const double most = kDaemons * CrashNotices::kBurst + 10 * CrashNotices::kFleetWritesPerSecond;
  BOOST_TEST(static_cast<double>(store->puts.size()) <= most);
  // A lease serves the notices of a minute.
  BOOST_TEST(store->leases <= kDaemons);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::query::tests
