#include "soak/soak_replica.h"

#include "core/task.h"

#include <array>
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <utility>

namespace skylarkwing::soak {

namespace {

constexpr core::Duration kSlowTime = std::chrono::milliseconds{ 300 };
constexpr core::Duration kUnresponsiveTime = std::chrono::seconds{ 4 };

} // namespace

std::string
SoakLedger::Key(std::string_view aService, std::string_view aId)
{
  return std::string(aId) + "/" + std::string(aService);
}

bool
SoakLedger::HasRun(std::string_view aId) const
{
  const std::string prefix = Key("", aId);
  const auto it = runs.lower_bound(prefix);
  return it != runs.end() && it->first.compare(0, prefix.size(), prefix) == 0;
}

SoakReplica::SoakReplica(boost::asio::io_context& aLoop,
                         core::TimerService& aTimers,
                         SoakLedger& aLedger,
                         std::string aService,
                         std::string aId)
  : mTimers(aTimers)
  , mLedger(aLedger)
  , mService(std::move(aService))
  , mId(std::move(aId))
  , mServer(aLoop, {}, [this](net::HttpRequest aRequest) { return Handle(std::move(aRequest)); })
{
  if (!mServer.Listen("127.0.0.1:0")) {
    throw std::runtime_error("cannot listen for a replica: " + mServer.LastError());
  }
}

std::string
SoakReplica::ExpectedBody(std::string_view aService, std::string_view aId)
{
  std::string body;
  for (int n = 0; n < 3; ++n) {
    const std::size_t hash =
      std::hash<std::string>()(std::string(aService) + std::string(aId) + std::to_string(n));
    std::array<char, 17> record{};
    std::snprintf(record.data(), record.size(), "%016zx", hash);
    body += record.data();
  }
  return body;
}

std::string
SoakReplica::ExpectedStamp(std::string_view aService, std::string_view aId)
{
  return std::string(aService) + "." + std::string(aId);
}

core::Task<net::HttpResponse>
SoakReplica::Handle(net::HttpRequest aRequest)
{
  const std::string id = aRequest.Header("Request-Id").value_or("");
  net::HttpResponse response;
  response.contentType = "application/octet-stream";
  mLedger.hasInjectedHeader =
    mLedger.hasInjectedHeader || aRequest.Header("X-Injected").has_value();
  if (aRequest.Header("Expected-Instance").value_or("") != mId) {
    response.status = 421;
    response.headers.push_back({ "Request-Id", id });
    co_return response;
  }
  // The complete response to the previous request, alternating with and without its id.
  const std::string answered = mode == ReplicaMode::PreviousResponse ? mLastId : id;
  if (mode != ReplicaMode::PreviousResponse || ++mPreviousResponseCount % 2 == 0) {
    response.headers.push_back({ "Request-Id", answered });
  }
  mLastId = id;
  if (mode == ReplicaMode::Shedding) {
    response.status = 503;
    response.headers.push_back({ "Not-Executed", "1" });
    co_return response;
  }
  ++mLedger.runs[SoakLedger::Key(mService, id)];
  if (onRun && onRun(aRequest)) {
    co_return response;
  }
  if (mode == ReplicaMode::Slow || mode == ReplicaMode::Unresponsive) {
    co_await core::Sleep(mTimers, mode == ReplicaMode::Slow ? kSlowTime : kUnresponsiveTime);
  }
  response.status = mode == ReplicaMode::Failing ? 500 : 200;
  response.headers.push_back({ "Response-Stamp", ExpectedStamp(mService, answered) });
  response.headers.push_back({ "Server-Load", "0,0,4" });
  response.headers.push_back({ "Keep-Alive", "timeout=10" });
  response.body = ExpectedBody(mService, answered);
  co_return response;
}

} // namespace skylarkwing::soak
