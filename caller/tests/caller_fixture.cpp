#include "caller/tests/caller_fixture.h"

#include <utility>

namespace skylarkwing::caller::test {

using namespace std::chrono_literals;

bool
FakePeerBus::Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody)
{
  return deliver(aVm, std::string(aKind), aBody);
}

void
FakePeerBus::OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler)
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
  isDelivered = [](const std::string&) { return true; };
}

CallerFixture::~CallerFixture() = default;

void
CallerFixture::StartDaemon(const std::string& aVm, const std::string& aIncarnation)
{
  StopDaemon(aVm);
  auto daemon = std::make_unique<FakeDaemon>();
  daemon->vm = aVm;
  daemon->incarnation = aIncarnation;
  daemon->bus.deliver = [this, aVm, self = daemon.get()](const std::string& aTo,
                                                         const std::string& aKind,
                                                         const nlohmann::json& aBody) {
    // A stopped process sends nothing, although its tasks continue in the fixture.
    const auto it = daemons.find(aVm);
    const bool isGone = it == daemons.end() || it->second.get() != self;
    return isGone || Deliver(aVm, aTo, aKind, aBody);
  };
  CallerSettings settings;
  settings.vm = aVm;
  settings.incarnation = aIncarnation;
  settings.runTable = runTable;
  daemon->frontend = std::make_unique<CallerFrontend>(
    timers, random, daemon->metrics, HooksOf(aVm, *daemon), std::move(settings));
  daemon->frontend->RegisterHandlers(daemon->bus);
  daemons[aVm] = std::move(daemon);
}

void
CallerFixture::StopDaemon(const std::string& aVm)
{
  const auto it = daemons.find(aVm);
  if (it == daemons.end()) {
    return;
  }
  mStopped.push_back(std::move(it->second));
  daemons.erase(it);
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
    daemons.at(aVm)->frontend->Handle(std::move(aRequest)),
    [this, n](const std::exception_ptr& aError, const net::HttpResponse& aResponse) {
      if (aError) {
        std::rethrow_exception(aError);
      }
      replies[n] = Reply{ aResponse.status, nlohmann::json::parse(aResponse.body) };
    });
  RunReadyHandlers();
  return n;
}

Reply
CallerFixture::Ask(const std::string& aVm, net::HttpRequest aRequest)
{
  const std::size_t n = Send(aVm, std::move(aRequest));
  while (!replies[n] && timers.RunNext()) {
    RunReadyHandlers();
  }
  return replies[n].value_or(Reply{});
}

void
CallerFixture::Advance(core::Duration aSpan)
{
  const core::TimePoint end = timers.Now() + aSpan;
  RunReadyHandlers();
  while (timers.NextDue().value_or(core::TimePoint::max()) <= end) {
    timers.RunNext();
    RunReadyHandlers();
  }
  timers.Advance(end - timers.Now());
}

CallerHooks
CallerFixture::HooksOf(const std::string& aVm, FakeDaemon& aDaemon)
{
  CallerHooks hooks;
  hooks.configuration = [this] { return configuration; };
  hooks.runQuery = [this](query::QueryRequest aRequest) { return Run(std::move(aRequest)); };
  hooks.entryPoints = [this, aVm](const std::optional<std::string>&) {
    EntryPointsResponse list;
    list.entryPoints = { { aVm, "127.0.0.1:7101", "Ikeja", IdentityPrefix(aVm, "a", epoch) } };
    return list;
  };
  hooks.mayTakeNewWork = [&aDaemon] { return aDaemon.mayTakeNewWork; };
  hooks.isLeaving = [&aDaemon] { return aDaemon.isLeaving; };
  hooks.liveMemberCount = [this] { return daemons.size(); };
  hooks.incarnationOf = [this](const std::string& aOther) -> std::optional<std::string> {
    const auto it = daemons.find(aOther);
    return it == daemons.end() ? std::nullopt : std::optional(it->second->incarnation);
  };
  hooks.identityEpoch = [this] { return epoch; };
  hooks.sendToPeer =
    [&aDaemon](const std::string& aTo, std::string_view aKind, const nlohmann::json& aBody) {
      return aDaemon.bus.Send(aTo, aKind, aBody);
    };
  hooks.start = [this](core::Task<void> aTask) {
    core::Start(loop.get_executor(), std::move(aTask));
  };
  return hooks;
}

bool
CallerFixture::Deliver(const std::string& aFrom,
                       const std::string& aTo,
                       const std::string& aKind,
                       const nlohmann::json& aBody)
{
  if (!daemons.contains(aTo)) {
    return false;
  }
  if (!isDelivered(aKind)) {
    return true;
  }
  timers.Schedule(latency, [this, aFrom, aTo, aKind, aBody] {
    const auto it = daemons.find(aTo);
    if (it == daemons.end()) {
      return;
    }
    net::PeerMessageOrigin origin;
    origin.vm = aFrom;
    it->second->bus.handlers.at(aKind)(origin, aBody);
  });
  return true;
}

void
CallerFixture::RunReadyHandlers()
{
  loop.restart();
  loop.poll();
}

} // namespace skylarkwing::caller::test
