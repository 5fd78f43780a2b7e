#pragma once

#include "caller/caller_frontend.h"
#include "core/virtual_timer_service.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::caller::test {

/** A peer bus whose messages are delivered by the fixture. */
class FakePeerBus : public net::PeerBus
{
public:
  void Connect(const std::string&, const std::string&) override {}
  void Disconnect(const std::string&) override {}
  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody) override;
  void OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler) override;

  std::function<bool(const std::string&, const std::string&, const nlohmann::json&)> deliver;
  std::map<std::string, net::PeerMessageHandler> handlers;
};

/** A caller frontend of one daemon with fake dependencies. */
struct FakeDaemon
{
  std::string vm;
  std::string incarnation;
  core::Metrics metrics;
  FakePeerBus bus;
  std::unique_ptr<CallerFrontend> frontend;
  bool mayTakeNewWork = true;
  bool isLeaving = false;
};

/** A parsed response. */
struct Reply
{
  unsigned status = 0;
  nlohmann::json body;
};

/** Caller frontends of several daemons in virtual time. */
class CallerFixture
{
public:
  CallerFixture();
  ~CallerFixture();

  /** Starts a daemon on a VM and stops the previous one. */
  void StartDaemon(const std::string& aVm, const std::string& aIncarnation);

  void StopDaemon(const std::string& aVm);

  /** @return a request with a profile, and with an identity if not empty. */
  static net::HttpRequest Request(const std::string& aProfile,
                                  const std::string& aIdentity = "",
                                  const std::string& aBody = "{\"q\":1}");

  /** Sends a request to a daemon. @return the index of its reply in `replies`. */
  std::size_t Send(const std::string& aVm, net::HttpRequest aRequest);

  /** Sends a request and advances time until its reply arrives. */
  Reply Ask(const std::string& aVm, net::HttpRequest aRequest);

  void Advance(core::Duration aSpan);

  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random{ 5 };
  std::map<std::string, std::unique_ptr<FakeDaemon>> daemons;
  std::shared_ptr<declaration::Configuration> configuration;
  std::uint64_t epoch = 10;
  core::Duration runTime = std::chrono::milliseconds{ 20 };
  query::QueryResult result;
  RunTableSettings runTable;
  /** Number of runs of each search. */
  std::map<std::string, int> runs;
  std::vector<std::optional<Reply>> replies;
  /** Whether messages of a kind are delivered. */
  std::function<bool(const std::string& aKind)> isDelivered;
  core::Duration latency = std::chrono::milliseconds{ 1 };

private:
  CallerHooks HooksOf(const std::string& aVm, FakeDaemon& aDaemon);
  core::Task<query::QueryResult> Run(query::QueryRequest aRequest);
  bool Deliver(const std::string& aFrom,
               const std::string& aTo,
               const std::string& aKind,
               const nlohmann::json& aBody);
  void RunReadyHandlers();

  /** Stopped daemons; their tasks may still be running. */
  std::vector<std::unique_ptr<FakeDaemon>> mStopped;
};

} // namespace skylarkwing::caller::test
