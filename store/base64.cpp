#include "store/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace skylarkwing::store {

namespace {

namespace iterators = boost::archive::iterators;

using ToBase64 = iterators::base64_from_binary<iterators::transform_width<const char*, 6, 8>>;
using FromBase64 = iterators::transform_width<iterators::binary_from_base64<const char*>, 8, 6>;

/** Characters in one group of base64; the last group is padded with '='. */
constexpr std::size_t kGroupCharacters = 4;
constexpr std::size_t kMaxPadding = 2;

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text(ToBase64(aBytes.data()), ToBase64(aBytes.data() + aBytes.size()));
  text.append((kGroupCharacters - text.size() % kGroupCharacters) % kGroupCharacters, '=');
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % kGroupCharacters != 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < kMaxPadding && !aText.empty() && aText.back() == '=') {
    aText.remove_suffix(1);
    ++padding;
  }
  const std::size_t size = aText.size() * 6 / 8;
  std::string bytes;
  bytes.reserve(size);
  try {
    FromBase64 it(aText.data());
    for (std::size_t n = 0; n < size; ++n, ++it) {
      bytes.push_back(*it);
    }
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace skylarkwing::store
