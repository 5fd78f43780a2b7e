#include "core/json_repair.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <optional>

namespace skylarkwing::core {

namespace {

using Utf8 = boost::locale::utf::utf_traits<char>;
using boost::locale::utf::code_point;

/** 16 noncharacters for the upper half of a byte, followed by 16 for the lower one. */
constexpr code_point kFirstUpper = 0xFDD0;
constexpr code_point kFirstLower = 0xFDE0;
constexpr code_point kEndLower = 0xFDF0;
constexpr unsigned kHalfBits = 4;
constexpr unsigned kHalfMask = 15;

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kEndAscii = 0x80;

constexpr std::uint16_t kFirstHighSurrogate = 0xD800;
constexpr std::uint16_t kFirstLowSurrogate = 0xDC00;
constexpr std::uint16_t kEndLowSurrogate = 0xE000;

/** Characters of an escape such as "\u0041". */
constexpr std::size_t kEscapeSize = 6;

bool
IsReserved(code_point aPoint)
{
  return aPoint >= kFirstUpper && aPoint < kEndLower;
}

void
AppendByte(std::string& aTarget, char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  Utf8::encode(kFirstUpper + (byte >> kHalfBits), std::back_inserter(aTarget));
  Utf8::encode(kFirstLower + (byte & kHalfMask), std::back_inserter(aTarget));
}

/** Appends the bytes that UTF-8 would use for a UTF-16 unit, also for a surrogate. */
void
AppendUnit(std::string& aTarget, std::uint16_t aUnit)
{
  constexpr unsigned kLead = 0xE0;
  constexpr unsigned kTrail = 0x80;
  constexpr unsigned kTrailBits = 6;
  constexpr unsigned kTrailMask = 0x3F;
  const unsigned unit = aUnit;
  AppendByte(aTarget, static_cast<char>(kLead | (unit >> (2 * kTrailBits))));
  AppendByte(aTarget, static_cast<char>(kTrail | ((unit >> kTrailBits) & kTrailMask)));
  AppendByte(aTarget, static_cast<char>(kTrail | (unit & kTrailMask)));
}

/** @return the UTF-16 unit of the escape at the beginning of a text, nothing when there is none. */
std::optional<std::uint16_t>
ReadEscape(std::string_view aText)
{
  constexpr int kHexadecimal = 16;
  if (aText.size() < kEscapeSize || aText.substr(0, 2) != "\\u") {
    return std::nullopt;
  }
  std::uint16_t unit = 0;
  const char* const end = aText.data() + kEscapeSize;
  const auto [rest, ec] = std::from_chars(aText.data() + 2, end, unit, kHexadecimal);
  return ec == std::errc() && rest == end ? std::optional(unit) : std::nullopt;
}

bool
IsSurrogate(std::uint16_t aUnit)
{
  return aUnit >= kFirstHighSurrogate && aUnit < kEndLowSurrogate;
}

/** Appends the escape at the beginning of a text. @return the number of characters read. */
std::size_t
RepairEscape(std::string_view aText, std::string& aTarget)
{
  const auto unit = ReadEscape(aText);
  if (!unit) {
    const std::size_t size = std::min<std::size_t>(2, aText.size());
    aTarget += aText.substr(0, size);
    return size;
  }
  if (*unit >= kFirstHighSurrogate && *unit < kFirstLowSurrogate) {
    const auto low = ReadEscape(aText.substr(kEscapeSize));
    if (low && *low >= kFirstLowSurrogate && *low < kEndLowSurrogate) {
      aTarget += aText.substr(0, 2 * kEscapeSize);
      return 2 * kEscapeSize;
    }
  }
  if (IsSurrogate(*unit) || IsReserved(*unit)) {
    AppendUnit(aTarget, *unit);
  } else {
    aTarget += aText.substr(0, kEscapeSize);
  }
  return kEscapeSize;
}

/** @return whether a character stands for itself wherever it is. */
bool
IsPlain(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte >= kFirstPrintable && byte < kEndAscii && aCharacter != '"' && aCharacter != '\\';
}

/** Appends the character at the beginning of a text. @return the number of bytes read. */
std::size_t
RepairCharacter(std::string_view aText, bool aIsInString, std::string& aTarget)
{
  const auto byte = static_cast<unsigned char>(aText.front());
  if (aIsInString && byte < kFirstPrintable) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    aTarget += "\\u00";
    aTarget += kDigits[byte >> kHalfBits];
    aTarget += kDigits[byte & kHalfMask];
    return 1;
  }
  const char* const begin = aText.data();
  const char* next = begin;
  const code_point point = Utf8::decode(next, begin + aText.size());
  if (!boost::locale::utf::is_valid_codepoint(point)) {
    AppendByte(aTarget, aText.front());
    return 1;
  }
  const auto size = static_cast<std::size_t>(next - begin);
  if (!IsReserved(point)) {
    aTarget += aText.substr(0, size);
    return size;
  }
  for (const char part : aText.substr(0, size)) {
    AppendByte(aTarget, part);
  }
  return size;
}

} // namespace

std::string
RepairJson(std::string_view aText)
{
  std::string repaired;
  repaired.reserve(aText.size());
  bool isInString = false;
  while (!aText.empty()) {
    const auto end = std::find_if_not(aText.begin(), aText.end(), IsPlain);
    const auto size = static_cast<std::size_t>(end - aText.begin());
    repaired += aText.substr(0, size);
    aText.remove_prefix(size);
    if (aText.empty()) {
      break;
    }
    if (isInString && aText.front() == '\\') {
      aText.remove_prefix(RepairEscape(aText, repaired));
      continue;
    }
    isInString = isInString != (aText.front() == '"');
    aText.remove_prefix(RepairCharacter(aText, isInString, repaired));
  }
  return repaired;
}

bool
HasReplacedBytes(std::string_view aText)
{
  const char* next = aText.data();
  const char* const end = next + aText.size();
  while (next != end) {
    const code_point point = Utf8::decode(next, end);
    if (IsReserved(point)) {
      return true;
    }
  }
  return false;
}

std::string
OriginalBytes(std::string_view aText)
{
  std::string bytes;
  const char* next = aText.data();
  const char* const end = next + aText.size();
  unsigned upper = 0;
  while (next != end) {
    const code_point point = Utf8::decode(next, end);
    if (!IsReserved(point)) {
      Utf8::encode(point, std::back_inserter(bytes));
    } else if (point < kFirstLower) {
      upper = point - kFirstUpper;
    } else {
      bytes += static_cast<char>((upper << kHalfBits) | (point - kFirstLower));
    }
  }
  return bytes;
}

} // namespace skylarkwing::core
