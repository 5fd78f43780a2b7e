#pragma once

#include "core/random_source.h"
#include "declaration/declaration.h"
#include "membership/member.h"

#include <chrono>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** A daemon address that a caller may use. */
struct SelectedEntryPoint
{
  std::string vm;
  /** "IP:port" for callers. */
  std::string address;
  std::string failureDomain;
  /** Prefix of the identities of requests whose home is this VM: `<vm>.<incarnation>.<epoch>`. */
  std::string identityPrefix;
};

/** The entry points selected for a caller, for the answer to `GET /v1/entry-points`. */
struct EntryPointSelection
{
  /** The caller tries them in this order. */
  std::vector<SelectedEntryPoint> entryPoints;
  /** How long the caller may cache the answer. */
  std::chrono::seconds maxAge{ 0 };
};

/** How long callers may cache the addresses; a leaving daemon serves at least that much longer. */
constexpr std::chrono::seconds kEntryPointsMaxAge{ 10 };

/** Maximum number of addresses in one answer. */
constexpr std::size_t kMaxEntryPoints = 8;

/** @return the prefix of request identities whose home is that member. */
std::string
IdentityPrefixOf(const Member& aMember);

/**
 * Selects the entry points for one caller.
 *
 * Leaves out members that are not alive, are overloaded, or are in a failure domain that is out of
 * service. Members of the caller's region come first; within a region the order is random and
 * weighted by spare load, which spreads callers without counting them. When no member qualifies,
 * overloaded members are included, because an overloaded daemon is better than none.
 *
 * @param aMembers all members.
 * @param aDeclaration the configuration in force.
 * @param aFailureDomain the caller's failure domain, or empty when it is unknown.
 */
EntryPointSelection
SelectEntryPoints(const std::vector<Member>& aMembers,
                  const declaration::Declaration& aDeclaration,
                  const std::string& aFailureDomain,
                  core::RandomSource& aRandom);

} // namespace skylarkwing::membership
