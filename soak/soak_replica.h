#pragma once

#include "core/timer_service.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwing::soak {

/** What happened to requests at all replicas, by the callers' ids. */
struct SoakLedger
{
  /** How often each request ran, by service and id. */
  std::map<std::string, int> runs;

  /** @return the name of one service's work on one request. */
  static std::string Key(std::string_view aService, std::string_view aId);

  /** @return whether any service ran a request. */
  bool HasRun(std::string_view aId) const;
};

/** How a replica answers. */
enum class SoakMood
{
  Healthy,
  Slow,
  Shedding,
  Failing,
  Crossed,
  Mute,
};

/** One replica, which keeps a ledger of what it ran. */
class SoakReplica
{
public:
  SoakReplica(boost::asio::io_context& aLoop,
              core::TimerService& aTimers,
              SoakLedger& aLedger,
              std::string aService,
              std::string aId);

  SoakMood mood = SoakMood::Healthy;

  const std::string& Id() const { return mId; }
  const std::string& Service() const { return mService; }
  std::string Address() const { return mServer.Address(); }

  /** @return the body that a service's replicas give to a request: three records. */
  static std::string BodyOf(std::string_view aService, std::string_view aId);

  /** @return the signature of that body. */
  static std::string SignatureOf(std::string_view aService, std::string_view aId);

private:
  core::TimerService& mTimers;
  SoakLedger& mLedger;
  std::string mService;
  std::string mId;
  /** The request before this one. */
  std::string mLastId = "none";
  std::uint32_t mCrossed = 0;
  net::HttpServer mServer;

  core::Task<net::HttpResponse> Handle(net::HttpRequest aRequest);
};

} // namespace skylarkwing::soak
