#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace skylarkwing::core {

/**
 * Names of the values of an enumeration, in the order of the values, for logs, metrics and
 * messages.
 *
 * @tparam Enum an enum class whose values are numbered from 0 without gaps.
 * @tparam N the number of values.
 */
template<typename Enum, std::size_t N>
struct NameTable
{
  std::array<std::string_view, N> names;

  /** @return the name of a value, or "invalid" if it is out of range. */
  constexpr std::string_view NameOf(Enum aValue) const
  {
    const auto n = static_cast<std::size_t>(aValue);
    return n < N ? names[n] : std::string_view("invalid");
  }

  /** @return the value with this name, or nothing if there is none. */
  constexpr std::optional<Enum> ValueOf(std::string_view aName) const
  {
    for (std::size_t n = 0; n < N; ++n) {
      if (names[n] == aName) {
        return static_cast<Enum>(n);
      }
    }
    return std::nullopt;
  }
};

} // namespace skylarkwing::core
