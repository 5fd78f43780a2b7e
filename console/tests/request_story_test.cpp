#include "console/request_story.h"

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
{"time":"2026-04-15T12:58:01.330Z","level":"warning","vm":"front-1","slice":"caller","event":"request_ended","request":"xyz","outcome":"not_run","reason":"s2: replica_resting; "}
{"time":"2026-04-15T12:58:01.400Z","level":"info","vm":"front-1","slice":"declaration","event":"configuration_in_force","version":"9","routes":"3","revision":"14"}
{"time":"2026-04-15T12:58:02.000Z","level":"info","vm":"front-1","slice":"caller","event":"lines_dropped","failures":"12","successes":"90"}
)";

RequestStory
Tell(const std::string& aRequest)
{
  std::istringstream stream(kLog);
  return TellStory(aRequest, ReadLogLines(stream));
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_story)

BOOST_AUTO_TEST_CASE(tells_the_request_and_what_was_known_before)
{
  const RequestStory story = Tell("abc");
  BOOST_TEST(story.lines.size() == 1U);
  BOOST_TEST_REQUIRE(story.context.size() == 2U);
  BOOST_TEST(story.context[0].Field("version") == "8");
  BOOST_TEST(story.context[1].Field("replica") == "i-1");
}

BOOST_AUTO_TEST_CASE(a_request_without_attempts_names_the_replicas_that_wanted_none)
{
  const RequestStory story = Tell("xyz");
  BOOST_TEST_REQUIRE(story.context.size() == 2U);
  BOOST_TEST(story.context[1].Field("replica") == "i-3");
}

BOOST_AUTO_TEST_CASE(says_what_the_logs_cannot_tell)
{
  BOOST_TEST(Tell("abc").unknown.size() == 2U);
  const RequestStory none = Tell("nobody");
  BOOST_TEST(none.lines.empty());
  BOOST_TEST(none.unknown.size() == 2U);
}

BOOST_AUTO_TEST_CASE(text_and_json_hold_the_fields_that_the_operations_page_uses)
{
  const RequestStory story = Tell("abc");
  for (const std::string& text : { StoryText(story), StoryJson(story) }) {
    for (const char* part : { "abc", "front-1", "partial", "i-2=lost@20-24", "unknown" }) {
      BOOST_TEST(text.find(part) != std::string::npos, text);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::console::tests
