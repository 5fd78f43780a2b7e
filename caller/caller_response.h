#pragma once

#include "caller/refusal.h"
#include "net/http_message.h"
#include "query/query_result.h"

#include <chrono>
#include <string>
#include <vector>

namespace skylarkwing::caller {

/** A daemon that callers may use. */
struct EntryPointRecord
{
  std::string vm;
  /** "IP:port" of the callers' server. */
  std::string address;
  std::string failureDomain;
  /** Prefix of the request identities that callers send to this daemon. */
  std::string identityPrefix;
};

/** The daemons to use, and how long a caller may cache the list. */
struct EntryPointsResponse
{
  std::vector<EntryPointRecord> entryPoints;
  std::chrono::seconds keep{ 10 };
};

/** @return the response to `GET /v1/entry-points`. */
net::HttpResponse
RenderEntryPoints(const EntryPointsResponse& aResponse);

/** @return the response with an answer. */
net::HttpResponse
RenderAnswer(const query::QueryResult& aResult);

/** @return the response with a refusal. */
net::HttpResponse
RenderRefusal(const Refusal& aRefusal);

/** @return the refusal for a query that the query engine refused. */
Refusal
RefusalOf(const query::QueryResult& aResult);

} // namespace skylarkwing::caller
