#include "caller/home_forwarder.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace skylarkwing::caller {

HomeForwarder::HomeForwarder(core::TimerService& aTimers,
                             core::RandomSource& aRandom,
                             PeerSender aSend)
  : mTimers(aTimers)
  , mSend(std::move(aSend))
  , mPrefix(aRandom.Token())
{
}

core::Task<std::optional<net::HttpResponse>>
HomeForwarder::Forward(CallerQuery aQuery, core::TimePoint aDeadline, core::Duration aReserve)
{
  const std::string forwardId = mPrefix + "-" + std::to_string(++mLastForward);
  HomeRequest request;
  request.forwardId = forwardId;
  request.identity = aQuery.identity->Text();
  request.index = aQuery.index;
  request.profile = aQuery.profile->name;
  request.search = std::move(aQuery.search);
  const core::Duration remaining = aDeadline - mTimers.Now() - aReserve;
  request.remainingMicroseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(remaining).count();
  const auto replies = std::make_shared<ReplyMailbox>(mTimers);
  mPending[forwardId] = { aQuery.identity->vm, replies };
  std::optional<net::HttpResponse> reply;
  if (mSend(aQuery.identity->vm, kHomeRequestKind, ToJson(request))) {
    reply = co_await replies->Receive(aDeadline);
  }
  mPending.erase(forwardId);
  co_return reply;
}

void
HomeForwarder::HandleReply(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody)
{
  std::optional<HomeReply> reply = ParseHomeReply(aBody);
  if (!reply) {
    return;
  }
  const auto it = mPending.find(reply->forwardId);
  if (it == mPending.end() || it->second.vm != aOrigin.vm) {
    return;
  }
  net::HttpResponse response;
  response.status = reply->status;
  response.body = std::move(reply->body);
  if (!reply->retryAfter.empty()) {
    response.headers.push_back({ "Retry-After", std::move(reply->retryAfter) });
  }
  it->second.replies->Push(std::move(response));
}

void
HomeForwarder::Reply(const std::string& aVm,
                     const std::string& aForwardId,
                     net::HttpResponse aResponse)
{
  HomeReply reply;
  reply.forwardId = aForwardId;
  reply.status = aResponse.status;
  reply.retryAfter = aResponse.Header("Retry-After").value_or("");
  reply.body = std::move(aResponse.body);
  mSend(aVm, kHomeReplyKind, ToJson(reply));
}

} // namespace skylarkwing::caller
