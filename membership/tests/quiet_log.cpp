#include "core/log.h"

#include <boost/test/unit_test.hpp>

namespace skylarkwing::membership::tests {

namespace {

/** Clusters of hundreds of members log too many state changes for the test output. */
struct QuietLog
{
  QuietLog() { core::InitializeLog(core::LogLevel::Error, core::LogFormat::Plain); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

} // namespace skylarkwing::membership::tests
