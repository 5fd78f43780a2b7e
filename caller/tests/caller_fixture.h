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

/** A peer bus whose messages the fixture carries. */
class FakeBus : public net::PeerBus
{
public:
  void Connect(const std::string&, const std::string&) override {}
  void Disconnect(const std::string&) override {}
  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody) override;
  void OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler) override;

  std::function<bool(const std::string&, const std::string&, const nlohmann::json&)> carry;
  std::map<std::string, net::PeerMessageHandler> handlers;
};

/** One daemon's caller front with fakes around it. */
struct Node
{
  std::string vm;
  std::string incarnation;
  core::Metrics metrics;
  FakeBus bus;
  std::unique_ptr<CallerFrontend> front;
  bool mayTakeNewWork = true;
  bool isLeaving = false;
};

/** A response as a caller reads it. */
struct Reply
{
  unsigned status = 0;
  nlohmann::json body;
};

/** Caller fronts of several daemons in virtual time. */
class CallerFixture
{
public:
  CallerFixture();
  ~CallerFixture();

  /** Starts a daemon on a VM, in place of the one that was there. */
  void StartNode(const std::string& aVm, const std::string& aIncarnation);

  /** Takes a daemon away. */
  void StopNode(const std::string& aVm);

  /** @return a request with a profile, and with an identity when one is given. */
  static net::HttpRequest Request(const std::string& aProfile,
                                  const std::string& aIdentity = "",
                                  const std::string& aBody = "{\"q\":1}");

  /** Sends a request to a daemon; the reply lands in Replies(). */
  std::size_t Send(const std::string& aVm, net::HttpRequest aRequest);

  /** Sends a request and moves time until its reply is there. */
  Reply Ask(const std::string& aVm, net::HttpRequest aRequest);

  /** Moves virtual time. */
  void Advance(core::Duration aSpan);

  boost::asio::io_context loop;
  core::VirtualTimerService timers;
  core::RandomSource random{ 5 };
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::shared_ptr<declaration::Configuration> configuration;
  std::uint64_t epoch = 10;
  core::Duration runTime = std::chrono::milliseconds{ 20 };
  query::QueryResult result;
  RunTableSettings runTable;
  /** Runs of each search. */
  std::map<std::string, int> runs;
  std::vector<std::optional<Reply>> replies;
  /** Whether a message of that kind arrives. */
  std::function<bool(const std::string& aKind)> isCarried;
  core::Duration way = std::chrono::milliseconds{ 1 };

private:
  CallerHooks HooksOf(const std::string& aVm, Node& aNode);
  core::Task<query::QueryResult> Run(query::QueryRequest aRequest);
  bool Carry(const std::string& aFrom,
             const std::string& aTo,
             const std::string& aKind,
             const nlohmann::json& aBody);
  void Settle();

  /** Daemons that were replaced; their tasks may still be running. */
  std::vector<std::unique_ptr<Node>> mGone;
};

} // namespace skylarkwing::caller::test
