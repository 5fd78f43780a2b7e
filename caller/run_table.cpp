#include "caller/run_table.h"

#include <utility>
#include <vector>

namespace skylarkwing::caller {

namespace {

std::size_t
BytesOf(const net::HttpResponse& aResponse)
{
  std::size_t n = sizeof(net::HttpResponse) + aResponse.body.size();
  for (const net::HttpHeader& header : aResponse.headers) {
    n += header.name.size() + header.value.size();
  }
  return n;
}

} // namespace

RunTable::RunTable(core::TimerService& aTimers, RunTableSettings aSettings)
  : mTimers(aTimers)
  , mSettings(aSettings)
{
}

RunTable::BeginResult
RunTable::Begin(const RequestIdentity& aIdentity, std::uint64_t aContentHash, std::uint64_t aEpoch)
{
  DropExpired(aEpoch);
  if (aIdentity.epoch > aEpoch) {
    return { RunState::NeverIssued, nullptr, std::nullopt };
  }
  if (IsExpired(aIdentity, aEpoch)) {
    return { RunState::Expired, nullptr, std::nullopt };
  }
  Epoch& epoch = mEpochs[aIdentity.epoch];
  const auto it = epoch.find(aIdentity.unique);
  if (it != epoch.end()) {
    return FindExisting(it->second, aContentHash);
  }
  if (mSize >= mSettings.entries) {
    return { RunState::Full, nullptr, std::nullopt };
  }
  epoch[aIdentity.unique].contentHash = aContentHash;
  ++mSize;
  return { RunState::Started, nullptr, std::nullopt };
}

void
RunTable::Finish(const RequestIdentity& aIdentity,
                 const net::HttpResponse& aOutcome,
                 bool aMayHaveRun)
{
  const auto found = mEpochs.find(aIdentity.epoch);
  if (found == mEpochs.end()) {
    return;
  }
  Epoch& epoch = found->second;
  const auto it = epoch.find(aIdentity.unique);
  if (it == epoch.end()) {
    return;
  }
  const auto waiters = std::exchange(it->second.waiters, {});
  if (aMayHaveRun) {
    StoreOutcome(it->second, aOutcome);
  } else {
    epoch.erase(it);
    --mSize;
  }
  for (const std::shared_ptr<Waiter>& waiter : waiters) {
    waiter->Push(aOutcome);
  }
}

bool
RunTable::HasCertainlyNotRun(const RequestIdentity& aIdentity, std::uint64_t aEpoch) const
{
  if (aIdentity.epoch > aEpoch) {
    return true;
  }
  if (IsExpired(aIdentity, aEpoch)) {
    return false;
  }
  const auto it = mEpochs.find(aIdentity.epoch);
  return it == mEpochs.end() || !it->second.contains(aIdentity.unique);
}

bool
RunTable::IsExpired(const RequestIdentity& aIdentity, std::uint64_t aEpoch) const
{
  return aIdentity.epoch + mSettings.keptEpochs <= aEpoch;
}

RunTable::BeginResult
RunTable::FindExisting(Entry& aEntry, std::uint64_t aContentHash)
{
  if (aEntry.contentHash != aContentHash) {
    return { RunState::Reused, nullptr, std::nullopt };
  }
  if (!aEntry.isDone) {
    aEntry.waiters.push_back(std::make_shared<Waiter>(mTimers));
    return { RunState::Running, aEntry.waiters.back(), std::nullopt };
  }
  if (!aEntry.outcome) {
    return { RunState::OutcomeDropped, nullptr, std::nullopt };
  }
  return { RunState::Done, nullptr, aEntry.outcome };
}

void
RunTable::DropExpired(std::uint64_t aEpoch)
{
  while (!mEpochs.empty() && mEpochs.begin()->first + mSettings.keptEpochs <= aEpoch) {
    Epoch& epoch = mEpochs.begin()->second;
    // A run may outlast its entry; its identity is refused from then on.
    for (const auto& [unique, entry] : epoch) {
      mBytes -= entry.outcome ? BytesOf(*entry.outcome) : 0;
    }
    mSize -= epoch.size();
    mEpochs.erase(mEpochs.begin());
  }
}

void
RunTable::StoreOutcome(Entry& aEntry, const net::HttpResponse& aOutcome)
{
  aEntry.isDone = true;
  const std::size_t bytes = BytesOf(aOutcome);
  if (mBytes + bytes > mSettings.outcomeBytes) {
    return;
  }
  mBytes += bytes;
  aEntry.outcome = aOutcome;
}

} // namespace skylarkwing::caller
