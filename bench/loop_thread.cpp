#include "bench/loop_thread.h"

#include "bench/kept_objects.h"

#include <ctime>

#include <pthread.h>

namespace skylarkwing::bench {

namespace {

constexpr std::chrono::seconds kFinishTime{ 2 };

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
  std::promise<void> ended;
  std::future<void> end = ended.get_future();
  bool isCutShort = false;
  std::thread watcher([this, &end, &isCutShort] {
    if (end.wait_for(kFinishTime) == std::future_status::timeout) {
      isCutShort = true;
      mParts->loop.stop();
    }
  });
  mGuard.reset();
  mThread.join();
  ended.set_value();
  watcher.join();
  if (isCutShort) {
    // Tasks that still wait hold on to the timer service, which has to go before the loop, so
    // neither can go.
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
