#pragma once

#include "core/json_reader.h"
#include "declaration/declaration.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::declaration {

/** One place where a declaration is not as it must be. */
using Fault = core::JsonFault;

/** A declaration, or every fault that keeps it from being one. */
struct ParseResult
{
  std::optional<Declaration> declaration;
  std::vector<Fault> faults;
};

/** Reads and checks a whole declaration. */
ParseResult
ParseDeclaration(std::string_view aText);

/** The same for a document that is already JSON. */
ParseResult
ReadDeclaration(const nlohmann::json& aDocument);

/** @return the declaration with every key written out; ParseDeclaration() reads it back. */
nlohmann::json
ToJson(const Declaration& aDeclaration);

} // namespace skylarkwing::declaration
