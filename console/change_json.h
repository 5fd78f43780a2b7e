#pragma once

#include "console/change_service.h"
#include "console/console_hooks.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** A parsed request body of the operators' API, or the reason why it is invalid. */
template<typename T>
struct ParsedBody
{
  std::optional<T> value;
  std::string fault;
};

/** Body of a request to apply a declaration. */
struct DeclarationBody
{
  std::string declaration;
  ChangeTerms terms;
};

/** Body of a request to take a failure domain out of service or back. */
struct DomainBody
{
  bool out = false;
  ChangeTerms terms;
};

/**
 * Reads {"declaration", "expectedGeneration", "author", "reason", "force"}; the declaration is a
 * JSON object or a string that contains one.
 */
ParsedBody<DeclarationBody>
ReadDeclarationBody(const std::string& aText);

/** Reads {"out", "expectedGeneration", "author", "reason", "force"}. */
ParsedBody<DomainBody>
ReadDomainBody(const std::string& aText);

/** @return the outcome as the operators' API answers it. */
nlohmann::json
ToJson(const ChangeOutcome& aOutcome);

/** @return the outcome in a response body, or nothing when it is malformed. */
std::optional<ChangeOutcome>
ChangeOutcomeFromJson(const nlohmann::json& aJson);

/** @return the change records in a response body, or nothing when they are malformed. */
std::optional<std::vector<declaration::ChangeRecord>>
RecordsFromJson(const nlohmann::json& aJson);

/** @return a change record as the operators' API answers it. */
nlohmann::json
ToJson(const declaration::ChangeRecord& aRecord);

} // namespace skylarkwing::console
