#include "bench/builtin_deployment.h"
#include "bench/scenario.h"
#include "declaration/declaration_parser.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace skylarkwing::bench {

namespace {

const std::string kRoot = SKYLARKWING_SOURCE_DIR;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(FilesTest)

BOOST_AUTO_TEST_CASE(BuiltInDeploymentsMatchTheirFiles)
{
  for (const std::string& name : BuiltinDeploymentNames()) {
    const std::filesystem::path folder = std::filesystem::path(kRoot) / "deployments";
    const std::filesystem::path file = (folder / name).replace_extension(".json");
    const auto parsed = declaration::ParseDeclaration(ReadFile(file.string()));
    BOOST_TEST_REQUIRE(parsed.declaration.has_value(), name);
    BOOST_TEST(declaration::ToJson(*parsed.declaration) ==
               declaration::ToJson(*BuiltinDeployment(name)));
  }
}

BOOST_AUTO_TEST_CASE(EveryScenarioFileIsValid)
{
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(kRoot + "/bench/scenarios")) {
    const ScenarioResult loaded = LoadScenario(entry.path().string());
    BOOST_TEST_REQUIRE(loaded.scenario.has_value(), loaded.error);
    BOOST_TEST(loaded.scenario->name == entry.path().stem().string());
    ++count;
  }
  BOOST_TEST(count >= 14U);
}

BOOST_AUTO_TEST_CASE(ParserReportsScenarioErrors)
{
  const ScenarioResult unknownAction =
    ParseScenario(R"({"name":"x","events":[{"at":0.5,"action":"explode"}]})");
  BOOST_TEST(unknownAction.error == "/events/0: unknown action explode");
  const ScenarioResult unknownKey = ParseScenario(R"({"name":"x","event":[]})");
  BOOST_TEST(unknownKey.error == "unknown key event");
  BOOST_TEST(!ParseScenario("[]").scenario.has_value());
  BOOST_TEST(!ParseScenario(R"({"name":"x"})").scenario.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::bench
