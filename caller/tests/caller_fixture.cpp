#include "caller/tests/caller_fixture.h"

#include <utility>

namespace skylarkwing::caller::test {

using namespace std::chrono_literals;

bool
FakeBus::Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)
{
  return carry(aVm, std::string(aKind), aBody);
}

void
FakeBus::OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler)
{
  handlers[aKind] = std::move(aHandler);
}

CallerFixture::CallerFixture()
{
  declaration::ProfileDeclaration read;
  read.name = "read";
  read.indexes = { "catalogue" };
  declaration::ProfileDeclaration write = read;
  write.name = "write";
  write.idempotent = false;
  declaration::IndexDeclaration catalogue;
  catalogue.name = "catalogue";
  declaration::IndexDeclaration other;
  other.name = "other";
  configuration = std::make_shared<declaration::Configuration>();
  configuration->generation = 1;
  configuration->declaration.indexes = { catalogue, other };
  configuration->declaration.profiles = { read, write };
  result.status = query::QueryStatus::Answered;
  result.snapshot = 7;
  result.complete = true;
  result.coverage = { 2, 2, {} };
  result.hits = { { "o-1", 0.5, "{\"kg\":3}" } };
  isCarried = [](const std::string&) { return true; };
}

CallerFixture::~CallerFixture() = default;

void
CallerFixture::StartNode(const std::string& aVm, const std::string& aIncarnation)
{
  StopNode(aVm);
  auto node = std::make_unique<Node>();
  node->vm = aVm;
  node->incarnation = aIncarnation;
  node->bus.carry = [this, aVm, self = node.get()](const std::string& aTo,
                                                   const std::string& aKind,
                                                   const nlohmann::json& aBody) {
    // A process that is gone sends no more, though its tasks go on in the fixture.
    const auto it = nodes.find(aVm);
    const bool isGone = it == nodes.end() || it->second.get() != self;
    return isGone || Carry(aVm, aTo, aKind, aBody);
  };
  CallerSettings settings;
  settings.vm = aVm;
  settings.incarnation = aIncarnation;
  settings.runTable = runTable;
  node->front = std::make_unique<CallerFrontend>(
    timers, random, node->metrics, HooksOf(aVm, *node), std::move(settings));
  node->front->RegisterHandlers(node->bus);
  nodes[aVm] = std::move(node);
}

void
CallerFixture::StopNode(const std::string& aVm)
{
  const auto it = nodes.find(aVm);
  if (it == nodes.end()) {
    return;
  }
  mGone.push_back(std::move(it->second));
  nodes.erase(it);
}

net::HttpRequest
CallerFixture::Request(const std::string& aProfile,
                       const std::string& aIdentity,
                       const std::string& aBody)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/query/catalogue";
  request.headers = { { "Skylarkwing-Profile", aProfile }, { "Skylarkwing-Deadline-Ms", "200" } };
  if (!aIdentity.empty()) {
    request.headers.push_back({ "Skylarkwing-Request-Id", aIdentity });
  }
  request.body = aBody;
  return request;
}

std::size_t
CallerFixture::Send(const std::string& aVm, net::HttpRequest aRequest)
{
  const std::size_t n = replies.size();
  replies.emplace_back();
  boost::asio::co_spawn(
    loop,
    nodes.at(aVm)->front->Handle(std::move(aRequest)),
    [this, n](const std::exception_ptr& aError, const net::HttpResponse& aResponse) {
      if (aError) {
        std::rethrow_exception(aError);
      }
      replies[n] = Reply{ aResponse.status, nlohmann::json::parse(aResponse.body) };
    });
  Settle();
  return n;
}

Reply
CallerFixture::Ask(const std::string& aVm, net::HttpRequest aRequest)
{
  const std::size_t n = Send(aVm, std::move(aRequest));
  while (!replies[n] && timers.RunNext()) {
    Settle();
  }
  return replies[n].value_or(Reply{});
}

void
CallerFixture::Advance(core::Duration aSpan)
{
  const core::TimePoint end = timers.Now() + aSpan;
  Settle();
  while (timers.NextDue().value_or(core::TimePoint::max()) <= end) {
    timers.RunNext();
    Settle();
  }
  timers.Advance(end - timers.Now());
}

CallerHooks
CallerFixture::HooksOf(const std::string& aVm, Node& aNode)
{
  CallerHooks hooks;
  hooks.configuration = [this] { return configuration; };
  hooks.runQuery = [this](query::QueryRequest aRequest) { return Run(std::move(aRequest)); };
  hooks.entryPoints = [this, aVm](const std::optional<std::string>&) {
    EntryPointsResponse list;
    list.entryPoints = { { aVm, "127.0.0.1:7101", "Ikeja", IdentityPrefix(aVm, "a", epoch) } };
    return list;
  };
  hooks.mayTakeNewWork = [&aNode] { return aNode.mayTakeNewWork; };
  hooks.isLeaving = [&aNode] { return aNode.isLeaving; };
  hooks.liveMemberCount = [this] { return nodes.size(); };
  hooks.incarnationOf = [this](const std::string& aOther) -> std::optional<std::string> {
    const auto it = nodes.find(aOther);
    return it == nodes.end() ? std::nullopt : std::optional(it->second->incarnation);
  };
  hooks.identityEpoch = [this] { return epoch; };
  hooks.sendToPeer =
    [&aNode](const std::string& aTo, std::string_view aKind, const nlohmann::json& aBody) {
      return aNode.bus.Send(aTo, aKind, aBody);
    };
  hooks.start = [this](core::Task<void> aTask) {
    core::Start(loop.get_executor(), std::move(aTask));
  };
  return hooks;
}

bool
CallerFixture::Carry(const std::string& aFrom,
                     const std::string& aTo,
                     const std::string& aKind,
                     const nlohmann::json& aBody)
{
  if (!nodes.contains(aTo)) {
    return false;
  }
  if (!isCarried(aKind)) {
    return true;
  }
  timers.Schedule(way, [this, aFrom, aTo, aKind, aBody] {
    const auto it = nodes.find(aTo);
    if (it == nodes.end()) {
      return;
    }
    net::PeerMessageOrigin origin;
    origin.vm = aFrom;
    it->second->bus.handlers.at(aKind)(origin, aBody);
  });
  return true;
}

void
CallerFixture::Settle()
{
  loop.restart();
  loop.poll();
}

} // namespace skylarkwing::caller::test
