#pragma once

#include "caller/request_identity.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "net/http_message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwing::caller {

/** State of a request identity at its home daemon. */
enum class RunState
{
  /** New; the caller of Begin() must run the request and then call Finish(). */
  Started,
  /** Already running; its outcome will be sent to the waiter. */
  Running,
  /** Ended, and its outcome is stored. */
  Done,
  /** Ended, but its outcome was not stored because of the memory limit. */
  OutcomeDropped,
  /** The identity was used for a request with other content. */
  Reused,
  /** The epoch of the identity is no longer tracked; whether it ran is unknown. */
  Expired,
  /** The identity was never issued. */
  NeverIssued,
  /** The table has no space for another request. */
  Full,
};

/** Limits of a run table. */
struct RunTableSettings
{
  std::size_t entries = 50'000;
  std::size_t outcomeBytes = 32 * 1024 * 1024;
  /** Number of epochs whose identities are accepted, including the current one. */
  std::uint64_t keptEpochs = 4;
};

/**
 * Deduplicates non-idempotent requests at their home daemon, so that each runs at most once.
 *
 * An entry is kept while its identity is accepted, so a request that ran is never mistaken for a
 * new one. Not thread-safe: one instance belongs to one event loop.
 */
class RunTable
{
public:
  using Waiter = core::Mailbox<net::HttpResponse>;

  /** Result of Begin(). */
  struct BeginResult
  {
    RunState state = RunState::Full;
    /** Set when the state is Running. */
    std::shared_ptr<Waiter> waiter;
    /** Set when the state is Done. */
    std::optional<net::HttpResponse> outcome;
  };

  RunTable(core::TimerService& aTimers, RunTableSettings aSettings);

  /**
   * Looks up an identity, and adds an entry when it is new.
   *
   * @param aIdentity an identity whose home is this process.
   * @param aContentHash hash of the request's content, to detect a reused identity.
   * @param aEpoch the current epoch.
   */
  BeginResult Begin(const RequestIdentity& aIdentity,
                    std::uint64_t aContentHash,
                    std::uint64_t aEpoch);

  /**
   * Ends a run that Begin() started, and sends its outcome to all waiters.
   *
   * @param aMayHaveRun if false, the entry is removed, so that the caller may retry the identity.
   */
  void Finish(const RequestIdentity& aIdentity,
              const net::HttpResponse& aOutcome,
              bool aMayHaveRun);

  /** @return whether no request with the identity has run or is running. */
  bool HasCertainlyNotRun(const RequestIdentity& aIdentity, std::uint64_t aEpoch) const;

  /** @return the number of entries. */
  std::size_t Size() const { return mSize; }

private:
  struct Entry
  {
    std::uint64_t contentHash = 0;
    bool isDone = false;
    std::optional<net::HttpResponse> outcome;
    std::vector<std::shared_ptr<Waiter>> waiters;
  };
  using Epoch = std::unordered_map<std::string, Entry>;

  bool IsExpired(const RequestIdentity& aIdentity, std::uint64_t aEpoch) const;
  BeginResult FindExisting(Entry& aEntry, std::uint64_t aContentHash);
  void DropExpired(std::uint64_t aEpoch);
  void StoreOutcome(Entry& aEntry, const net::HttpResponse& aOutcome);

  core::TimerService& mTimers;
  RunTableSettings mSettings;
  std::map<std::uint64_t, Epoch> mEpochs;
  std::size_t mSize = 0;
  std::size_t mBytes = 0;
};

} // namespace skylarkwing::caller
