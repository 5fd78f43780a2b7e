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
};

/** Where a caller stands; empty fields are unknown. */
struct CallerPlace
{
  std::string failureDomain;
  std::string region;
};

/** Most addresses that one answer names. */
constexpr std::size_t kMostEntryAddresses = 64;

/** The daemons that are ready, and which of them a caller should use. */
class EntryRoll
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

  /** @return how many members each failure domain has. */
  std::map<std::string, std::size_t> CountByDomain() const;

  /**
   * @return addresses for a caller: those in its failure domain, else in its region, else all.
   *         At most kMostEntryAddresses of them, starting at a place that differs by `aSpread`.
   */
  std::vector<std::string> AddressesFor(const CallerPlace& aCaller, std::uint64_t aSpread) const;

private:
  std::map<std::string, EntryMember> mMembers;
};

} // namespace skylarkwing::membership
