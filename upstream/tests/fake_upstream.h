#pragma once

#include "core/task.h"
#include "core/virtual_timer_service.h"
#include "upstream/upstream_connection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkwing::upstream::test {

/** A search that runs on the fake upstream. */
struct RunningSearch
{
  SearchCall call;
  SearchReply reply;
  std::function<void()> wake;
  core::TimerId timer = 0;
  bool isOver = false;
};

/** A model of one replica in virtual time: its process, its warm-up, and the load it got. */
class FakeUpstream
{
public:
  explicit FakeUpstream(core::VirtualTimerService& aTimers);

  std::uint32_t slots = 3;
  std::uint32_t coldSlots = 1;
  std::uint32_t connectionLimit = 30;
  core::Duration serviceTime = std::chrono::milliseconds{ 4 };
  core::Duration connectTime = std::chrono::milliseconds{ 6 };
  core::Duration downTime = std::chrono::milliseconds{ 40 };
  /** Searches that a cold process answers before it is warm. */
  std::uint32_t searchesUntilWarm = 4;
  UpstreamState state = UpstreamState::Cold;
  std::optional<UpstreamState> stateOnLoad;
  std::optional<ShedReason> shedReason;
  bool isDown = false;
  /** The next answer carries the id of another part. */
  bool misaddressesNextAnswer = false;
  /** Searches with this text crash the process. */
  std::string poison;
  std::vector<SnapshotHolding> holdings{ { 7, 1, { 0 } } };

  /** Searches started on the cold process above its limit. */
  std::uint32_t overloadedWhileCold = 0;
  std::uint32_t maxConnections = 0;
  std::uint32_t maxRunning = 0;
  std::uint32_t crashes = 0;
  std::uint32_t begun = 0;
  std::map<std::string, std::uint32_t> runs;

  /** Ends the process; a new, cold one answers after the down time. */
  void Restart();

  /** Makes the process cold without any notice. */
  void TurnCold();

  /** Breaks every connection; the process continues. */
  void BreakConnections();

  /** @return the number of running searches. */
  std::uint32_t Running() const { return static_cast<std::uint32_t>(mRunning.size()); }

  /** @return the number of open connections. */
  std::size_t Connections() const { return mConnections.size(); }

  /** @return a new connection to this upstream. */
  std::shared_ptr<UpstreamConnection> Connect();

private:
  class Connection;
  friend class Connection;

  core::VirtualTimerService& mTimers;
  std::uint32_t mProcess = 1;
  std::uint32_t mAnswered = 0;
  std::set<Connection*> mConnections;
  std::set<std::shared_ptr<RunningSearch>> mRunning;

  std::string Incarnation() const { return "process-" + std::to_string(mProcess); }
  SearchReply ReplyTo(const SearchCall& aCall, SearchOutcome aOutcome) const;
  std::optional<SearchReply> Refuse(const SearchCall& aCall) const;
  std::shared_ptr<RunningSearch> Begin(SearchCall aCall);
  void Finish(const std::shared_ptr<RunningSearch>& aSearch, SearchOutcome aOutcome);
  void CancelSearch(const std::string& aPartId);
};

} // namespace skylarkwing::upstream::test
