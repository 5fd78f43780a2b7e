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

/** An in-memory etcd behind a StoreEndpoint, with injected faults. */
class FakeStore
{
public:
  explicit FakeStore(core::TimerService& aTimers)
    : mTimers(aTimers)
  {
  }

  /** Refuses all connections while set. */
  bool isDown = false;
  /** Time from a request's arrival to its effect. */
  core::Duration delay{};
  /** Time from a request's effect to its answer. */
  core::Duration answerDelay{};
  /** Number of coming writes that take effect but whose answers are lost. */
  int answersToLose = 0;
  /** Number of coming writes that are lost before they take effect. */
  int writesToLose = 0;
  /** Number of requests by path, watches included. */
  std::map<std::string, int> calls;
  /** Called once before the next transaction runs, to create a race. */
  std::function<void()> beforeTransaction;

  /** @return the endpoint that clients use to call this store. */
  StoreEndpoint Endpoint();

  /** Writes a key like another client. */
  void PutValue(const std::string& aKey, const std::string& aValue, LeaseId aLease = 0);

  /** Deletes a key. */
  void Erase(const std::string& aKey);

  /** @return the key, or null. */
  const KeyValue* Find(const std::string& aKey);

  /** Ends all watches; if compacting, also drops all events up to now. */
  void CloseWatches(bool aIsCompacting);

  /** Restarts empty at a revision, as after a restore from a backup. */
  void Restore(Revision aRevision);

  /** @return the total number of requests. */
  int Calls() const;

  Revision revision = 1;
  /** A restore from a backup makes a new cluster. */
  int cluster = 1;

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
  void ExpireLeases();
  void Notify(const KeyValue& aValue);
  static json ToJson(const KeyValue& aValue, bool aIsKeysOnly);
  static std::string EventLine(const json& aHeader, const KeyValue& aValue);
  static core::Task<std::optional<std::string>> ReadLine(Lines& aLines, core::TimePoint aUntil);
};

} // namespace skylarkwing::store
