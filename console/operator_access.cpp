#include "console/operator_access.h"

#include "core/log.h"
#include "core/name_table.h"

#include <algorithm>
#include <cctype>

namespace skylarkwing::console {

namespace {

constexpr core::NameTable<AccessRefusal, 4> kRefusalNames{
  { "unauthorized", "forbidden", "cross_site", "content_type" }
};

constexpr std::string_view kBearer = "bearer ";
constexpr std::size_t kMaxTokenBytes = 512;
constexpr std::size_t kMaxRefusedClients = 256;
/** A client is logged again when its last refusal is older than this. */
constexpr core::Duration kRefusalLogInterval = std::chrono::minutes{ 1 };

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return text;
}

std::string
BearerToken(const net::HttpRequest& aRequest)
{
  const std::string header = aRequest.Header("Authorization").value_or("");
  if (header.size() > kBearer.size() + kMaxTokenBytes) {
    return {};
  }
  const std::string scheme = LowerCase(std::string_view(header).substr(0, kBearer.size()));
  return scheme == kBearer ? header.substr(kBearer.size()) : std::string();
}

bool
IsCrossSite(const net::HttpRequest& aRequest)
{
  const std::optional<std::string> site = aRequest.Header("Sec-Fetch-Site");
  if (site && *site != "same-origin" && *site != "none") {
    return true;
  }
  const std::optional<std::string> origin = aRequest.Header("Origin");
  if (!origin) {
    return false;
  }
  const std::string host = LowerCase(aRequest.Header("Host").value_or(""));
  const std::string from = LowerCase(*origin);
  return host.empty() || (from != "http://" + host && from != "https://" + host);
}

bool
IsJson(const net::HttpRequest& aRequest)
{
  const std::string type = LowerCase(aRequest.Header("Content-Type").value_or(""));
  return type.substr(0, type.find(';')) == "application/json";
}

std::string
ClientIp(const net::HttpRequest& aRequest)
{
  return aRequest.clientAddress.substr(0, aRequest.clientAddress.rfind(':'));
}

} // namespace

std::string_view
NameOf(AccessRefusal aRefusal)
{
  return kRefusalNames.NameOf(aRefusal);
}

bool
MatchesSecret(std::string_view aPresented, std::string_view aSecret)
{
  if (aSecret.empty()) {
    return false;
  }
  std::size_t difference = aPresented.size() ^ aSecret.size();
  for (std::size_t n = 0; n < aPresented.size(); ++n) {
    const auto presented = static_cast<unsigned char>(aPresented[n]);
    const auto secret = static_cast<unsigned char>(aSecret[n % aSecret.size()]);
    difference |= static_cast<std::size_t>(presented ^ secret);
  }
  return difference == 0;
}

OperatorAccess::OperatorAccess(core::TimerService& aTimers,
                               core::Metrics& aMetrics,
                               OperatorTokens aTokens)
  : mTimers(aTimers)
  , mMetrics(aMetrics)
  , mTokens(std::move(aTokens))
{
}

std::optional<AccessRefusal>
OperatorAccess::Check(const net::HttpRequest& aRequest, OperatorRight aRight)
{
  const std::optional<AccessRefusal> refusal = Decide(aRequest, aRight);
  if (refusal) {
    RecordRefusal(aRequest, *refusal);
  }
  return refusal;
}

std::optional<AccessRefusal>
OperatorAccess::Decide(const net::HttpRequest& aRequest, OperatorRight aRight) const
{
  if (IsCrossSite(aRequest)) {
    return AccessRefusal::CrossSite;
  }
  if (aRequest.method == "POST" && !IsJson(aRequest)) {
    return AccessRefusal::ContentType;
  }
  const std::string token = BearerToken(aRequest);
  // Both tokens are always compared, so that the response time does not reveal which one differs.
  const bool mayChange = MatchesSecret(token, mTokens.change);
  const bool mayRead = MatchesSecret(token, mTokens.read);
  if (!mayChange && !mayRead) {
    return AccessRefusal::Unauthorized;
  }
  if (aRight == OperatorRight::Change && !mayChange) {
    return AccessRefusal::Forbidden;
  }
  return std::nullopt;
}

void
OperatorAccess::RecordRefusal(const net::HttpRequest& aRequest, AccessRefusal aRefusal)
{
  const std::string reason(NameOf(aRefusal));
  mMetrics
    .Counter("skylarkwing_console_requests_refused_total",
             "Requests to the operators' API that were refused access, by reason.",
             { { "reason", reason } })
    .Increment();
  const std::string client = ClientIp(aRequest);
  EvictRefusedClients();
  const auto [it, isNew] = mRefusedClients.try_emplace(client + ' ' + reason, mTimers.Now());
  it->second = mTimers.Now();
  if (!isNew) {
    return;
  }
  core::LogEvent(core::LogLevel::Warning,
                 "console",
                 "client_refused",
                 { { "client", client },
                   { "reason", reason },
                   { "method", aRequest.method },
                   { "path", aRequest.Path() } });
}

void
OperatorAccess::EvictRefusedClients()
{
  const core::TimePoint before = mTimers.Now() - kRefusalLogInterval;
  std::erase_if(mRefusedClients, [before](const auto& aEntry) { return aEntry.second < before; });
  if (mRefusedClients.size() < kMaxRefusedClients) {
    return;
  }
  const auto oldest = std::min_element(
    mRefusedClients.begin(), mRefusedClients.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  mRefusedClients.erase(oldest);
}

} // namespace skylarkwing::console
