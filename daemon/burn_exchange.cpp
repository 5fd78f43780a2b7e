#include "daemon/burn_exchange.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwing::daemon {

using nlohmann::json;

namespace {

constexpr const char* kRequestKind = "burn-request";
constexpr const char* kAnswerKind = "burn-answer";

/** A daemon that does not answer in time is listed as missing in the report. */
constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds{ 800 };
/** Age after which the burn rates for the screens are refreshed. */
constexpr core::Duration kMaxRecentAge = std::chrono::seconds{ 2 };

std::vector<declaration::ProfileDeclaration>
ProfilesOf(const declaration::ConfigurationKeeper& aKeeper)
{
  const auto configuration = aKeeper.InForce();
  return configuration ? configuration->declaration.profiles
                       : std::vector<declaration::ProfileDeclaration>{};
}

} // namespace

BurnExchange::BurnExchange(core::TimerService& aTimers,
                           net::PeerBus& aBus,
                           std::string aSelf,
                           console::BurnTracker& aTracker,
                           const declaration::ConfigurationKeeper& aKeeper,
                           BurnExchangeHooks aHooks)
  : mTimers(aTimers)
  , mBus(aBus)
  , mSelf(std::move(aSelf))
  , mTracker(aTracker)
  , mKeeper(aKeeper)
  , mHooks(std::move(aHooks))
{
  mBus.OnMessage(kRequestKind, [this](const net::PeerMessageOrigin& aOrigin, const json& aBody) {
    OnRequest(aOrigin, aBody);
  });
  mBus.OnMessage(kAnswerKind, [this](const net::PeerMessageOrigin& aOrigin, const json& aBody) {
    OnAnswer(aOrigin, aBody);
  });
}

BurnExchange::~BurnExchange()
{
  for (auto& [id, round] : mRounds) {
    mTimers.Cancel(round.timer);
  }
}

void
BurnExchange::Collect(console::BurnDetail aDetail, ReportCallback aCallback)
{
  const std::uint64_t id = ++mLastRound;
  Round round{ console::BurnMerger(ProfilesOf(mKeeper)), {}, std::move(aCallback), 0 };
  round.merger.Merge(mSelf, mTracker.Snapshot(aDetail));
  const std::vector<std::string> peers = mHooks.peers();
  round.waitingFor.insert(peers.begin(), peers.end());
  const core::Duration timeout = peers.empty() ? core::Duration::zero() : kAnswerTimeout;
  round.timer = mTimers.Schedule(timeout, [this, id] { Finish(id); });
  mRounds.emplace(id, std::move(round));
  const json request{ { "round", id }, { "full", aDetail == console::BurnDetail::Full } };
  for (const std::string& vm : peers) {
    mBus.Send(vm, kRequestKind, request);
  }
}

const std::vector<console::ProfileStatus>&
BurnExchange::Recent()
{
  const bool isOutdated = mTimers.Now() - mRecentAt > kMaxRecentAge;
  if (isOutdated && !mIsRefreshing) {
    mIsRefreshing = true;
    Collect(console::BurnDetail::Windows, [this](const console::BurnReport& aReport) {
      mIsRefreshing = false;
      mRecentAt = mTimers.Now();
      mRecent.clear();
      for (const console::ProfileReport& profile : aReport.profiles) {
        mRecent.push_back(console::ToProfileStatus(profile));
      }
    });
  }
  return mRecent;
}

void
BurnExchange::OnRequest(const net::PeerMessageOrigin& aOrigin, const json& aBody)
{
  const bool isFull = aBody.at("full").get<bool>();
  const auto detail = isFull ? console::BurnDetail::Full : console::BurnDetail::Windows;
  const json answer{ { "round", aBody.at("round") }, { "counts", mTracker.Snapshot(detail) } };
  mBus.Send(aOrigin.vm, kAnswerKind, answer);
}

void
BurnExchange::OnAnswer(const net::PeerMessageOrigin& aOrigin, const json& aBody)
{
  const auto id = aBody.at("round").get<std::uint64_t>();
  const auto it = mRounds.find(id);
  if (it == mRounds.end() || !it->second.waitingFor.contains(aOrigin.vm)) {
    return;
  }
  if (!it->second.merger.Merge(aOrigin.vm, aBody.at("counts"))) {
    return;
  }
  it->second.waitingFor.erase(aOrigin.vm);
  if (it->second.waitingFor.empty()) {
    Finish(id);
  }
}

void
BurnExchange::Finish(std::uint64_t aRound)
{
  auto node = mRounds.extract(aRound);
  if (node.empty()) {
    return;
  }
  Round& round = node.mapped();
  mTimers.Cancel(round.timer);
  const auto configuration = mKeeper.InForce();
  const std::string deployment = configuration ? configuration->declaration.deployment : "";
  const std::vector<std::string> missing(round.waitingFor.begin(), round.waitingFor.end());
  round.callback(round.merger.Report(deployment, mTimers.WallClockMilliseconds(), missing));
}

} // namespace skylarkwing::daemon
