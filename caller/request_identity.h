#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::caller {

/** Identifies one request of a caller and its home, the only daemon that may run it. */
struct RequestIdentity
{
  /** The VM of the home daemon. */
  std::string vm;
  /** The process of the home daemon that issued the prefix. */
  std::string incarnation;
  /** The epoch of the home daemon when it issued the prefix. */
  std::uint64_t epoch = 0;
  /** Chosen by the caller, unique within the prefix. */
  std::string unique;

  /** @return the identity as text. */
  std::string Text() const;
};

/** @return the prefix issued to callers, "<vm>.<incarnation>.<epoch>". */
std::string
IdentityPrefix(std::string_view aVm, std::string_view aIncarnation, std::uint64_t aEpoch);

/** @return the identity, or nothing when the text is not a valid one. */
std::optional<RequestIdentity>
ParseRequestIdentity(std::string_view aText);

} // namespace skylarkwing::caller
