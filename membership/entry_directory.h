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
  /** Whether it has more work than it can finish in time. */
  bool isBusy = false;
  /** Whether it is cut off from the replicas, so that others serve what still comes to it. */
  bool isPartitioned = false;
  /** Whether it serves requests that other daemons forward; earlier builds don't. */
  bool servesOthers = false;
  /** Whether it can coordinate the customers' quotas; earlier builds can't. */
  bool keepsQuotas = false;
};

/** The location of a caller; empty fields are unknown. */
struct CallerLocation
{
  std::string failureDomain;
  std::string region;
};

/** Maximum number of addresses in one answer. */
constexpr std::size_t kMaxEntryAddresses = 64;

/** Members with at least this ratio of the greatest capacity count as large. */
constexpr double kLargeMemberRatio = 0.6;

/** Ratio of its capacity that a small member is weighted with while only large ones get callers. */
constexpr double kReserveWeight = 0.15;

/** While more than this ratio of the large members is busy, callers get the small ones too. */
constexpr double kMaxBusyRatio = 0.34;

/** The daemons that are ready to take callers, and the selection of addresses for a caller. */
class EntryDirectory
{
public:
  /** Adds a member, or replaces what was known of it. */
  void Put(EntryMember aMember);

  void Remove(const std::string& aVm);

  /** Replaces all members. */
  void Replace(std::vector<EntryMember> aMembers);

  /** @return members by VM. */
  const std::map<std::string, EntryMember>& Members() const { return mMembers; }

  /**
   * @return the weight of each member's share of the work, by VM: its capacity, a small part of it
   *         while callers are sent to larger members of its failure domain, or 0 while it is cut
   * off from the replicas.
   */
  std::map<std::string, double> Weights() const;

  /**
   * @param aSpread rotates a list that is cut, so that callers get different parts of it.
   * @return addresses for a caller: those in its failure domain, else in its region, else all; at
   *         most kMaxEntryAddresses. Members that are cut off from the replicas are left out while
   *         there are others.
   *
   * A query over many shards takes so long on a small member that it misses its latency objective.
   * Callers therefore get the large members, and the small ones too while the large are busy.
   */
  std::vector<std::string> AddressesFor(const CallerLocation& aCaller, std::uint64_t aSpread) const;

private:
  std::map<std::string, EntryMember> mMembers;

  std::vector<const EntryMember*> WithPathToReplicas() const;
  static std::vector<const EntryMember*> Preferred(const std::vector<const EntryMember*>& aMembers);
};

} // namespace skylarkwing::membership
