#include "caller/caller_response.h"

#include <nlohmann/json.hpp>

namespace skylarkwing::caller {

namespace {

std::string
TextOf(const nlohmann::json& aDocument)
{
  return aDocument.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json
FieldsOf(const upstream::Hit& aHit)
{
  nlohmann::json fields = nlohmann::json::parse(aHit.fields, nullptr, false);
  return fields.is_object() ? fields : nlohmann::json::object();
}

std::string
ReasonOf(query::QueryRefusal aRefusal)
{
  switch (aRefusal) {
    case query::QueryRefusal::None:
      return "";
    case query::QueryRefusal::NoSnapshot:
      return "no version of the index can answer now";
    case query::QueryRefusal::DeadlineTooClose:
      return "the deadline leaves no time to ask";
    case query::QueryRefusal::Overloaded:
      return "the replicas are full";
    case query::QueryRefusal::Unavailable:
      return "no shard answered";
    case query::QueryRefusal::TooLittleCoverage:
      return "fewer shards answered than the profile demands";
    case query::QueryRefusal::Quarantined:
      return "replicas crashed while running this search";
  }
  return "";
}

} // namespace

net::HttpResponse
RenderEntryPoints(const EntryPointsResponse& aResponse)
{
  nlohmann::json points = nlohmann::json::array();
  for (const EntryPointRecord& point : aResponse.entryPoints) {
    points.push_back({ { "vm", point.vm },
                       { "address", point.address },
                       { "failureDomain", point.failureDomain },
                       { "identityPrefix", point.identityPrefix } });
  }
  const nlohmann::json document = { { "entryPoints", std::move(points) },
                                    { "keepSeconds", aResponse.keep.count() } };
  net::HttpResponse response;
  response.body = TextOf(document);
  return response;
}

net::HttpResponse
RenderAnswer(const query::QueryResult& aResult)
{
  nlohmann::json hits = nlohmann::json::array();
  for (const upstream::Hit& hit : aResult.hits) {
    hits.push_back({ { "id", hit.id }, { "score", hit.score }, { "fields", FieldsOf(hit) } });
  }
  const nlohmann::json document = { { "hits", std::move(hits) },
                                    { "snapshot", aResult.snapshot },
                                    { "coverage",
                                      { { "answered", aResult.coverage.answered },
                                        { "total", aResult.coverage.total },
                                        { "missing", aResult.coverage.missing } } },
                                    { "complete", aResult.complete } };
  net::HttpResponse response;
  response.body = TextOf(document);
  return response;
}

net::HttpResponse
RenderRefusal(const Refusal& aRefusal)
{
  nlohmann::json document = { { "error", NameOf(aRefusal.kind) },
                              { "reason", aRefusal.reason },
                              { "executed", query::NameOf(aRefusal.executed) } };
  net::HttpResponse response;
  response.status = StatusOf(aRefusal.kind);
  if (aRefusal.retryAfter > core::Duration::zero()) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(aRefusal.retryAfter);
    document["retryAfterMs"] = wait.count();
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    response.headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
  }
  response.body = TextOf(document);
  return response;
}

Refusal
RefusalOf(const query::QueryResult& aResult)
{
  Refusal refusal;
  refusal.kind = KindOf(aResult.refusal);
  refusal.reason = ReasonOf(aResult.refusal);
  refusal.executed = aResult.executed;
  refusal.retryAfter = aResult.retryAfter;
  return refusal;
}

} // namespace skylarkwing::caller
