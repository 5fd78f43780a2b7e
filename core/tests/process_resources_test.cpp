#include "core/process_resources.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace skylarkwing::core {

namespace {

/** Files as the kernel shows them for control groups, in a folder of the test. */
struct GroupFixture
{
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() / ("skylarkwing-groups-" + std::to_string(getpid()));

  GroupFixture() { std::filesystem::create_directories(folder / "outer" / "inner"); }
  ~GroupFixture() { std::filesystem::remove_all(folder); }

  void Write(const std::string& aFile, const std::string& aText) const
  {
    std::ofstream(folder / aFile) << aText << '\n';
  }

  std::size_t Read() const { return ReadGroupMemoryLimit(folder / "membership", folder); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(process_resources)

BOOST_FIXTURE_TEST_CASE(the_least_limit_of_the_groups_counts, GroupFixture)
{
  BOOST_TEST(Read() == 0U);
  Write("membership", "3:cpu:/other\n0::/outer/inner");
  BOOST_TEST(Read() == 0U);
  Write("outer/inner/memory.max", "max");
  Write("outer/memory.max", "200000000");
  BOOST_TEST(Read() == 200000000U);
  Write("outer/inner/memory.max", "100000000");
  BOOST_TEST(Read() == 100000000U);
  Write("membership", "0::/../outside");
  BOOST_TEST(Read() == 0U);
}

// A process without stated resources would otherwise have no limits on its clients.
BOOST_AUTO_TEST_CASE(the_system_tells_resources)
{
  const ProcessResources resources = DetectResources();
  BOOST_TEST(resources.memoryBytes >= 32U * 1024 * 1024);
  BOOST_TEST(resources.maxDescriptors >= 256U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::core
