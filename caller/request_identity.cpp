#include "caller/request_identity.h"

#include <algorithm>
#include <charconv>

namespace skylarkwing::caller {

namespace {

constexpr std::size_t kMaxIdentityBytes = 256;

bool
IsAllowed(char aCharacter)
{
  const bool isLetter =
    (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit || aCharacter == '-' || aCharacter == '_' || aCharacter == '.' ||
         aCharacter == ':';
}

/** Removes and returns the last field of a text whose fields are separated by dots. */
std::optional<std::string_view>
RemoveLastField(std::string_view& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view last = aText.substr(dot + 1);
  aText = aText.substr(0, dot);
  if (last.empty()) {
    return std::nullopt;
  }
  return last;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t n = 0;
  const char* end = aText.data() + aText.size();
  const auto [next, ec] = std::from_chars(aText.data(), end, n);
  if (ec != std::errc{} || next != end) {
    return std::nullopt;
  }
  return n;
}

} // namespace

std::string
RequestIdentity::Text() const
{
  return IdentityPrefix(vm, incarnation, epoch) + "." + unique;
}

std::string
IdentityPrefix(std::string_view aVm, std::string_view aIncarnation, std::uint64_t aEpoch)
{
  std::string prefix(aVm);
  prefix += '.';
  prefix += aIncarnation;
  prefix += '.';
  prefix += std::to_string(aEpoch);
  return prefix;
}

std::optional<RequestIdentity>
ParseRequestIdentity(std::string_view aText)
{
  const bool isAllowed = std::all_of(aText.begin(), aText.end(), IsAllowed);
  if (aText.size() > kMaxIdentityBytes || !isAllowed) {
    return std::nullopt;
  }
  std::string_view rest = aText;
  const auto unique = RemoveLastField(rest);
  const auto epochText = unique ? RemoveLastField(rest) : std::nullopt;
  const auto incarnation = epochText ? RemoveLastField(rest) : std::nullopt;
  if (!incarnation || rest.empty()) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> epoch = ParseNumber(*epochText);
  if (!epoch) {
    return std::nullopt;
  }
  RequestIdentity identity;
  identity.vm = rest;
  identity.incarnation = *incarnation;
  identity.epoch = *epoch;
  identity.unique = *unique;
  return identity;
}

} // namespace skylarkwing::caller
