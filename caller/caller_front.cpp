#include "caller/caller_front.h"

#include "caller/front_state.h"

#include <utility>

namespace skylarkwing::caller {

namespace {

constexpr std::string_view kEntryPointsPath = "/v1/entry-points";
constexpr std::string_view kQueryPath = "/v1/query/";
/** A caller that found the daemon full of connections may come back after this long. */
constexpr core::Duration kCrowdedRetryAfter = std::chrono::seconds{ 1 };

Refusal
NoSuchPath()
{
  Refusal refusal;
  refusal.kind = RefusalKind::NotFound;
  refusal.reason = "no such path";
  return refusal;
}

} // namespace

CallerFront::CallerFront(core::TimerService& aTimers,
                         core::RandomSource& aRandom,
                         core::Metrics& aMetrics,
                         CallerHooks aHooks,
                         CallerSettings aSettings)
  : mState(
      std::make_shared<State>(aTimers, aRandom, aMetrics, std::move(aHooks), std::move(aSettings)))
{
}

CallerFront::~CallerFront() = default;

core::Task<net::HttpResponse>
CallerFront::Handle(net::HttpRequest aRequest)
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
  net::HttpResponse response = co_await state->Query(std::move(aRequest), Arrival{});
  --state->running;
  co_return response;
}

net::HttpResponse
CallerFront::RefuseUnread(net::HttpRequestError aFault)
{
  Refusal refusal;
  refusal.kind = aFault == net::HttpRequestError::BodyTooLarge ? RefusalKind::BodyTooLarge
                                                               : RefusalKind::Malformed;
  refusal.reason = "the request could not be read: " + std::string(net::NameOf(aFault));
  if (aFault == net::HttpRequestError::TooManyConnections) {
    refusal.kind = RefusalKind::Overloaded;
    refusal.retryAfter = kCrowdedRetryAfter;
  }
  return mState->Refuse(refusal);
}

void
CallerFront::ListenOn(net::PeerBus& aBus)
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
      state->forwarder.TakeReply(aOrigin, aBody);
    });
}

std::size_t
CallerFront::Running() const
{
  return mState->running;
}

} // namespace skylarkwing::caller
