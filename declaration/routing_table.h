#pragma once

#include "declaration/customer_table.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwing::declaration {

/** A service that receives a part of a route's requests, in proportion to its weight. */
struct WeightedService
{
  std::string service;
  double weight = 1.0;
};

/** How requests for a host and path prefix are handled. */
struct Route
{
  std::string name;
  std::string host;
  /** Starts and ends with a slash. */
  std::string prefix;
  /** Whether a request may safely run more than once. */
  bool isIdempotent = false;
  /** Maximum time until the caller gets a response. */
  std::chrono::milliseconds timeout{ 1000 };
  /** Target response time. */
  std::chrono::milliseconds objective{ 100 };
  /** 0 is the highest priority. */
  std::uint32_t priority = 0;
  /** Maximum number of replicas that a request, or one part of it, is sent to. */
  std::uint32_t maxAttempts = 1;
  /** Services for requests to a single replica; empty for a fan-out over shards. */
  std::vector<WeightedService> services;
  /** Services that together hold all shards; empty for requests to a single replica. */
  std::vector<std::string> shards;
  /** Number of records in a response merged from shards. */
  std::uint32_t topRecords = 0;
  /** Minimum ratio of shards for a successful response, 0 to 1. */
  double leastCoverage = 1.0;
  /** Regions in which the request may be processed; empty means all. */
  std::vector<std::string> regions;
  /** Whether callers without a key may use it where the configuration names customers. */
  bool isOpen = false;

  /** @return whether the route fans out over shards. */
  bool IsFanOut() const { return !shards.empty(); }

  /** @return the minimum number of shards for a successful response, at least one. */
  std::size_t LeastShards() const;
};

/** Load limits of a service's replicas. */
struct ServiceLimits
{
  std::string name;
  /** Connections to one replica, over all daemons. */
  std::uint32_t connections = 1;
  /** How long a replica is considered cold after its start. */
  std::chrono::milliseconds coldPeriod{ 0 };
  /** Requests per second to a cold replica; 0 means no limit. */
  double coldRate = 0.0;
};

/** Limits on requests and connections of one caller. */
struct CallerLimits
{
  std::size_t headerBytes = std::size_t{ 16 } * 1024;
  std::size_t bodyBytes = std::size_t{ 256 } * 1024;
  std::chrono::milliseconds headerTimeout{ 3000 };
  std::chrono::milliseconds idleTimeout{ 15000 };
};

/** One version of the routing configuration. Immutable once shared. */
class RoutingTable
{
public:
  std::uint64_t version = 0;
  CallerLimits limits;
  /** The customers; nothing when the configuration names none, so that no key is needed. */
  std::optional<CustomerTable> customers;

  /** Adds a route; replaces one with the same host and prefix. */
  void AddRoute(Route aRoute);

  /** Adds a service; replaces one with the same name. */
  void AddService(ServiceLimits aLimits);

  /**
   * @param aHost value of the Host header field, with or without a port; case-insensitive.
   * @param aPath path of the request without the query string.
   * @return the route with the longest matching prefix, null if none matches.
   */
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  /** @return the limits of a service, null if it is unknown. */
  const ServiceLimits* FindService(const std::string& aName) const;

  /** @return the limits of all services, by name. */
  const std::map<std::string, ServiceLimits>& Services() const { return mServices; }

  /** @return the number of routes. */
  std::size_t RouteCount() const { return mRouteCount; }

private:
  /** Routes of each host, longest prefix first. */
  std::unordered_map<std::string, std::vector<Route>> mRoutes;
  std::map<std::string, ServiceLimits> mServices;
  std::size_t mRouteCount = 0;
};

} // namespace skylarkwing::declaration
