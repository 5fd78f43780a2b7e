#include "core/text_rules.h"

#include "core/socket_address.h"

#include <algorithm>
#include <string_view>

namespace skylarkwing::core {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxTitleBytes = 128;
constexpr std::size_t kMaxRemarkBytes = 1024;

bool
IsAsciiAlphanumeric(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

bool
IsName(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxNameBytes || !IsAsciiAlphanumeric(aText.front())) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return IsAsciiAlphanumeric(aCharacter) || aCharacter == '-' || aCharacter == '_' ||
           aCharacter == '.';
  });
}

bool
IsTitle(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxTitleBytes;
}

bool
IsRemark(std::string_view aText)
{
  return aText.size() <= kMaxRemarkBytes;
}

} // namespace

const TextRule&
NameRule()
{
  static const TextRule kRule{
    "a name of 1 to 64 letters, digits, '-', '_' and '.', the first a letter or digit", IsName
  };
  return kRule;
}

const TextRule&
TitleRule()
{
  static const TextRule kRule{ "a string of 1 to 128 bytes", IsTitle };
  return kRule;
}

const TextRule&
RemarkRule()
{
  static const TextRule kRule{ "a string of at most 1024 bytes", IsRemark };
  return kRule;
}

const TextRule&
AddressRule()
{
  static const TextRule kRule{ "an IP address and a port such as \"10.0.0.1:7300\"",
                               IsSocketAddress };
  return kRule;
}

} // namespace skylarkwing::core
