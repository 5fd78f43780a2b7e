#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace skylarkwing::core {

/**
 * The names of an enumeration's values, in the order of the values, for logs, metrics and messages.
 *
 * @tparam Enum an enum class whose values count up from 0.
 * @tparam N how many values it has.
 */
template<typename Enum, std::size_t N>
struct NameTable
{
  std::array<std::string_view, N> names;

  /** @return the name of a value, "invalid" for one outside the enumeration. */
  constexpr std::string_view NameOf(Enum aValue) const
  {
    const auto n = static_cast<std::size_t>(aValue);
    return n < N ? names[n] : std::string_view("invalid");
  }

  /** @return the value of a name, or nothing. */
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
