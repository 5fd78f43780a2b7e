#include "console/request_trace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace skylarkwing::console::tests {

namespace {

constexpr const char* kLog =
  R"(   0.1 front-1 {"time":"2026-04-15T12:58:01.000Z","level":"info","vm":"front-1","slice":"declaration","event":"configuration_in_force","version":"7","routes":"3","revision":"9"}
   0.2 front-1 {"time":"2026-04-15T12:58:01.100Z","level":"info","vm":"front-1","slice":"declaration","event":"configuration_in_force","version":"8","routes":"3","revision":"12"}
not ours
{"time":"2026-04-15T12:58:01.200Z","level":"warning","vm":"front-1","slice":"upstream","event":"replica_suspected","replica":"i-1","reason":"timed_out"}
{"time":"2026-04-15T12:58:01.210Z","level":"warning","vm":"front-1","slice":"upstream","event":"replica_suspected","replica":"i-9","reason":"timed_out"}
{"time":"2026-04-15T12:58:01.220Z","level":"warning","vm":"front-2","slice":"store","event":"replica_feed_lost","status":"refused"}
{"time":"2026-04-15T12:58:01.300Z","level":"warning","vm":"front-1","slice":"caller","event":"request_ended","request":"abc","outcome":"partial","reason":"s1: i-1=running@0- i-2=lost@20-24; "}
{"time":"2026-04-15T12:58:01.310Z","level":"info","vm":"front-1","slice":"upstream","event":"replica_resting","replica":"i-3","service":"s2","rest_ms":"3000"}
{"time":"2026-04-15T12:58:01.320Z","level":"info","vm":"front-1","slice":"upstream","event":"replica_leaving","replica":"i-4","service":"s22","rest_ms":"0"}
{"time":"2026-04-15T12:58:01.325Z","level":"info","vm":"front-1","slice":"upstream","event":"replica_limited","replica":"i-5","service":"s3","change":"began","max_rate":"26.2"}
{"time":"2026-04-15T12:58:01.330Z","level":"warning","vm":"front-1","slice":"caller","event":"request_ended","request":"xyz","outcome":"not_run","reason":"s2: replica_resting; "}
{"time":"2026-04-15T12:58:01.340Z","level":"warning","vm":"front-1","slice":"caller","event":"request_ended","request":"lim","outcome":"not_run","reason":"s3: replica_limited; "}
{"time":"2026-04-15T12:58:01.400Z","level":"info","vm":"front-1","slice":"declaration","event":"configuration_in_force","version":"9","routes":"3","revision":"14"}
{"time":"2026-04-15T12:58:01.410Z","level":"warning","vm":"front-3","slice":"store","event":"store_restored","previous_era":"1","era":"2"}
{"time":"2026-04-15T12:58:01.420Z","level":"warning","vm":"front-3","slice":"store","event":"store_era_changed","feed":"op/","era":"1","revision":"50","read_era":"2","read_revision":"49"}
{"time":"2026-04-15T12:58:01.430Z","level":"warning","vm":"front-3","slice":"caller","event":"request_refused","request":"old","reason":"no_route"}
{"time":"2026-04-15T12:58:01.440Z","level":"info","vm":"front-4","slice":"query","event":"request_suspected","request":"first","fingerprint":"07bc","replica":"i-7","verdict":"suspected","ended":"1"}
{"time":"2026-04-15T12:58:01.445Z","level":"info","vm":"front-4","slice":"query","event":"request_suspected","request":"other","fingerprint":"99aa","replica":"i-7","verdict":"suspected","ended":"1"}
{"time":"2026-04-15T12:58:01.450Z","level":"warning","vm":"front-5","slice":"caller","event":"request_refused","request":"again","fingerprint":"07bc","reason":"quarantined","input":"3 ended"}
{"time":"2026-04-15T12:58:02.000Z","level":"info","vm":"front-1","slice":"caller","event":"lines_dropped","failures":"12","successes":"90"}
)";

RequestTrace
TraceOf(const std::string& aRequest)
{
  std::istringstream stream(kLog);
  return BuildRequestTrace(aRequest, ReadLogLines(stream));
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_trace)

BOOST_AUTO_TEST_CASE(collects_the_lines_and_the_context_of_a_request)
{
  const RequestTrace trace = TraceOf("abc");
  BOOST_TEST(trace.lines.size() == 1U);
  BOOST_TEST_REQUIRE(trace.context.size() == 2U);
  BOOST_TEST(trace.context[0].Field("version") == "8");
  BOOST_TEST(trace.context[1].Field("replica") == "i-1");
}

BOOST_AUTO_TEST_CASE(a_request_without_attempts_has_the_refusing_replicas_as_context)
{
  const RequestTrace trace = TraceOf("xyz");
  BOOST_TEST_REQUIRE(trace.context.size() == 2U);
  BOOST_TEST(trace.context[1].Field("replica") == "i-3");
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_has_the_replicas_that_ended_at_other_daemons_as_context)
{
  const RequestTrace trace = TraceOf("again");
  BOOST_TEST_REQUIRE(trace.context.size() == 1U);
  BOOST_TEST(trace.context[0].vm == "front-4");
  BOOST_TEST(trace.context[0].Field("replica") == "i-7");
}

BOOST_AUTO_TEST_CASE(a_request_after_a_restore_of_the_store_has_the_restore_as_context)
{
  const RequestTrace trace = TraceOf("old");
  BOOST_TEST_REQUIRE(trace.context.size() == 2U);
  BOOST_TEST(trace.context[0].event == "store_restored");
  BOOST_TEST(trace.context[1].Field("read_revision") == "49");
}

BOOST_AUTO_TEST_CASE(a_request_refused_by_a_rate_limit_has_the_limit_as_context)
{
  const RequestTrace trace = TraceOf("lim");
  BOOST_TEST_REQUIRE(trace.context.size() == 2U);
  BOOST_TEST(trace.context[1].Field("replica") == "i-5");
  BOOST_TEST(trace.context[1].Field("max_rate") == "26.2");
}

BOOST_AUTO_TEST_CASE(reports_gaps_in_the_logs)
{
  BOOST_TEST(TraceOf("abc").unknown.size() == 2U);
  const RequestTrace none = TraceOf("nobody");
  BOOST_TEST(none.lines.empty());
  BOOST_TEST(none.unknown.size() == 2U);
}

BOOST_AUTO_TEST_CASE(text_and_json_contain_the_documented_fields)
{
  const RequestTrace trace = TraceOf("abc");
  for (const std::string& text : { TraceText(trace), TraceJson(trace) }) {
    for (const char* part : { "abc", "front-1", "partial", "i-2=lost@20-24", "unknown" }) {
      BOOST_TEST(text.find(part) != std::string::npos, text);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console::tests
