#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::store {

/** @return the bytes in base64 with padding. */
std::string
EncodeBase64(std::string_view aBytes);

/** @return the decoded bytes, or nothing when the text is not base64 with padding. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace skylarkwing::store
