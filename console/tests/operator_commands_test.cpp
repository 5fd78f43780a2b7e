#include "console/operator_commands.h"
#include "console/tests/api_server.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace skylarkwing::console {

namespace {

/** Captures what is written to a stream during its lifetime. */
class Capture
{
public:
  explicit Capture(std::ostream& aStream)
    : mStream(aStream)
    , mPreviousBuffer(aStream.rdbuf(mText.rdbuf()))
  {
  }
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;
  ~Capture() { mStream.rdbuf(mPreviousBuffer); }
  std::string Text() const { return mText.str(); }

private:
  std::ostringstream mText;
  std::ostream& mStream;
  std::streambuf* mPreviousBuffer;
};

struct CommandFixture
{
  CommandFixture()
  {
    std::ofstream(tokenFile) << kChangeToken << "\n";
    std::ofstream(faultyFile) << R"({"deployment": 7, "failureDomains": 1})";
  }

  ~CommandFixture()
  {
    std::remove(tokenFile.c_str());
    std::remove(faultyFile.c_str());
  }

  int Run(int (*aCommand)(int, char**), std::vector<std::string> aArguments)
  {
    std::vector<char*> arguments;
    arguments.reserve(aArguments.size() + 1);
    for (std::string& argument : aArguments) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const Capture out(std::cout);
    const Capture err(std::cerr);
    const int code = aCommand(static_cast<int>(aArguments.size()), arguments.data());
    output = out.Text();
    errorOutput = err.Text();
    return code;
  }

  std::vector<std::string> WithServer(std::vector<std::string> aArguments) const
  {
    const std::vector<std::string> serverOptions{
      "--server", servers.addresses[0], "--token-file", tokenFile
    };
    aArguments.insert(aArguments.end(), serverOptions.begin(), serverOptions.end());
    return aArguments;
  }

  std::vector<std::string> WithChangeTerms(std::vector<std::string> aArguments) const
  {
    const std::vector<std::string> terms{ "--author", "Ngozi", "--reason", "cooling work" };
    aArguments.insert(aArguments.end(), terms.begin(), terms.end());
    return WithServer(std::move(aArguments));
  }

  ApiServers servers;
  std::string tokenFile = "operator_commands_test.token";
  std::string faultyFile = "operator_commands_test.json";
  std::string goodFile = SKYLARKWING_SOURCE_DIR "/deployments/adebayo.json";
  std::string output;
  std::string errorOutput;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_commands, CommandFixture)

BOOST_AUTO_TEST_CASE(check_lists_all_faults)
{
  BOOST_TEST(Run(RunCheck, { "check", goodFile }) == 0);
  BOOST_TEST(Run(RunCheck, { "check", faultyFile }) == 1);
  BOOST_TEST(errorOutput.find("/deployment") != std::string::npos);
  BOOST_TEST(errorOutput.find("/failureDomains") != std::string::npos);
  BOOST_TEST(Run(RunCheck, { "check", "--json", faultyFile }) == 1);
  BOOST_TEST(nlohmann::json::parse(output)["faults"].size() >= 2U);
}

BOOST_AUTO_TEST_CASE(wrong_usage_has_its_own_exit_code)
{
  BOOST_TEST(Run(RunCheck, { "check" }) == 2);
  BOOST_TEST(Run(RunCheck, { "check", "--server", "x", goodFile }) == 2);
  BOOST_TEST(Run(RunStatus, { "status" }) == 2);
  BOOST_TEST(Run(RunDomain, WithChangeTerms({ "domain", "off", "Ikeja" })) == 2);
  BOOST_TEST(Run(RunApply, WithChangeTerms({ "apply", goodFile, "--expect-generation", "x" })) ==
             2);
  BOOST_TEST(Run(RunApply, { "apply", "--help" }) == 0);
  BOOST_TEST(output.find("--expect-generation N") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(domain_out_waits_until_in_force_and_shows_in_status_and_history)
{
  BOOST_TEST(Run(RunDomain, WithChangeTerms({ "domain", "out", "Nassarawa" })) == 0);
  BOOST_TEST(output.find("accepted as generation 2") != std::string::npos);
  BOOST_TEST(errorOutput.find("generation 2 in force at 3 of 3 VMs") != std::string::npos);
  BOOST_TEST(Run(RunStatus, WithServer({ "status" })) == 0);
  BOOST_TEST(output.find("Nassarawa: OUT (cooling work)") != std::string::npos);
  BOOST_TEST(Run(RunHistory, WithServer({ "history" })) == 0);
  BOOST_TEST(output.find("generation 2 by Ngozi: cooling work") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_conflict_lists_the_changes_made_since)
{
  Run(RunDomain, WithChangeTerms({ "domain", "out", "Nassarawa" }));
  const auto apply = WithChangeTerms({ "apply", goodFile, "--expect-generation", "1" });
  BOOST_TEST(Run(RunApply, apply) == 1);
  BOOST_TEST(errorOutput.find("conflict") != std::string::npos);
  BOOST_TEST(errorOutput.find("Nassarawa") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(diff_describes_the_changes)
{
  Run(RunDomain, WithChangeTerms({ "domain", "out", "Nassarawa" }));
  BOOST_TEST(Run(RunDiff, WithServer({ "diff", goodFile })) == 0);
  BOOST_TEST(output.find("against generation 2") != std::string::npos);
  BOOST_TEST(output.find("Nassarawa") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_has_its_own_exit_code)
{
  servers.cluster.loseAnswer = true;
  BOOST_TEST(Run(RunApply, WithChangeTerms({ "apply", goodFile })) == 3);
  std::vector<std::string> unreachable{ "apply",    goodFile,      "--author",     "Ngozi",
                                        "--server", "127.0.0.1:1", "--token-file", tokenFile };
  BOOST_TEST(Run(RunApply, unreachable) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console
