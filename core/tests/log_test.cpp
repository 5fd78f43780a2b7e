// Texts of other writers in log lines.

#include "core/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <sstream>
#include <string>

namespace skylarkwing::core {

namespace {

/** Collects the log while it is in scope. */
class LogCapture
{
public:
  LogCapture()
  {
    mSink->locked_backend()->add_stream(mText);
    mSink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(mSink);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;
  ~LogCapture() { boost::log::core::get()->remove_sink(mSink); }

  std::string Text() const
  {
    mSink->flush();
    return mText->str();
  }

private:
  using Sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

  boost::shared_ptr<std::ostringstream> mText = boost::make_shared<std::ostringstream>();
  boost::shared_ptr<Sink> mSink = boost::make_shared<Sink>();
};

} // namespace

BOOST_AUTO_TEST_SUITE(log)

BOOST_AUTO_TEST_CASE(a_field_with_line_breaks_makes_one_line)
{
  const LogCapture capture;
  LogEvent(LogLevel::Error,
           "store",
           "odd",
           { { "name", "a\r\n2026 error \"b\"\\\x01\xff" }, { "plain", "i-1 \xc3\xa9" } });
  const std::string text = capture.Text();
  BOOST_TEST(text.find('\n') == text.size() - 1);
  BOOST_TEST(text.find('\r') == std::string::npos);
  BOOST_TEST(text.find("name=\"a\\r\\n2026 error \\\"b\\\"\\\\\\u0001\xef\xbf\xbd\"") !=
             std::string::npos);
  BOOST_TEST(text.find("plain=\"i-1 \xc3\xa9\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::core
