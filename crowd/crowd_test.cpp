#include "crowd/crowd_fixture.h"

#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>

namespace skylarkwing::crowd {

namespace {

constexpr unsigned kOk = 200;

/** Inside the limit on bodies of the test's configuration. */
constexpr std::size_t kOrdinaryBodyBytes = std::size_t{ 200 } * 1000;

const std::string kChunkedHead = "POST /short/crowd HTTP/1.1\r\nHost: shop.example\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

std::string
Chunk(std::size_t aBytes)
{
  std::ostringstream out;
  out << std::hex << aBytes << "\r\n" << std::string(aBytes, 'b') << "\r\n";
  return out.str();
}

std::string
ChunkedRequestWithoutEnd(std::size_t aChunks, std::size_t aChunkBytes)
{
  std::string bytes = kChunkedHead;
  const std::string chunk = Chunk(aChunkBytes);
  for (std::size_t n = 0; n < aChunks; ++n) {
    bytes += chunk;
  }
  return bytes;
}

/** Runs a crowd, and an ordinary caller beside it and after it. */
void
CheckCrowd(const CrowdBounds& aBounds, const CrowdPlan& aPlan)
{
  CrowdFixture fixture;
  fixture.StartDaemon(aBounds);
  fixture.StartCrowd(aPlan);
  BOOST_TEST(fixture.Ask("GET", "/short/beside", "") == kOk);
  fixture.CheckProcess();
  fixture.EndCrowd();
  BOOST_TEST(fixture.Ask("GET", "/short/after", "") == kOk);
  // A single request inside the limits is served in calm, also by a process with little memory.
  BOOST_TEST(fixture.Ask("POST", "/short/after", std::string(kOrdinaryBodyBytes, 'o')) == kOk);
  BOOST_TEST(fixture.Ask("GET", "/long/after", "") == kOk);
  fixture.CheckProcess();
}

} // namespace

BOOST_AUTO_TEST_SUITE(crowd)

// Bodies in large chunks whose end never comes are held in memory until the request's timeout.
BOOST_AUTO_TEST_CASE(large_chunks_that_stop_short)
{
  CrowdPlan plan;
  plan.clients = 300;
  plan.bytes = ChunkedRequestWithoutEnd(15, std::size_t{ 16 } * 1000);
  CheckCrowd({ 48, 2000 }, plan);
}

// A chunk of one byte costs its framing too.
BOOST_AUTO_TEST_CASE(one_byte_chunks_that_stop_short)
{
  CrowdPlan plan;
  plan.clients = 400;
  plan.bytes = ChunkedRequestWithoutEnd(std::size_t{ 100 } * 1000, 1);
  CheckCrowd({ 32, 2000 }, plan);
}

// Long answers are held in memory until their clients have read them.
BOOST_AUTO_TEST_CASE(slow_readers_of_long_answers)
{
  CrowdPlan plan;
  plan.clients = 200;
  plan.bytes = "GET /long/crowd HTTP/1.1\r\nHost: shop.example\r\n\r\n";
  plan.receiveBuffer = 4096;
  CheckCrowd({ 64, 2000 }, plan);
}

// Clients that connect and send nothing use up the descriptors, also those for the store.
BOOST_AUTO_TEST_CASE(idle_connections_beyond_the_descriptors)
{
  CrowdPlan plan;
  plan.clients = 600;
  CheckCrowd({ 64, 500 }, plan);
}

// Heads that never end are held in memory until the request's timeout.
BOOST_AUTO_TEST_CASE(heads_that_never_end)
{
  CrowdPlan plan;
  plan.clients = 1500;
  plan.bytes = "GET /short/crowd HTTP/1.1\r\nHost: shop.example\r\nPadding: " +
               std::string(std::size_t{ 15 } * 1000, 'h');
  CheckCrowd({ 32, 2000 }, plan);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::crowd
