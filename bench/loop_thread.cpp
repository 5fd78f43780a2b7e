#include "bench/loop_thread.h"

#include "bench/kept_objects.h"

#include <ctime>

#include <pthread.h>

namespace skylarkwing::bench {

namespace {

constexpr std::chrono::seconds kStopTimeout{ 2 };

} // namespace

LoopThread::LoopThread(const char* aName)
  : mParts(std::make_unique<Parts>())
  , mGuard(boost::asio::make_work_guard(mParts->loop))
  , mThread([this] { mParts->loop.run(); })
{
  pthread_setname_np(mThread.native_handle(), aName);
}

LoopThread::~LoopThread()
{
  Stop();
}

std::chrono::nanoseconds
LoopThread::CpuTime()
{
  clockid_t clock = 0;
  timespec used{};
  if (pthread_getcpuclockid(mThread.native_handle(), &clock) != 0 ||
      clock_gettime(clock, &used) != 0) {
    return std::chrono::nanoseconds{ 0 };
  }
  return std::chrono::seconds{ used.tv_sec } + std::chrono::nanoseconds{ used.tv_nsec };
}

void
LoopThread::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  std::promise<void> stopped;
  std::future<void> stoppedFuture = stopped.get_future();
  bool hasTimedOut = false;
  std::thread watchdog([this, &stoppedFuture, &hasTimedOut] {
    if (stoppedFuture.wait_for(kStopTimeout) == std::future_status::timeout) {
      hasTimedOut = true;
      mParts->loop.stop();
    }
  });
  mGuard.reset();
  mThread.join();
  stopped.set_value();
  watchdog.join();
  if (hasTimedOut) {
    // Suspended tasks refer to the timer service, which must be destroyed before the loop, so
    // neither can be destroyed.
    KeepUntilExit(std::shared_ptr<Parts>(std::move(mParts)));
  }
}

void
LoopThread::Abandon()
{
  if (!mThread.joinable()) {
    return;
  }
  mParts->loop.stop();
  mThread.join();
  mGuard.reset();
  KeepUntilExit(std::shared_ptr<Parts>(std::move(mParts)));
}

} // namespace skylarkwing::bench
