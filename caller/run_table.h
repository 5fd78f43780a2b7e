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

/** What a home daemon knows of one request identity. */
enum class RunState
{
  /** It is new; the asker has its place now, must run it, and then calls Finish(). */
  Begun,
  /** It runs; its outcome will come to the waiter. */
  Running,
  /** It is over, and here is its outcome. */
  Done,
  /** It is over, and its outcome took too much room to keep. */
  OutcomeDropped,
  /** The identity belongs to a request that asked something else. */
  Reused,
  /** The identity's epoch is over; whether it ran is no longer known. */
  Expired,
  /** The identity was never handed out. */
  NeverIssued,
  /** There is no room for another request. */
  Full,
};

/** Bounds of a run table. */
struct RunTableSettings
{
  std::size_t entries = 50'000;
  std::size_t outcomeBytes = 32 * 1024 * 1024;
  /** Epochs whose identities are accepted, the present one included. */
  std::uint64_t keptEpochs = 4;
};

/**
 * The requests that must not run twice, at their home daemon.
 *
 * An entry stays for as long as its identity is accepted, so no request that ran is ever taken for
 * a new one. Not thread-safe: one instance belongs to one event loop.
 */
class RunTable
{
public:
  using Waiter = core::Mailbox<net::HttpResponse>;

  /** The answer of Begin(). */
  struct BeginResult
  {
    RunState state = RunState::Full;
    /** Set while Running. */
    std::shared_ptr<Waiter> waiter;
    /** Set when Done. */
    std::optional<net::HttpResponse> outcome;
  };

  RunTable(core::TimerService& aTimers, RunTableSettings aSettings);

  /**
   * Looks an identity up, and takes its place when it is new.
   *
   * @param aIdentity an identity of this process.
   * @param aContentHash tells requests apart that bear the same identity.
   * @param aEpoch the present epoch.
   */
  BeginResult Begin(const RequestIdentity& aIdentity,
                    std::uint64_t aContentHash,
                    std::uint64_t aEpoch);

  /**
   * Ends a run that Begin() began, and hands its outcome to everyone who waits.
   *
   * @param aMayHaveRun false forgets the identity, so that the caller may send it again.
   */
  void Finish(const RequestIdentity& aIdentity,
              const net::HttpResponse& aOutcome,
              bool aMayHaveRun);

  /** @return whether nothing under that identity has run or runs, for certain. */
  bool HasCertainlyNotRun(const RequestIdentity& aIdentity, std::uint64_t aEpoch) const;

  /** @return how many requests are remembered. */
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
