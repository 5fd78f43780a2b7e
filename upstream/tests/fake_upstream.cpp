#include "upstream/tests/fake_upstream.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::upstream::test {

class FakeUpstream::Connection : public UpstreamConnection
{
public:
  explicit Connection(FakeUpstream& aUpstream)
    : mUpstream(aUpstream)
  {
  }

  ~Connection() override { mUpstream.mConnections.erase(this); }

  core::Task<bool> Connect(core::Duration aTimeout) override
  {
    const core::Duration span = std::min(mUpstream.connectTime, aTimeout);
    co_await core::Sleep(mUpstream.mTimers, span);
    mIsOpen = !mUpstream.isDown && span < aTimeout;
    if (mIsOpen) {
      mUpstream.mConnections.insert(this);
      const auto n = static_cast<std::uint32_t>(mUpstream.mConnections.size());
      mUpstream.maxConnections = std::max(mUpstream.maxConnections, n);
    }
    co_return mIsOpen;
  }

  core::Task<SearchReply> Search(SearchCall aCall, core::Duration aTimeout) override
  {
    if (!mIsOpen) {
      SearchReply closed;
      closed.error = ExchangeError::NothingSent;
      co_return closed;
    }
    std::optional<SearchReply> refused = mUpstream.Refuse(aCall);
    if (refused) {
      co_return *refused;
    }
    if (!mUpstream.poison.empty() && aCall.search == mUpstream.poison) {
      ++mUpstream.crashes;
      ++mUpstream.runs[aCall.partId];
      mUpstream.Restart();
      SearchReply broken;
      broken.error = ExchangeError::Broken;
      co_return broken;
    }
    mSearch = mUpstream.Begin(std::move(aCall));
    const std::shared_ptr<RunningSearch> search = mSearch;
    search->reply.error = ExchangeError::TimedOut;
    const core::TimerId limit = mUpstream.mTimers.Schedule(aTimeout, [search] { Wake(search); });
    std::function<void(std::function<void()>)> start = [search](std::function<void()> aWake) {
      search->wake = std::move(aWake);
    };
    co_await core::AwaitCallback(std::move(start));
    mUpstream.mTimers.Cancel(limit);
    mSearch = nullptr;
    if (search->reply.error != ExchangeError::None) {
      Close();
    }
    co_return search->reply;
  }

  core::Task<LoadReply> Load(core::Duration) override
  {
    LoadReply reply;
    if (!mIsOpen) {
      reply.error = ExchangeError::NothingSent;
      co_return reply;
    }
    reply.incarnation = mUpstream.Incarnation();
    reply.notice = { mUpstream.Incarnation(), mUpstream.state };
    reply.state = mUpstream.stateOnLoad.value_or(mUpstream.state);
    reply.holdings = mUpstream.holdings;
    co_return reply;
  }

  core::Task<ProcessNotice> Cancel(std::string aPartId, core::Duration) override
  {
    mUpstream.CancelSearch(aPartId);
    if (!mIsOpen) {
      co_return ProcessNotice{};
    }
    co_return ProcessNotice{ mUpstream.Incarnation(), mUpstream.state };
  }

  bool IsOpen() const override { return mIsOpen; }

  void Close() override
  {
    mIsOpen = false;
    mUpstream.mConnections.erase(this);
    if (mSearch) {
      mSearch->reply.error = ExchangeError::Broken;
      Wake(mSearch);
    }
  }

private:
  FakeUpstream& mUpstream;
  bool mIsOpen = false;
  std::shared_ptr<RunningSearch> mSearch;

  static void Wake(const std::shared_ptr<RunningSearch>& aSearch)
  {
    if (aSearch->wake) {
      const std::function<void()> wake = std::exchange(aSearch->wake, nullptr);
      wake();
    }
  }

  friend class FakeUpstream;
};

FakeUpstream::FakeUpstream(core::VirtualTimerService& aTimers)
  : mTimers(aTimers)
{
}

void
FakeUpstream::Restart()
{
  const std::set<std::shared_ptr<RunningSearch>> running = std::exchange(mRunning, {});
  for (const auto& search : running) {
    mTimers.Cancel(search->timer);
  }
  BreakConnections();
  ++mProcess;
  mAnswered = 0;
  state = UpstreamState::Cold;
  isDown = true;
  mTimers.Schedule(downTime, [this] { isDown = false; });
}

void
FakeUpstream::TurnCold()
{
  state = UpstreamState::Cold;
  mAnswered = 0;
}

void
FakeUpstream::BreakConnections()
{
  const std::set<Connection*> connections = mConnections;
  for (Connection* connection : connections) {
    connection->Close();
  }
}

std::shared_ptr<UpstreamConnection>
FakeUpstream::Connect()
{
  return std::make_shared<Connection>(*this);
}

SearchReply
FakeUpstream::ReplyTo(const SearchCall& aCall, SearchOutcome aOutcome) const
{
  SearchReply reply;
  reply.incarnation = Incarnation();
  reply.state = state;
  reply.outcome = aOutcome;
  reply.partId = aCall.partId;
  reply.snapshot = aCall.snapshot;
  reply.shard = aCall.shard;
  reply.isComplete = true;
  reply.hits = { { "hit-of-" + aCall.partId, 1.0, "{}" } };
  return reply;
}

std::optional<SearchReply>
FakeUpstream::Refuse(const SearchCall& aCall) const
{
  std::optional<ShedReason> reason = shedReason;
  if (state == UpstreamState::Draining) {
    reason = ShedReason::Draining;
  }
  if (!reason) {
    return std::nullopt;
  }
  SearchReply reply = ReplyTo(aCall, SearchOutcome::Shed);
  reply.shedReason = *reason;
  return reply;
}

std::shared_ptr<RunningSearch>
FakeUpstream::Begin(SearchCall aCall)
{
  ++begun;
  ++runs[aCall.partId];
  auto search = std::make_shared<RunningSearch>();
  search->call = std::move(aCall);
  mRunning.insert(search);
  maxRunning = std::max(maxRunning, Running());
  if (state == UpstreamState::Cold && Running() > coldSlots) {
    ++overloadedWhileCold;
  }
  search->timer =
    mTimers.Schedule(serviceTime, [this, search] { Finish(search, SearchOutcome::Answered); });
  return search;
}

void
FakeUpstream::Finish(const std::shared_ptr<RunningSearch>& aSearch, SearchOutcome aOutcome)
{
  mRunning.erase(aSearch);
  if (state == UpstreamState::Cold && ++mAnswered >= searchesUntilWarm) {
    state = UpstreamState::Warm;
  }
  if (!aSearch->wake) {
    return;
  }
  aSearch->reply = ReplyTo(aSearch->call, aOutcome);
  aSearch->reply.wasCancelled = aOutcome == SearchOutcome::Ended;
  if (misaddressesNextAnswer) {
    misaddressesNextAnswer = false;
    aSearch->reply.partId = "another-part";
  }
  const std::function<void()> wake = std::exchange(aSearch->wake, nullptr);
  wake();
}

void
FakeUpstream::CancelSearch(const std::string& aPartId)
{
  const auto isNamed = [&aPartId](const std::shared_ptr<RunningSearch>& aSearch) {
    return aSearch->call.partId == aPartId;
  };
  const auto it = std::find_if(mRunning.begin(), mRunning.end(), isNamed);
  if (it == mRunning.end()) {
    return;
  }
  // Finish() removes the search from the set that holds it.
  std::shared_ptr<RunningSearch> search;
  search = *it;
  mTimers.Cancel(search->timer);
  Finish(search, SearchOutcome::Ended);
}

} // namespace skylarkwing::upstream::test
