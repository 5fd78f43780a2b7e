#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** A daemon that is ready to take callers. */
struct EntryMember
{
  /** Name of its VM. */
  std::string vm;
  std::string failureDomain;
  std::string region;
  /** "IP:port" where callers connect. */
  std::string address;
  /** "IP:port" where other daemons connect. */
  std::string peerAddress;
  /** Processor cores that it may use. */
  double capacity = 1.0;
  /** Whether it has more work than it can do in time. */
  bool isBusy = false;
};

/** Where a caller stands; empty fields are unknown. */
struct CallerLocation
{
  std::string failureDomain;
  std::string region;
};

/** Most addresses that one answer names. */
constexpr std::size_t kMaxEntryAddresses = 64;

/** Members with at least this share of the greatest capacity are taken for equals. */
constexpr double kLargeMemberRatio = 0.6;

/** Part of its capacity that a member counts for while callers are sent to larger ones. */
constexpr double kReserveWeight = 0.15;

/** While more than this share of the large members is busy, the small ones help. */
constexpr double kMaxBusyRatio = 0.34;

/** The daemons that are ready, and which of them a caller should use. */
class EntryDirectory
{
public:
  /** Adds a member, or replaces what was known of it. */
  void Put(EntryMember aMember);

  /** Drops a member. */
  void Remove(const std::string& aVm);

  /** Replaces all members. */
  void Replace(std::vector<EntryMember> aMembers);

  /** @return members by VM. */
  const std::map<std::string, EntryMember>& Members() const { return mMembers; }

  /**
   * @return the share of the work that each member takes, by VM: its capacity, or a small part of
   *         it while callers are sent to larger members of its failure domain.
   */
  std::map<std::string, double> Weights() const;

  /**
   * @return addresses for a caller: those in its failure domain, else in its region, else all.
   *         At most kMaxEntryAddresses of them, starting at a place that differs by `aSpread`.
   *
   * A query over many shards costs a small member so much time that it misses its objective. So
   * callers get the large members of a place, and the small ones too while the large are busy.
   */
  std::vector<std::string> AddressesFor(const CallerLocation& aCaller, std::uint64_t aSpread) const;

private:
  std::map<std::string, EntryMember> mMembers;

  static std::vector<const EntryMember*> Preferred(const std::vector<const EntryMember*>& aMembers);
};

} // namespace skylarkwing::membership
