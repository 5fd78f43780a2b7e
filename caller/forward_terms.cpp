#include "caller/forward_terms.h"

#include "core/name_table.h"
#include "core/parse_unsigned.h"
#include "net/forwarded_headers.h"
#include "net/request_target.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::caller {

namespace {

constexpr core::NameTable<ForwardVerdict, 3> kVerdictNames{ { "final", "not_run", "lost" } };
constexpr ForwardVerdict kVerdicts[] = { ForwardVerdict::Final,
                                         ForwardVerdict::NotRun,
                                         ForwardVerdict::Lost };

constexpr std::string_view kHeaderPrefix = "Skylarkwing-Forward-";
constexpr std::string_view kOrigin = "Skylarkwing-Forward-Origin";
constexpr std::string_view kVersion = "Skylarkwing-Forward-Version";
constexpr std::string_view kAgeMs = "Skylarkwing-Forward-Age-Ms";
constexpr std::string_view kRepeat = "Skylarkwing-Forward-Repeat";
/** May occur more than once. Encoded like a path segment, because a name may have any characters.
 */
constexpr std::string_view kDomainOut = "Skylarkwing-Forward-Domain-Out";
constexpr std::string_view kVerdict = "Skylarkwing-Forward-Verdict";
constexpr std::string_view kReason = "Skylarkwing-Forward-Reason";

bool
IsForwardHeader(const net::HttpHeader& aHeader)
{
  return aHeader.name.size() > kHeaderPrefix.size() &&
         net::IsSameHeader(std::string_view(aHeader.name).substr(0, kHeaderPrefix.size()),
                           kHeaderPrefix);
}

void
RemoveForwardHeaders(std::vector<net::HttpHeader>& aHeaders)
{
  std::erase_if(aHeaders, IsForwardHeader);
}

void
Add(std::vector<net::HttpHeader>& aHeaders, std::string_view aName, std::string aValue)
{
  aHeaders.push_back({ std::string(aName), std::move(aValue) });
}

} // namespace

std::string_view
NameOf(ForwardVerdict aVerdict)
{
  return kVerdictNames.NameOf(aVerdict);
}

void
AddForwardTerms(net::HttpRequest& aRequest, const ForwardTerms& aTerms)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aTerms.age).count();
  RemoveForwardHeaders(aRequest.headers);
  Add(aRequest.headers, kOrigin, aTerms.origin);
  Add(aRequest.headers, kVersion, std::to_string(aTerms.version));
  Add(aRequest.headers, kAgeMs, std::to_string(std::max<std::int64_t>(0, age)));
  if (aTerms.isRepeat) {
    Add(aRequest.headers, kRepeat, "1");
  }
  for (const std::string& domain : aTerms.domainsOut) {
    Add(aRequest.headers, kDomainOut, net::PercentEncode(domain));
  }
}

std::optional<ForwardTerms>
TakeForwardTerms(net::HttpRequest& aRequest)
{
  ForwardTerms terms;
  terms.origin = aRequest.Header(kOrigin).value_or("");
  const auto version = core::ParseUnsigned(aRequest.Header(kVersion).value_or(""));
  const auto age = core::ParseUnsigned(aRequest.Header(kAgeMs).value_or(""));
  terms.isRepeat = aRequest.Header(kRepeat).has_value();
  for (const net::HttpHeader& header : aRequest.headers) {
    if (net::IsSameHeader(header.name, kDomainOut)) {
      terms.domainsOut.push_back(net::PercentDecode(header.value).value_or(header.value));
    }
  }
  RemoveForwardHeaders(aRequest.headers);
  constexpr std::uint64_t kMaxAgeMs = std::uint64_t{ 3600 } * 1000;
  if (terms.origin.empty() || !version || !age || *age > kMaxAgeMs) {
    return std::nullopt;
  }
  terms.version = *version;
  terms.age = std::chrono::milliseconds(*age);
  return terms;
}

bool
IsForwarded(const net::HttpRequest& aRequest)
{
  return aRequest.Header(kOrigin).has_value();
}

void
AddForwardOutcome(net::HttpResponse& aResponse, const ForwardOutcome& aOutcome)
{
  RemoveForwardHeaders(aResponse.headers);
  Add(aResponse.headers, kVerdict, std::string(NameOf(aOutcome.verdict)));
  if (!aOutcome.reason.empty()) {
    Add(aResponse.headers, kReason, aOutcome.reason);
  }
}

std::optional<ForwardOutcome>
TakeForwardOutcome(net::HttpResponse& aResponse)
{
  const std::string name = aResponse.Header(kVerdict).value_or("");
  const auto verdict =
    std::find_if(std::begin(kVerdicts), std::end(kVerdicts), [&name](ForwardVerdict aKnown) {
      return NameOf(aKnown) == name;
    });
  ForwardOutcome outcome;
  outcome.reason = aResponse.Header(kReason).value_or("");
  RemoveForwardHeaders(aResponse.headers);
  aResponse.headers = net::ForwardableHeaders(aResponse.headers);
  // The headers contain the content type already.
  aResponse.contentType.clear();
  if (verdict == std::end(kVerdicts)) {
    return std::nullopt;
  }
  outcome.verdict = *verdict;
  return outcome;
}

} // namespace skylarkwing::caller
