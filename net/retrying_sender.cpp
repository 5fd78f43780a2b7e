#include "net/retrying_sender.h"

#include <utility>

namespace skylarkwing::net {

namespace {

constexpr core::Duration kRetryPeriod = std::chrono::milliseconds{ 10 };

/** A message waiting to be sent. */
struct Message
{
  std::string vm;
  std::string kind;
  nlohmann::json body;
  core::TimePoint deadline;
};

} // namespace

/** State shared with scheduled retries, which stop when the sender is destroyed. */
struct RetryingSender::State : std::enable_shared_from_this<RetryingSender::State>
{
  State(core::TimerService& aTimers, PeerBus& aBus)
    : timers(aTimers)
    , bus(aBus)
  {
  }

  void TrySend(const std::shared_ptr<const Message>& aMessage)
  {
    const bool isSent = bus.Send(aMessage->vm, aMessage->kind, aMessage->body);
    if (isSent || timers.Now() >= aMessage->deadline) {
      return;
    }
    timers.Schedule(kRetryPeriod, [weak = weak_from_this(), aMessage] {
      if (const auto self = weak.lock()) {
        self->TrySend(aMessage);
      }
    });
  }

  core::TimerService& timers;
  PeerBus& bus;
};

RetryingSender::RetryingSender(core::TimerService& aTimers, PeerBus& aBus)
  : mState(std::make_shared<State>(aTimers, aBus))
{
}

void
RetryingSender::Send(const std::string& aVm,
                     const std::string& aKind,
                     nlohmann::json aBody,
                     core::Duration aTimeout)
{
  const core::TimePoint deadline = mState->timers.Now() + aTimeout;
  mState->TrySend(
    std::make_shared<const Message>(Message{ aVm, aKind, std::move(aBody), deadline }));
}

} // namespace skylarkwing::net
