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

/** The router's callbacks to the daemon. */
struct PartRouterHooks
{
  /** @return the VM that owns a replica, empty when none is known. */
  std::function<std::string(const std::string& aReplica)> ownerOf;
  /** Runs a part on a replica that this daemon owns. */
  PartSender dispatch;
  /** Cancels a part that this daemon runs. */
  std::function<void(const std::string& aPartId)> cancel;
};

/**
 * Sends parts from the requesting daemon to the owner of the replica, and returns the answers.
 *
 * Parts for one owner that are sent in one iteration of the event loop share a message. A part
 * whose message could not be handed over did not run; one whose owner went away afterwards is
 * unknown.
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

  /** Sends a part to the owner of its replica. The callback is called exactly once. */
  void Send(PartRequest aPart, PartCallback aCallback);

  /** Asks the owner of a part to cancel it; its callback is still called. */
  void Cancel(const std::string& aReplica, const std::string& aPartId);

  /** Ends all parts that wait for the daemon of a lost VM, as unknown. */
  void OnMemberGone(const std::string& aVm);

  /** @return how many parts of this daemon run on other daemons. */
  std::size_t Outstanding() const { return mWaiting.size(); }

private:
  /** A part that another daemon runs. */
  struct RemotePart
  {
    std::string owner;
    std::uint64_t snapshot = 0;
    std::uint32_t shard = 0;
    PartCallback callback;
    core::TimerId timer = 0;
  };

  /** Messages to one VM, sent at the end of this iteration of the event loop. */
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
  std::unordered_map<std::string, RemotePart> mWaiting;
  std::map<std::string, Outgoing> mOutgoing;
  core::TimerId mFlushTimer = 0;
};

} // namespace skylarkwing::upstream
