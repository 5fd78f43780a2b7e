#include "net/http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

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

} // namespace

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
