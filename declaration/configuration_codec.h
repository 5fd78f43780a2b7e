#pragma once

#include "declaration/declaration_parser.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::declaration {

/** A configuration, or the faults that make the document invalid. */
struct ParseConfigurationResult
{
  std::optional<Configuration> configuration;
  std::vector<Fault> faults;
};

/** Parses and validates a configuration as it is kept in the store. */
ParseConfigurationResult
ParseConfiguration(std::string_view aText);

/** Validates a configuration that is already parsed JSON. */
ParseConfigurationResult
ReadConfiguration(const nlohmann::json& aDocument);

/** @return a document that ReadConfiguration() accepts. */
nlohmann::json
ToJson(const Configuration& aConfiguration);

/** @return the configuration as compact JSON, as it is kept in the store. */
std::string
ConfigurationToText(const Configuration& aConfiguration);

/** @return a history record as JSON. */
nlohmann::json
ToJson(const ChangeRecord& aRecord);

} // namespace skylarkwing::declaration
