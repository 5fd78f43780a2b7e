#pragma once

#include "core/timer_service.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwing::soak {

/** Record of the requests that ran at all replicas, by the callers' request ids. */
struct SoakLedger
{
  /** Number of runs by key, see Key(). */
  std::map<std::string, int> runs;
  /** Whether a text of the store has become a header field of a request. */
  bool hasInjectedHeader = false;

  /** @return the key for the runs of one request at one service. */
  static std::string Key(std::string_view aService, std::string_view aId);

  /** @return the id of the request that a key stands for. */
  static std::string IdOf(const std::string& aKey) { return aKey.substr(0, aKey.rfind('/')); }

  /** @return whether any service ran the request. */
  bool HasRun(std::string_view aId) const;
};

/** How a replica responds. */
enum class ReplicaMode
{
  Healthy,
  Slow,
  Shedding,
  Failing,
  /** Responds with the response to the previous request. */
  PreviousResponse,
  /** Responds only after the caller has timed out. */
  Unresponsive,
};

/** A replica that records every request it runs in a ledger. */
class SoakReplica
{
public:
  SoakReplica(boost::asio::io_context& aLoop,
              core::TimerService& aTimers,
              SoakLedger& aLedger,
              std::string aService,
              std::string aId);

  ReplicaMode mode = ReplicaMode::Healthy;

  /** Called when it begins to run a request. @return whether its process ends. */
  std::function<bool(const net::HttpRequest&)> onRun;

  const std::string& Id() const { return mId; }
  const std::string& Service() const { return mService; }
  std::string Address() const { return mServer.Address(); }

  /** @return the body that a service's replicas return for a request: three records. */
  static std::string ExpectedBody(std::string_view aService, std::string_view aId);

  /** @return the Response-Stamp header of that response. */
  static std::string ExpectedStamp(std::string_view aService, std::string_view aId);

private:
  core::TimerService& mTimers;
  SoakLedger& mLedger;
  std::string mService;
  std::string mId;
  /** Id of the previous request. */
  std::string mLastId = "none";
  std::uint32_t mPreviousResponseCount = 0;
  net::HttpServer mServer;

  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);
};

} // namespace skylarkwing::soak
