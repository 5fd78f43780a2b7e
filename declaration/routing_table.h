#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwing::declaration {

/** A service that takes a share of a route's requests. */
struct WeightedService
{
  std::string service;
  double weight = 1.0;
};

/** How requests to one host and path prefix are served. */
struct Route
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  /** Whether a request may run more than once. */
  bool isIdempotent = false;
  /** The longest time that a caller is kept waiting. */
  std::chrono::milliseconds timeout{ 1000 };
  /** An answer within this time is worth the most to its caller. */
  std::chrono::milliseconds objective{ 100 };
  /** 0 is the most important. */
  std::uint32_t priority = 0;
  /** Replicas to which one request, or one part of it, may be sent. */
  std::uint32_t maxAttempts = 1;
  /** Where requests for one replica go; empty for a query over shards. */
  std::vector<WeightedService> services;
  /** The services that together hold every shard; empty for a request to one replica. */
  std::vector<std::string> shards;
  /** How many records an answer over shards has. */
  std::uint32_t topRecords = 0;
  /** Share of shards below which an answer is a failure, 0 to 1. */
  double leastCoverage = 1.0;
  /** Regions that may see the request; empty means all. */
  std::vector<std::string> regions;

  /** @return whether the route fans out over shards. */
  bool IsFanOut() const { return !shards.empty(); }

  /** @return the fewest shards that make an answer, at least one. */
  std::size_t LeastShards() const;
};

/** What the replicas of one service bear. */
struct ServiceRule
{
  std::string name;
  /** Connections that one replica accepts from all daemons together. */
  std::uint32_t connections = 1;
  /** How long a replica that has just started counts as cold. */
  std::chrono::milliseconds coldPeriod{ 0 };
  /** Requests a second that a cold replica bears; 0 means no limit. */
  double coldRate = 0.0;
};

/** Bounds on what one caller may send. */
struct CallerLimits
{
  std::size_t headerBytes = std::size_t{ 16 } * 1024;
  std::size_t bodyBytes = std::size_t{ 256 } * 1024;
  std::chrono::milliseconds headerTimeout{ 3000 };
  std::chrono::milliseconds idleTimeout{ 15000 };
};

/** One version of the routes that are in force. Immutable once shared. */
class RoutingTable
{
public:
  std::uint64_t version = 0;
  CallerLimits limits;

  /** Adds a route; of two with the same host and prefix the later one counts. */
  void AddRoute(Route aRoute);

  /** Adds a service. */
  void AddService(ServiceRule aRule);

  /**
   * @param aHost the Host header, with or without a port, in any case.
   * @param aPath the request's path without its query.
   * @return the route with the longest prefix of the path, null when none matches.
   */
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  /** @return what a service bears, null when it isn't named. */
  const ServiceRule* FindService(const std::string& aName) const;

  /** @return all services by name. */
  const std::map<std::string, ServiceRule>& Services() const { return mServices; }

  /** @return how many routes there are. */
  std::size_t RouteCount() const { return mRouteCount; }

private:
  /** Routes of one host, longest prefix first. */
  std::unordered_map<std::string, std::vector<Route>> mRoutes;
  std::map<std::string, ServiceRule> mServices;
  std::size_t mRouteCount = 0;
};

} // namespace skylarkwing::declaration
