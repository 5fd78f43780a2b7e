#include "net/persistent_sender.h"

#include <utility>

namespace skylarkwing::net {

namespace {

constexpr core::Duration kRetryPeriod = std::chrono::milliseconds{ 10 };

/** A message on its way out. */
struct Message
{
  std::string vm;
  std::string kind;
  nlohmann::json body;
  core::TimePoint giveUpAt;
};

} // namespace

/** What retries that are scheduled share; they end with the sender. */
struct PersistentSender::State : std::enable_shared_from_this<PersistentSender::State>
{
  State(core::TimerService& aTimers, PeerBus& aBus)
    : timers(aTimers)
    , bus(aBus)
  {
  }

  void Try(const std::shared_ptr<const Message>& aMessage)
  {
    const bool isSent = bus.Send(aMessage->vm, aMessage->kind, aMessage->body);
    if (isSent || timers.Now() >= aMessage->giveUpAt) {
      return;
    }
    timers.Schedule(kRetryPeriod, [weak = weak_from_this(), aMessage] {
      if (const auto self = weak.lock()) {
        self->Try(aMessage);
      }
    });
  }

  core::TimerService& timers;
  PeerBus& bus;
};

PersistentSender::PersistentSender(core::TimerService& aTimers, PeerBus& aBus)
  : mState(std::make_shared<State>(aTimers, aBus))
{
}

void
PersistentSender::Send(const std::string& aVm,
                       const std::string& aKind,
                       nlohmann::json aBody,
                       core::Duration aPatience)
{
  const core::TimePoint giveUpAt = mState->timers.Now() + aPatience;
  mState->Try(std::make_shared<const Message>(Message{ aVm, aKind, std::move(aBody), giveUpAt }));
}

} // namespace skylarkwing::net
