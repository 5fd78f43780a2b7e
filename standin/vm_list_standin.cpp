#include "standin/vm_list_standin.h"

#include "core/task.h"
#include "net/http_server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <utility>

namespace skylarkwing::standin {

namespace {

using nlohmann::json;

constexpr unsigned kStatusNotFound = 404;

/** A version of the list and the time from which it is valid. */
struct VmListVersion
{
  core::TimePoint since;
  std::string body;
};

std::string
Describe(const std::vector<VmListEntry>& aEntries)
{
  json vms = json::array();
  for (const VmListEntry& entry : aEntries) {
    vms.push_back({ { "vm", entry.vm },
                    { "failureDomain", entry.failureDomain },
                    { "region", entry.region },
                    { "callerAddress", entry.callerAddress },
                    { "peerAddress", entry.peerAddress },
                    { "state", entry.isLeaving ? "leaving" : "live" } });
  }
  return json{ { "vms", vms } }.dump();
}

core::Task<net::HttpResponse>
Respond(net::HttpResponse aResponse)
{
  co_return aResponse;
}

} // namespace

/** State shared by the request handlers of one list. */
struct VmListStandin::State
{
  core::TimerService& timers;
  core::Duration lag;
  std::unique_ptr<net::HttpServer> server;
  std::string address;
  std::deque<VmListVersion> versions;

  net::HttpResponse Handle(const net::HttpRequest& aRequest);
};

net::HttpResponse
VmListStandin::State::Handle(const net::HttpRequest& aRequest)
{
  net::HttpResponse response;
  if (aRequest.Path() != "/vms") {
    response.status = kStatusNotFound;
    return response;
  }
  while (versions.size() > 1 && versions[1].since + lag <= timers.Now()) {
    versions.pop_front();
  }
  response.body = versions.empty() ? Describe({}) : versions.front().body;
  return response;
}

VmListStandin::VmListStandin(boost::asio::io_context& aLoop,
                             core::TimerService& aTimers,
                             core::Duration aLag)
  : mState(std::make_shared<State>(State{ aTimers, aLag, nullptr, {}, {} }))
{
  const std::weak_ptr<State> weak = mState;
  mState->server = std::make_unique<net::HttpServer>(
    aLoop, net::HttpServerLimits{}, [weak](const net::HttpRequest& aRequest) {
      const std::shared_ptr<State> self = weak.lock();
      return Respond(self ? self->Handle(aRequest) : net::HttpResponse{});
    });
}

VmListStandin::~VmListStandin()
{
  mState->server->Close();
}

bool
VmListStandin::Start(const std::string& aAddress)
{
  if (!mState->server->Listen(aAddress)) {
    return false;
  }
  mState->address = mState->server->Address();
  return true;
}

const std::string&
VmListStandin::Address() const
{
  return mState->address;
}

void
VmListStandin::Set(const std::vector<VmListEntry>& aEntries)
{
  mState->versions.push_back({ mState->timers.Now(), Describe(aEntries) });
}

} // namespace skylarkwing::standin
