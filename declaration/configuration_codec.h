#pragma once

#include "declaration/declaration_parser.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::declaration {

/** A stored configuration, or every fault that keeps the text from being one. */
struct ParseConfigurationResult
{
  std::optional<Configuration> configuration;
  std::vector<Fault> faults;
};

/** Reads and checks the document that stands in the store. */
ParseConfigurationResult
ParseConfiguration(std::string_view aText);

/** The same for a document that is already JSON. */
ParseConfigurationResult
ReadConfiguration(const nlohmann::json& aDocument);

/** @return the document that ParseConfiguration() reads back. */
nlohmann::json
ToJson(const Configuration& aConfiguration);

/** @return the same as compact text, as it stands in the store. */
std::string
ConfigurationToText(const Configuration& aConfiguration);

/** @return one record of the history as JSON. */
nlohmann::json
ToJson(const ChangeRecord& aRecord);

} // namespace skylarkwing::declaration
