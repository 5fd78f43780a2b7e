#include "bench/loop_thread.h"

namespace skylarkwing::bench {

namespace {

constexpr std::chrono::seconds kFinishTime{ 2 };

} // namespace

LoopThread::LoopThread()
  : mParts(std::make_unique<Parts>())
  , mGuard(boost::asio::make_work_guard(mParts->loop))
  , mThread([this] { mParts->loop.run(); })
{
}

LoopThread::~LoopThread()
{
  Stop();
}

void
LoopThread::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  std::promise<void> ended;
  std::future<void> isEnded = ended.get_future();
  std::thread watcher([this, &isEnded] {
    if (isEnded.wait_for(kFinishTime) == std::future_status::timeout) {
      mParts->loop.stop();
    }
  });
  mGuard.reset();
  mThread.join();
  const bool isCutShort = mParts->loop.stopped() && mParts->loop.poll() > 0;
  ended.set_value();
  watcher.join();
  mParts->loop.restart();
  if (isCutShort || mParts->loop.poll() > 0) {
    // Tasks that still wait hold on to the timer service, which has to go before the loop; the
    // process is about to end, so both stay.
    static_cast<void>(mParts.release());
  }
}

} // namespace skylarkwing::bench
