#include "core/hex_text.h"

#include <charconv>
#include <cstddef>
#include <cstdio>

namespace skylarkwing::core {

namespace {

constexpr std::size_t kDigits = 16;
constexpr int kBase = 16;

} // namespace

std::string
ToHex(std::uint64_t aNumber)
{
  char buf[kDigits + 1] = {};
  std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(aNumber));
  return buf;
}

std::optional<std::uint64_t>
ParseHex(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, number, kBase);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace skylarkwing::core
