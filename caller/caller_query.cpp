#include "caller/caller_query.h"

#include "query/fingerprint.h"
#include "query/query_request.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace skylarkwing::caller {

namespace {

constexpr std::string_view kQueryPath = "/v1/query/";
constexpr std::size_t kMaxBodyBytes = std::size_t{ 256 } * 1024;
constexpr int kMaxJsonDepth = 64;
constexpr std::uint64_t kMaxHits = 1000;

ParsedQuery
Reject(RefusalKind aKind, std::string aReason)
{
  ParsedQuery parsed;
  parsed.refusal.kind = aKind;
  parsed.refusal.reason = std::move(aReason);
  return parsed;
}

/** @return the document, or a discarded value when it is not JSON or nested too deeply. */
nlohmann::json
ParseBounded(const std::string& aText)
{
  bool isTooDeep = false;
  const auto guard = [&isTooDeep](int aDepth, nlohmann::json::parse_event_t, nlohmann::json&) {
    isTooDeep |= aDepth > kMaxJsonDepth;
    return !isTooDeep;
  };
  nlohmann::json document = nlohmann::json::parse(aText, guard, false);
  if (isTooDeep) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return document;
}

template<typename Items>
auto
FindByName(const Items& aItems, std::string_view aName)
{
  return std::find_if(
    aItems.begin(), aItems.end(), [aName](const auto& aItem) { return aItem.name == aName; });
}

std::optional<std::size_t>
SizeOf(const nlohmann::json& aSearch)
{
  const auto it = aSearch.find("size");
  if (it == aSearch.end()) {
    return query::kDefaultSize;
  }
  if (!it->is_number_unsigned()) {
    return std::nullopt;
  }
  const auto n = it->get<std::uint64_t>();
  if (n == 0 || n > kMaxHits) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(n);
}

std::optional<std::chrono::milliseconds>
TimeoutOf(const net::HttpRequest& aRequest, const declaration::ProfileDeclaration& aProfile)
{
  const std::optional<std::string> text = aRequest.Header("Skylarkwing-Deadline-Ms");
  if (!text) {
    return aProfile.defaultDeadline;
  }
  std::int64_t n = 0;
  const char* end = text->data() + text->size();
  const auto [next, ec] = std::from_chars(text->data(), end, n);
  const bool isNumber = ec == std::errc{} && next == end;
  if (!isNumber || n < 1 || n > aProfile.longestDeadline.count()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds{ n };
}

} // namespace

std::uint64_t
CallerQuery::ContentHash() const
{
  return query::FingerprintOf(index + "/" + profile->name, search);
}

ParsedQuery
ParseQuery(const net::HttpRequest& aRequest,
           const std::shared_ptr<const declaration::Configuration>& aConfiguration)
{
  const declaration::Declaration& declared = aConfiguration->declaration;
  const std::string path = aRequest.Path();
  if (!path.starts_with(kQueryPath)) {
    return Reject(RefusalKind::NotFound, "no such path");
  }
  CallerQuery query;
  query.index = path.substr(kQueryPath.size());
  if (FindByName(declared.indexes, query.index) == declared.indexes.end()) {
    return Reject(RefusalKind::UnknownIndex, "no index of that name is declared");
  }
  const std::optional<std::string> profileName = aRequest.Header("Skylarkwing-Profile");
  if (!profileName) {
    return Reject(RefusalKind::UnknownProfile, "the header Skylarkwing-Profile is missing");
  }
  const auto profile = FindByName(declared.profiles, *profileName);
  if (profile == declared.profiles.end()) {
    return Reject(RefusalKind::UnknownProfile, "no profile of that name is declared");
  }
  query.profile = { aConfiguration, &*profile };
  const auto& allowed = profile->indexes;
  if (std::find(allowed.begin(), allowed.end(), query.index) == allowed.end()) {
    return Reject(RefusalKind::IndexNotAllowed, "the profile may not query that index");
  }
  const auto timeout = TimeoutOf(aRequest, *profile);
  if (!timeout) {
    return Reject(RefusalKind::BadDeadline,
                  "Skylarkwing-Deadline-Ms must be a whole number from 1 to " +
                    std::to_string(profile->longestDeadline.count()));
  }
  query.timeout = *timeout;
  if (aRequest.body.size() > kMaxBodyBytes) {
    return Reject(RefusalKind::BodyTooLarge, "the search is larger than 256 KiB");
  }
  const nlohmann::json search = ParseBounded(aRequest.body);
  if (!search.is_object()) {
    return Reject(RefusalKind::Malformed, "the body must be one JSON object");
  }
  const std::optional<std::size_t> size = SizeOf(search);
  if (!size) {
    return Reject(RefusalKind::Malformed, "/size must be a whole number from 1 to 1000");
  }
  query.size = *size;
  query.search = aRequest.body;
  if (!profile->idempotent) {
    query.identity = ParseRequestIdentity(aRequest.Header("Skylarkwing-Request-Id").value_or(""));
    if (!query.identity) {
      return Reject(RefusalKind::BadIdentity,
                    "the profile is not idempotent: Skylarkwing-Request-Id must be an identity "
                    "prefix from /v1/entry-points, a dot, and a part of your own");
    }
  }
  ParsedQuery parsed;
  parsed.query = std::move(query);
  return parsed;
}

} // namespace skylarkwing::caller
