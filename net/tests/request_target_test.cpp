// Texts of other writers in the targets of requests.

#include "net/http_message.h"
#include "net/request_target.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace skylarkwing::net {

BOOST_AUTO_TEST_SUITE(request_target)

BOOST_AUTO_TEST_CASE(every_byte_of_a_parameter_is_read_as_it_was_written)
{
  std::string bytes;
  for (int n = 0; n < 256; ++n) {
    bytes += static_cast<char>(n);
  }
  for (const std::string& text : { bytes, std::string(), std::string("a+b"), std::string("a b") }) {
    HttpRequest request;
    request.target = MakeTarget("/path", { { "first", text }, { "second", "2" } });
    BOOST_TEST(request.Path() == "/path");
    BOOST_TEST((request.QueryValue("first") == text));
    BOOST_TEST((request.QueryValue("second") == std::string("2")));
  }
}

BOOST_AUTO_TEST_CASE(a_target_has_only_characters_on_which_readers_agree)
{
  BOOST_TEST(MakeTarget("/path", { { "key", "a+b c/d?e&f=g#h%i~j\r\n\xff" } }) ==
             "/path?key=a%2Bb%20c/d%3Fe%26f%3Dg%23h%25i~j%0D%0A%FF");
  BOOST_TEST(MakeTarget("/path", {}) == "/path");
  BOOST_TEST(PercentEncode("a+b/c %~") == "a%2Bb%2Fc%20%25~");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
