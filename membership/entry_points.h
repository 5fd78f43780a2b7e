#pragma once

#include "core/random_source.h"
#include "declaration/declaration.h"
#include "membership/member.h"

#include <chrono>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** One address that a caller may use. */
struct SelectedEntryPoint
{
  std::string vm;
  /** "IP:port" for callers. */
  std::string address;
  std::string failureDomain;
  /** Starts the identities of requests whose home is this VM: `<vm>.<incarnation>.<epoch>`. */
  std::string identityPrefix;
};

/** The answer to `GET /v1/entry-points`. */
struct EntryPointSelection
{
  /** In the order in which the caller should try them. */
  std::vector<SelectedEntryPoint> entryPoints;
  /** How long the caller may keep the answer. */
  std::chrono::seconds maxAge{ 0 };
};

/** How long callers may keep the addresses; a leaving daemon serves at least that much longer. */
constexpr std::chrono::seconds kEntryPointsMaxAge{ 10 };

/** How many addresses one answer names at most. */
constexpr std::size_t kMaxEntryPoints = 8;

/** @return the start of request identities whose home is that member. */
std::string
IdentityPrefixOf(const Member& aMember);

/**
 * Chooses the addresses for one caller.
 *
 * Leaves out members that are leaving, suspect, overloaded or in a failure domain that was taken
 * out. The caller's region comes first; within a region the order is random and weighted by spare
 * load, so that callers spread evenly without any count of them being kept. When the rules leave
 * nobody, overloaded members are named after all, because an overloaded answer beats none.
 *
 * @param aMembers all members.
 * @param aDeclaration the configuration in force.
 * @param aFailureDomain the caller's, or empty when it did not say.
 */
EntryPointSelection
SelectEntryPoints(const std::vector<Member>& aMembers,
                  const declaration::Declaration& aDeclaration,
                  const std::string& aFailureDomain,
                  core::RandomSource& aRandom);

} // namespace skylarkwing::membership
