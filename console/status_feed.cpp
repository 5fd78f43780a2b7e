#include "console/status_feed.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace skylarkwing::console {

namespace {

std::string
Dump(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

StatusFeed::StatusFeed(core::TimerService& aTimers, std::function<ClusterStatus()> aRead)
  : mTimers(aTimers)
  , mRead(std::move(aRead))
{
}

void
StatusFeed::Refresh()
{
  const core::TimePoint now = mTimers.Now();
  if (mReadAt && now - *mReadAt < mInterval) {
    return;
  }
  mReadAt = now;
  Read();
  mInterval =
    std::clamp(kIntervalPerReadTime * (mTimers.Now() - now), kRefreshInterval, kMaxRefreshInterval);
}

void
StatusFeed::Read()
{
  ClusterStatus status = mRead();
  BoundStatus(status);
  const nlohmann::json whole = ToJson(status);
  const std::uint64_t next = mVersion + 1;
  for (const auto& [name, value] : whole.items()) {
    std::string text = Dump(value);
    Section& section = mSections[name];
    if (section.version != 0 && section.text == text) {
      continue;
    }
    section.text = std::move(text);
    section.version = next;
    mVersion = next;
  }
}

std::string
StatusFeed::EventSince(std::uint64_t aVersion) const
{
  if (aVersion >= mVersion) {
    return {};
  }
  return "event: status\nid: " + std::to_string(mVersion) + "\ndata: " + ObjectSince(aVersion) +
         "\n\n";
}

std::string
StatusFeed::Text() const
{
  return ObjectSince(0);
}

std::string
StatusFeed::ObjectSince(std::uint64_t aVersion) const
{
  std::string text = "{";
  for (const auto& [name, section] : mSections) {
    if (section.version <= aVersion) {
      continue;
    }
    text += text.size() > 1 ? "," : "";
    text += Dump(name) + ":" + section.text;
  }
  return text + "}";
}

} // namespace skylarkwing::console
