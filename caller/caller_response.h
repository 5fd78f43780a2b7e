#pragma once

#include "caller/refusal.h"
#include "net/http_message.h"
#include "query/query_result.h"

#include <chrono>
#include <string>
#include <vector>

namespace skylarkwing::caller {

/** One daemon that callers may use. */
struct EntryPointRecord
{
  std::string vm;
  /** "IP:port" for callers. */
  std::string address;
  std::string failureDomain;
  /** What callers put before their own part of a request identity. */
  std::string identityPrefix;
};

/** The daemons to use, and how long a caller may keep the list. */
struct EntryPointsResponse
{
  std::vector<EntryPointRecord> entryPoints;
  std::chrono::seconds keep{ 10 };
};

/** @return the response to `GET /v1/entry-points`. */
net::HttpResponse
RenderEntryPoints(const EntryPointsResponse& aList);

/** @return the response that carries an answer. */
net::HttpResponse
RenderAnswer(const query::QueryResult& aResult);

/** @return the response that carries a refusal. */
net::HttpResponse
RenderRefusal(const Refusal& aRefusal);

/** @return the refusal that stands for a refused query. */
Refusal
RefusalOf(const query::QueryResult& aResult);

} // namespace skylarkwing::caller
