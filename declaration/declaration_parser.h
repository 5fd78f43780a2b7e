#pragma once

#include "core/json_reader.h"
#include "declaration/declaration.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::declaration {

/** A validation error in a declaration. */
using Fault = core::JsonFault;

/** A declaration, or the faults that make the document invalid. */
struct ParseResult
{
  std::optional<Declaration> declaration;
  std::vector<Fault> faults;
};

/** Parses and validates a declaration. */
ParseResult
ParseDeclaration(std::string_view aText);

/** Validates a declaration that is already parsed JSON. */
ParseResult
ReadDeclaration(const nlohmann::json& aDocument);

/** @return the declaration with all keys, including defaults; ReadDeclaration() accepts it. */
nlohmann::json
ToJson(const Declaration& aDeclaration);

} // namespace skylarkwing::declaration
