#include "core/parse_unsigned.h"

#include <charconv>

namespace skylarkwing::core {

namespace {

struct ParsedNumber
{
  std::uint64_t value = 0;
  bool isNumber = false;
  bool isEntireText = false;
};

ParsedNumber
Parse(std::string_view aText)
{
  ParsedNumber number;
  const char* const last = aText.data() + aText.size();
  const auto [end, ec] = std::from_chars(aText.data(), last, number.value);
  number.isNumber = ec == std::errc() && !aText.empty();
  number.isEntireText = number.isNumber && end == last;
  return number;
}

} // namespace

std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText)
{
  const ParsedNumber number = Parse(aText);
  return number.isEntireText ? std::optional<std::uint64_t>(number.value) : std::nullopt;
}

std::optional<std::uint64_t>
ParseLeadingUnsigned(std::string_view aText)
{
  const ParsedNumber number = Parse(aText);
  return number.isNumber ? std::optional<std::uint64_t>(number.value) : std::nullopt;
}

} // namespace skylarkwing::core
