#pragma once

#include "caller/forward_terms.h"
#include "caller/peer_choice.h"
#include "core/metrics.h"
#include "core/task.h"
#include "net/http_client.h"
#include "query/request_result.h"
#include "upstream/replica_protocol.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::caller {

/** A request that another daemon is to serve. */
struct ForwardPlan
{
  std::shared_ptr<const upstream::ForwardedRequest> request;
  ForwardTerms terms;
  /** The caller's API key; the other daemon decides on it by its own table. */
  std::string apiKey;
  core::TimePoint arrival;
  core::TimePoint deadline;
  /** Regions to which the request may be sent; empty means all. */
  std::vector<std::string> regions;
  /** Whether it may have run already, so that its caller must not be told that it hasn't. */
  bool mayHaveRun = false;
  /** Daemons that may have run the request at most, besides this one. */
  std::size_t maxRuns = 1;
  /** How long an idempotent request waits for one daemon before another one is asked. */
  core::Duration patience{};
};

/** A request that is being forwarded. */
class ForwardRun
{
public:
  /** Closes the connection to the other daemon, which then cancels the work. */
  void Cancel();

private:
  friend class PeerForwarder;

  bool mIsCancelled = false;
  std::shared_ptr<net::HttpConnection> mConnection;
};

/** What the forwarder needs from its daemon. */
struct PeerForwarderHooks
{
  /** @return the daemons that may serve other daemons' requests, without this one. */
  std::function<std::vector<ForwardPeer>()> listPeers;
  /** Tells the other daemon how long the caller still waits. */
  std::function<void(net::HttpRequest&, core::Duration)> setDeadline;
  /** Passes the caller's API key on to the other daemon. */
  std::function<void(net::HttpRequest&, const std::string&)> setApiKey;
};

/**
 * Has requests served by other daemons while this one is cut off from the replicas.
 *
 * The other daemon runs the whole request, with its own configuration, and never forwards it again.
 * A request that must not run twice is sent to a further daemon only if the one before has
 * certainly not run it.
 */
class PeerForwarder
{
public:
  PeerForwarder(core::TimerService& aTimers,
                core::RandomSource& aRandom,
                core::Metrics& aMetrics,
                net::HttpConnectionFactory aMakeConnection,
                std::string aRegion,
                PeerForwarderHooks aHooks);

  /** Sends a request to one daemon after the other until one has served it. */
  core::Task<query::RequestResult> Forward(ForwardPlan aPlan, std::shared_ptr<ForwardRun> aRun);

private:
  struct IdleConnection
  {
    std::shared_ptr<net::HttpConnection> connection;
    core::TimePoint idleSince;
  };

  /** How one daemon handled a request. */
  struct PeerResult
  {
    ForwardOutcome outcome;
    std::optional<PeerFailure> failure;
    net::HttpResponse response;
  };

  core::TimerService& mTimers;
  net::HttpConnectionFactory mMakeConnection;
  PeerForwarderHooks mHooks;
  PeerChoice mChoice;
  core::Metrics& mMetrics;
  std::map<std::string, std::vector<IdleConnection>> mIdle;
  /** Time that the last new connection to each daemon took, about one round trip. */
  std::map<std::string, core::Duration> mRoundTrips;

  core::Task<PeerResult> Ask(const ForwardPeer& aPeer, const ForwardPlan& aPlan, ForwardRun& aRun);
  core::Task<std::optional<net::HttpResult>> Exchange(const ForwardPeer& aPeer,
                                                      const ForwardPlan& aPlan,
                                                      ForwardRun& aRun);
  net::HttpRequest MakeRequest(const ForwardPeer& aPeer, const ForwardPlan& aPlan) const;
  std::shared_ptr<net::HttpConnection> TakeIdle(const std::string& aAddress);
  void Release(const std::string& aAddress, std::shared_ptr<net::HttpConnection> aConnection);
  void Count(std::string_view aOutcome);
};

} // namespace skylarkwing::caller
