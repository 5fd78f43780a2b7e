#pragma once

#include "console/cluster_status.h"
#include "core/timer_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace skylarkwing::console {

/**
 * Caches the latest status as JSON text by section. All screens share one status read, and each is
 * sent only the sections that changed since its last event.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class StatusFeed
{
public:
  /** Minimum age of the status before it is read again. */
  static constexpr core::Duration kRefreshInterval = std::chrono::milliseconds{ 400 };
  /** The interval is this multiple of the last read time, so that reads take at most 1 % of a core,
   */
  static constexpr int kIntervalPerReadTime = 100;
  /** but never longer than this. */
  static constexpr core::Duration kMaxRefreshInterval = std::chrono::milliseconds{ 1200 };

  StatusFeed(core::TimerService& aTimers, std::function<ClusterStatus()> aRead);

  /** Incremented when any section changes; 0 before the first read. */
  std::uint64_t Version() const { return mVersion; }

  /** Reads the status if the cached one is too old. */
  void Refresh();

  /** Forces the next Refresh() to read the status, after a known change. */
  void Invalidate() { mReadAt.reset(); }

  /**
   * @param aVersion the version of the screen's last event, 0 for none.
   * @return a server-sent event with the sections that changed since, empty when none did.
   */
  std::string EventSince(std::uint64_t aVersion) const;

  /** @return the whole status as JSON text. */
  std::string Text() const;

private:
  struct Section
  {
    std::string text;
    std::uint64_t version = 0;
  };

  core::TimerService& mTimers;
  std::function<ClusterStatus()> mRead;
  std::map<std::string, Section> mSections;
  std::optional<core::TimePoint> mReadAt;
  core::Duration mInterval = kRefreshInterval;
  std::uint64_t mVersion = 0;

  void Read();
  std::string ObjectSince(std::uint64_t aVersion) const;
};

} // namespace skylarkwing::console
