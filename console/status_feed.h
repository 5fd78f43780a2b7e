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
 * Keeps the latest status as text, section by section, so that any number of screens cost one
 * reading, and a screen is sent only the sections that changed since its last event.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class StatusFeed
{
public:
  /** A status is read again when it is older than this, */
  static constexpr core::Duration kReadingInterval = std::chrono::milliseconds{ 400 };
  /** or than so many times what reading it took, so that it takes at most 1 % of a core, */
  static constexpr int kReadingShare = 100;
  /** and at the latest after this. */
  static constexpr core::Duration kLongestInterval = std::chrono::milliseconds{ 1200 };

  StatusFeed(core::TimerService& aTimers, std::function<ClusterStatus()> aRead);

  /** Counts up with every change of a section; 0 is before the first. */
  std::uint64_t Version() const { return mVersion; }

  /** Reads the status when the last reading is too old. */
  void Refresh();

  /** Makes the next Refresh() read, because something is known to have changed. */
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
  core::Duration mInterval = kReadingInterval;
  std::uint64_t mVersion = 0;

  void Read();
  std::string ObjectSince(std::uint64_t aVersion) const;
};

} // namespace skylarkwing::console
