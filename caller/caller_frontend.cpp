#include "caller/caller_frontend.h"

#include "caller/caller_frontend_state.h"

#include <utility>

namespace skylarkwing::caller {

namespace {

constexpr std::string_view kEntryPointsPath = "/v1/entry-points";
constexpr std::string_view kQueryPath = "/v1/query/";
/** Retry delay for callers that exceed the connection limit. */
constexpr core::Duration kTooManyConnectionsRetryAfter = std::chrono::seconds{ 1 };

Refusal
NoSuchPath()
{
  Refusal refusal;
  refusal.kind = RefusalKind::NotFound;
  refusal.reason = "no such path";
  return refusal;
}

} // namespace

CallerFrontend::CallerFrontend(core::TimerService& aTimers,
                               core::RandomSource& aRandom,
                               core::Metrics& aMetrics,
                               CallerHooks aHooks,
                               CallerSettings aSettings)
  : mState(
      std::make_shared<State>(aTimers, aRandom, aMetrics, std::move(aHooks), std::move(aSettings)))
{
}

CallerFrontend::~CallerFrontend() = default;

core::Task<net::HttpResponse>
CallerFrontend::Handle(net::HttpRequest aRequest)
{
  const auto state = mState;
  const std::string path = aRequest.Path();
  if (path == kEntryPointsPath) {
    co_return state->EntryPoints(aRequest);
  }
  if (!path.starts_with(kQueryPath)) {
    co_return state->Refuse(NoSuchPath());
  }
  ++state->running;
  net::HttpResponse response = co_await state->Query(std::move(aRequest), QueryOrigin{});
  --state->running;
  co_return response;
}

net::HttpResponse
CallerFrontend::RefuseUnreadable(net::HttpRequestError aFault)
{
  Refusal refusal;
  refusal.kind = aFault == net::HttpRequestError::BodyTooLarge ? RefusalKind::BodyTooLarge
                                                               : RefusalKind::Malformed;
  refusal.reason = "the request could not be read: " + std::string(net::NameOf(aFault));
  if (aFault == net::HttpRequestError::TooManyConnections ||
      aFault == net::HttpRequestError::NotEnoughMemory) {
    refusal.kind = RefusalKind::Overloaded;
    refusal.retryAfter = kTooManyConnectionsRetryAfter;
  }
  return mState->Refuse(refusal);
}

void
CallerFrontend::RegisterHandlers(net::PeerBus& aBus)
{
  aBus.OnMessage(
    std::string(kHomeRequestKind),
    [state = mState](const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody) {
      std::optional<HomeRequest> request = ParseHomeRequest(aBody);
      if (request) {
        state->hooks.start(state->ServeHomeRequest(aOrigin.vm, std::move(*request), aOrigin.age));
      }
    });
  aBus.OnMessage(
    std::string(kHomeReplyKind),
    [state = mState](const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody) {
      state->forwarder.HandleReply(aOrigin, aBody);
    });
}

std::size_t
CallerFrontend::Running() const
{
  return mState->running;
}

} // namespace skylarkwing::caller
