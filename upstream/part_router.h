#pragma once

#include "core/metrics.h"
#include "core/timer_service.h"
#include "net/peer_bus.h"
#include "net/retrying_sender.h"
#include "upstream/part.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwing::upstream {

/** What the part router needs from its daemon. */
struct PartRouterHooks
{
  /** @return the VM that owns a replica, empty when none is known. */
  std::function<std::string(const std::string& aReplica)> ownerOf;
  /** Runs a part on a replica that this daemon owns. */
  PartSender dispatch;
  /** Gives up a part that this daemon runs. */
  std::function<void(const std::string& aPartId)> cancel;
};

/**
 * Carries parts from the daemon that asks to the daemon that owns the replica, and answers back.
 *
 * Parts for one owner that are sent in one turn of the event loop go in one message. A part whose
 * message was not handed over did not run; one whose owner went away afterwards is unknown.
 */
class PartRouter
{
public:
  PartRouter(core::TimerService& aTimers,
             core::Metrics& aMetrics,
             net::PeerBus& aBus,
             std::string aSelf,
             PartRouterHooks aHooks);
  PartRouter(const PartRouter&) = delete;
  PartRouter& operator=(const PartRouter&) = delete;
  ~PartRouter();

  /** Sends a part to the owner of its replica. The callback comes exactly once. */
  void Send(PartRequest aPart, PartCallback aCallback);

  /** Asks the owner of a part to give it up; its callback still comes. */
  void Cancel(const std::string& aReplica, const std::string& aPartId);

  /** Ends all parts that wait for a VM whose daemon is gone, as unknown. */
  void OnMemberGone(const std::string& aVm);

  /** @return how many parts of this daemon wait for other daemons. */
  std::size_t Outstanding() const { return mWaiting.size(); }

private:
  /** A part that another daemon runs. */
  struct Waiting
  {
    std::string owner;
    std::uint64_t snapshot = 0;
    std::uint32_t shard = 0;
    PartCallback callback;
    core::TimerId timer = 0;
  };

  /** What goes to one VM at the end of this turn of the event loop. */
  struct Outgoing
  {
    std::vector<PartRequest> parts;
    std::vector<std::string> cancels;
    std::vector<PartAnswer> answers;
  };

  Outgoing& OutgoingTo(const std::string& aVm);
  void Flush();
  void FlushTo(const std::string& aVm, const Outgoing& aOutgoing);
  void End(const std::string& aPartId, PartStatus aStatus, PartRefusal aRefusal);
  void OnParts(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void OnCancels(const nlohmann::json& aBody);
  void OnAnswers(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);

  core::TimerService& mTimers;
  net::PeerBus& mBus;
  net::RetryingSender mAnswerSender;
  std::string mSelf;
  PartRouterHooks mHooks;
  prometheus::Counter& mLocalParts;
  prometheus::Counter& mRemoteParts;
  prometheus::Counter& mLateAnswers;
  std::unordered_map<std::string, Waiting> mWaiting;
  std::map<std::string, Outgoing> mOutgoing;
  core::TimerId mFlushTimer = 0;
};

} // namespace skylarkwing::upstream
