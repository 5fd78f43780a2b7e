// Documents of other writers with strings that are no Unicode text.

#include "core/json_repair.h"
#include "core/untrusted_json.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace skylarkwing::core {

namespace {

using nlohmann::json;

/** @return a document with a string, which is written between its quotes. */
std::string
DocumentWith(const std::string& aWritten)
{
  return R"({"odd": ")" + aWritten + R"(", "other": "value"})";
}

/** Checks what is read of a string that is no Unicode text, and that the others are read. */
void
CheckReplaced(const std::string& aWritten, const std::string& aBytes)
{
  const json document = ParseUntrustedJson(RepairJson(DocumentWith(aWritten)));
  BOOST_REQUIRE(document.is_object());
  const auto odd = document.at("odd").get<std::string>();
  BOOST_TEST(HasReplacedBytes(odd));
  BOOST_TEST((OriginalBytes(odd) == aBytes));
  BOOST_TEST(document.at("other").get<std::string>() == "value");
}

} // namespace

BOOST_AUTO_TEST_SUITE(json_repair)

BOOST_AUTO_TEST_CASE(text_that_is_read_without_repair_stays_as_it_is)
{
  for (const std::string text : { R"({"a": "\u00e9\ud83d\ude00 \\ud800 \"\n", "b": [1, true]})",
                                  "{\"a\": \"\xc3\xa9\xf0\x9f\x98\x80\"}",
                                  "{\n\t\"a\": 1}",
                                  "" }) {
    BOOST_TEST(RepairJson(text) == text);
    BOOST_TEST(!HasReplacedBytes(text));
    BOOST_TEST(OriginalBytes(text) == text);
  }
}

BOOST_AUTO_TEST_CASE(one_string_that_is_no_unicode_text_leaves_the_others_readable)
{
  CheckReplaced("a\xff", "a\xff");
  CheckReplaced("\xc3", "\xc3");
  CheckReplaced("\xe2\x82-", "\xe2\x82-");
  CheckReplaced("\xc0\xaf", "\xc0\xaf");
  CheckReplaced("\xed\xa0\x80", "\xed\xa0\x80");
  CheckReplaced(R"(a\ud800b)",
                "a\xed\xa0\x80"
                "b");
  CheckReplaced(R"(\udc00)", "\xed\xb0\x80");
  CheckReplaced(R"(\ud800\ud83d\ude00)", "\xed\xa0\x80\xf0\x9f\x98\x80");
  CheckReplaced(R"(\ud800\n)", "\xed\xa0\x80\n");
}

BOOST_AUTO_TEST_CASE(noncharacters_are_told_from_replaced_bytes)
{
  CheckReplaced("\xef\xb7\x90", "\xef\xb7\x90");
  CheckReplaced(R"(\ufdef)", "\xef\xb7\xaf");
}

BOOST_AUTO_TEST_CASE(control_characters_are_read)
{
  const json document = ParseUntrustedJson(RepairJson(DocumentWith("a\r\nb\x01")));
  BOOST_REQUIRE(document.is_object());
  BOOST_TEST(document.at("odd").get<std::string>() == "a\r\nb\x01");
}

BOOST_AUTO_TEST_CASE(any_bytes_of_a_string_are_kept)
{
  const bool isPassed = rc::check("bytes", [] {
    const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 256));
    std::string bytes;
    std::string written;
    for (const int number : numbers) {
      const auto byte = static_cast<char>(number);
      bytes += byte;
      written += byte == '"' || byte == '\\' ? std::string{ '\\', byte } : std::string{ byte };
    }
    const json document = ParseUntrustedJson(RepairJson(DocumentWith(written)));
    RC_ASSERT(document.is_object());
    RC_ASSERT(OriginalBytes(document.at("odd").get<std::string>()) == bytes);
  });
  BOOST_TEST(isPassed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::core
