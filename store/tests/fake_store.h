#pragma once

#include "core/task.h"
#include "core/timer_service.h"
#include "store/store_endpoint.h"
#include "store/store_messages.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::store {

/** A small key-value service behind the client's hooks, with the faults of the real one. */
class FakeStore
{
public:
  explicit FakeStore(core::TimerService& aTimers)
    : mTimers(aTimers)
  {
  }

  /** Takes no connection while set. */
  bool isDown = false;
  /** Time before a request takes effect. */
  core::Duration delay{};
  /** Time from its effect to its answer. */
  core::Duration answerDelay{};
  /** So many of the next writes take effect and their answers are lost. */
  int answersToLose = 0;
  /** So many of the next writes are lost before they take effect, with their answers. */
  int writesToLose = 0;
  /** Requests by target, watches included. */
  std::map<std::string, int> calls;
  /** Called before a transaction runs, for races. */
  std::function<void()> beforeTransaction;

  /** @return the ways in which a client reaches this store. */
  StoreEndpoint Endpoint();

  /** Writes a key as somebody else would. */
  void PutValue(const std::string& aKey, const std::string& aValue, LeaseId aLease = 0);

  /** Removes a key. */
  void Erase(const std::string& aKey);

  /** @return the key, or nothing. */
  const KeyValue* Find(const std::string& aKey);

  /** Ends all watches; unless asked to keep them, forgets the events up to now. */
  void CloseWatches(bool aIsCompacting);

  /** Begins again, empty, at a revision, as after a restore from a backup. */
  void Restore(Revision aRevision);

  /** @return how many calls were made in all. */
  int Calls() const;

  Revision revision = 1;

private:
  using json = nlohmann::json;
  using Lines = core::Mailbox<std::string>;

  struct Lease
  {
    std::chrono::seconds timeToLive{};
    core::TimePoint expiresAt;
  };

  struct Watcher
  {
    std::string key;
    Revision start = 0;
    std::shared_ptr<Lines> lines;
  };

  core::TimerService& mTimers;
  std::map<std::string, KeyValue> mValues;
  std::map<LeaseId, Lease> mLeases;
  std::list<Watcher> mWatchers;
  std::vector<std::shared_ptr<Lines>> mLines;
  std::multimap<Revision, KeyValue> mEvents;
  Revision mCompacted = 0;
  LeaseId mLastLease = 100;
  bool mIsInTransaction = false;

  core::Task<net::HttpResult> Exchange(net::HttpRequest aRequest, core::Duration aTimeout);
  core::Task<StreamReply> Open(net::HttpRequest aRequest, core::Duration aTimeout);
  json Handle(const std::string& aTarget, const json& aBody, unsigned& aStatus);
  json HandleTransaction(const json& aBody, unsigned& aStatus);
  json HandleLease(const std::string& aTarget, const json& aBody);
  json Range(const json& aRequest) const;
  json Header() const;
  void Expire();
  void Tell(const KeyValue& aValue);
  static json ToJson(const KeyValue& aValue, bool aIsKeysOnly);
  static std::string EventLine(const json& aHeader, const KeyValue& aValue);
  static core::Task<std::optional<std::string>> ReadLine(Lines& aLines, core::TimePoint aUntil);
};

} // namespace skylarkwing::store
