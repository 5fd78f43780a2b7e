#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::store {

/** @return bytes in base64 with padding. */
std::string
EncodeBase64(std::string_view aBytes);

/** @return the bytes of a base64 text with padding, or nothing when it is none. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace skylarkwing::store
