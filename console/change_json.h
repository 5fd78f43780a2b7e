#pragma once

#include "console/change_service.h"
#include "console/console_hooks.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::console {

/** A request body of the operators' API that was understood, or why not. */
template<typename T>
struct BodyReading
{
  std::optional<T> value;
  std::string fault;
};

/** The body of a request to put a declaration in force. */
struct DeclarationBody
{
  std::string declaration;
  ChangeTerms terms;
};

/** The body of a request to take a failure domain out or back. */
struct DomainBody
{
  bool out = false;
  ChangeTerms terms;
};

/**
 * Reads {"declaration", "expectedGeneration", "author", "reason", "force"}; the declaration is an
 * object or its text.
 */
BodyReading<DeclarationBody>
ReadDeclarationBody(const std::string& aText);

/** Reads {"out", "expectedGeneration", "author", "reason", "force"}. */
BodyReading<DomainBody>
ReadDomainBody(const std::string& aText);

/** @return the outcome as the operators' API answers it. */
nlohmann::json
ToJson(const ChangeOutcome& aOutcome);

/** @return the outcome that an answer holds, or nothing when it holds none. */
std::optional<ChangeOutcome>
ChangeOutcomeFromJson(const nlohmann::json& aJson);

/** @return the change records that an answer holds, or nothing when it holds none. */
std::optional<std::vector<declaration::ChangeRecord>>
RecordsFromJson(const nlohmann::json& aJson);

/** @return a change record as the operators' API answers it. */
nlohmann::json
ToJson(const declaration::ChangeRecord& aRecord);

} // namespace skylarkwing::console
