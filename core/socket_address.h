#pragma once

#include <string_view>

namespace skylarkwing::core {

/** @return whether a string is an IP address and a nonzero port: "10.0.0.1:80", "[::1]:80". */
bool
IsSocketAddress(std::string_view aText);

} // namespace skylarkwing::core
