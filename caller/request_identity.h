#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::caller {

/** Names one request of a caller, and the daemon that alone may run it. */
struct RequestIdentity
{
  /** The VM of the home daemon. */
  std::string vm;
  /** The process of the home daemon that handed the identity out. */
  std::string incarnation;
  /** The home daemon's epoch at that time. */
  std::uint64_t epoch = 0;
  /** The caller's own part, unique within the prefix. */
  std::string unique;

  /** @return the whole identity as text. */
  std::string Text() const;
};

/** @return what callers put before their own part, "<vm>.<incarnation>.<epoch>". */
std::string
IdentityPrefix(std::string_view aVm, std::string_view aIncarnation, std::uint64_t aEpoch);

/** @return the identity, or nothing when the text is not one that could have been handed out. */
std::optional<RequestIdentity>
ParseRequestIdentity(std::string_view aText);

} // namespace skylarkwing::caller
