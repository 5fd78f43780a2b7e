#include "net/http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <utility>

namespace skylarkwing::net {

namespace {

std::optional<std::string>
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (boost::beast::iequals({ header.name.data(), header.name.size() },
                              { aName.data(), aName.size() })) {
      return header.value;
    }
  }
  return std::nullopt;
}

constexpr unsigned char kDelete = 0x7F;

bool
IsControl(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < ' ' || byte == kDelete;
}

bool
IsBlank(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

/** @return whether a text is not empty and has no character that ends a word of a head. */
bool
IsWord(std::string_view aText)
{
  return !aText.empty() && std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
    return IsControl(aCharacter) || IsBlank(aCharacter);
  });
}

bool
AreWritable(const std::vector<HttpHeader>& aHeaders)
{
  return std::all_of(aHeaders.begin(), aHeaders.end(), [](const HttpHeader& aHeader) {
    return IsWord(aHeader.name) && aHeader.name.find(':') == std::string::npos &&
           IsHeaderValue(aHeader.value);
  });
}

} // namespace

bool
IsHeaderValue(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
    return IsControl(aCharacter) && aCharacter != '\t';
  });
}

bool
IsWritable(const HttpRequest& aRequest)
{
  return IsWord(aRequest.method) && IsWord(aRequest.target) && AreWritable(aRequest.headers);
}

bool
IsWritable(const HttpResponse& aResponse)
{
  return IsHeaderValue(aResponse.contentType) && AreWritable(aResponse.headers);
}

void
HttpClientWatch::SetDisconnected()
{
  if (mIsDisconnected) {
    return;
  }
  mIsDisconnected = true;
  if (mCallback) {
    const std::function<void()> callback = std::exchange(mCallback, nullptr);
    callback();
  }
}

std::optional<std::string>
HttpRequest::Header(std::string_view aName) const
{
  return FindHeader(headers, aName);
}

std::string
HttpRequest::Path() const
{
  return target.substr(0, target.find('?'));
}

std::optional<std::string>
HttpRequest::QueryValue(std::string_view aName) const
{
  const auto parsed = boost::urls::parse_origin_form(target);
  if (!parsed) {
    return std::nullopt;
  }
  const auto params = parsed->params();
  const auto it = params.find({ aName.data(), aName.size() });
  if (it == params.end()) {
    return std::nullopt;
  }
  return std::string((*it).value);
}

std::optional<std::string>
HttpResponse::Header(std::string_view aName) const
{
  return FindHeader(headers, aName);
}

} // namespace skylarkwing::net
