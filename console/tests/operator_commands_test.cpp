#include "console/operator_commands.h"
#include "console/tests/api_server.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace skylarkwing::console {

namespace {

/** Keeps what is written to a stream while it lives. */
class Capture
{
public:
  explicit Capture(std::ostream& aStream)
    : mStream(aStream)
    , mBefore(aStream.rdbuf(mText.rdbuf()))
  {
  }
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;
  ~Capture() { mStream.rdbuf(mBefore); }
  std::string Text() const { return mText.str(); }

private:
  std::ostringstream mText;
  std::ostream& mStream;
  std::streambuf* mBefore;
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

  int Run(int (*aCommand)(int, char**), std::vector<std::string> aWords)
  {
    std::vector<char*> arguments;
    arguments.reserve(aWords.size() + 1);
    for (std::string& word : aWords) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const Capture out(std::cout);
    const Capture err(std::cerr);
    const int code = aCommand(static_cast<int>(aWords.size()), arguments.data());
    printed = out.Text();
    complained = err.Text();
    return code;
  }

  std::vector<std::string> Online(std::vector<std::string> aWords) const
  {
    const std::vector<std::string> online{
      "--server", servers.addresses[0], "--token-file", tokenFile
    };
    aWords.insert(aWords.end(), online.begin(), online.end());
    return aWords;
  }

  std::vector<std::string> Change(std::vector<std::string> aWords) const
  {
    const std::vector<std::string> terms{ "--author", "Ngozi", "--reason", "cooling work" };
    aWords.insert(aWords.end(), terms.begin(), terms.end());
    return Online(std::move(aWords));
  }

  ApiServers servers;
  std::string tokenFile = "operator_commands_test.token";
  std::string faultyFile = "operator_commands_test.json";
  std::string goodFile = SKYLARKWING_SOURCE_DIR "/deployments/adebayo.json";
  std::string printed;
  std::string complained;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_commands, CommandFixture)

BOOST_AUTO_TEST_CASE(check_lists_all_faults)
{
  BOOST_TEST(Run(RunCheck, { "check", goodFile }) == 0);
  BOOST_TEST(Run(RunCheck, { "check", faultyFile }) == 1);
  BOOST_TEST(complained.find("/deployment") != std::string::npos);
  BOOST_TEST(complained.find("/failureDomains") != std::string::npos);
  BOOST_TEST(Run(RunCheck, { "check", "--json", faultyFile }) == 1);
  BOOST_TEST(nlohmann::json::parse(printed)["faults"].size() >= 2U);
}

BOOST_AUTO_TEST_CASE(wrong_usage_is_told_apart)
{
  BOOST_TEST(Run(RunCheck, { "check" }) == 2);
  BOOST_TEST(Run(RunCheck, { "check", "--server", "x", goodFile }) == 2);
  BOOST_TEST(Run(RunStatus, { "status" }) == 2);
  BOOST_TEST(Run(RunDomain, Change({ "domain", "off", "Ikeja" })) == 2);
  BOOST_TEST(Run(RunApply, Change({ "apply", goodFile, "--expect-generation", "x" })) == 2);
  BOOST_TEST(Run(RunApply, { "apply", "--help" }) == 0);
  BOOST_TEST(printed.find("--expect-generation N") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(domain_out_is_followed_until_it_is_in_force_and_shows_everywhere)
{
  BOOST_TEST(Run(RunDomain, Change({ "domain", "out", "Nassarawa" })) == 0);
  BOOST_TEST(printed.find("accepted as generation 2") != std::string::npos);
  BOOST_TEST(complained.find("generation 2 in force at 3 of 3 VMs") != std::string::npos);
  BOOST_TEST(Run(RunStatus, Online({ "status" })) == 0);
  BOOST_TEST(printed.find("Nassarawa: OUT (cooling work)") != std::string::npos);
  BOOST_TEST(Run(RunHistory, Online({ "history" })) == 0);
  BOOST_TEST(printed.find("generation 2 by Ngozi: cooling work") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_conflict_names_what_changed_meanwhile)
{
  Run(RunDomain, Change({ "domain", "out", "Nassarawa" }));
  const auto apply = Change({ "apply", goodFile, "--expect-generation", "1" });
  BOOST_TEST(Run(RunApply, apply) == 1);
  BOOST_TEST(complained.find("conflict") != std::string::npos);
  BOOST_TEST(complained.find("Nassarawa") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(diff_tells_the_changes_in_words)
{
  Run(RunDomain, Change({ "domain", "out", "Nassarawa" }));
  BOOST_TEST(Run(RunDiff, Online({ "diff", goodFile })) == 0);
  BOOST_TEST(printed.find("against generation 2") != std::string::npos);
  BOOST_TEST(printed.find("Nassarawa") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_has_its_own_exit_code)
{
  servers.cluster.loseAnswer = true;
  BOOST_TEST(Run(RunApply, Change({ "apply", goodFile })) == 3);
  std::vector<std::string> nobody{ "apply",    goodFile,      "--author",     "Ngozi",
                                   "--server", "127.0.0.1:1", "--token-file", tokenFile };
  BOOST_TEST(Run(RunApply, nobody) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console
