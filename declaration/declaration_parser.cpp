#include "declaration/declaration_parser.h"

#include "core/text_rules.h"
#include "declaration/declaration_check.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace skylarkwing::declaration {

namespace {

using core::IntegerRange;
using core::JsonReader;
using core::Presence;
using nlohmann::json;

constexpr IntegerRange kSlots{ 1, 10'000 };
constexpr IntegerRange kConnections{ 1, 100'000 };
constexpr IntegerRange kConnectTimeMilliseconds{ 0, 60'000 };
constexpr IntegerRange kPriority{ 0, 100 };
constexpr IntegerRange kConcurrency{ 1, 10'000'000 };
constexpr IntegerRange kDeadlineMilliseconds{ 1, 600'000 };

void
ReadFailureDomain(JsonReader& aReader, FailureDomainDeclaration& aTarget)
{
  aReader.Text("name", aTarget.name, core::NameRule(), Presence::Required);
  aReader.Text("region", aTarget.region, core::TitleRule(), Presence::Required);
  aReader.Boolean("out", aTarget.out, Presence::Optional);
  aReader.Text("reason", aTarget.reason, core::RemarkRule(), Presence::Optional);
}

void
ReadLimits(JsonReader& aReader, UpstreamLimits& aTarget)
{
  aReader.Integer("slots", aTarget.slots, kSlots, Presence::Required);
  aReader.Integer("coldSlots", aTarget.coldSlots, kSlots, Presence::Required);
  aReader.Integer("connections", aTarget.connections, kConnections, Presence::Required);
  aReader.Milliseconds(
    "connectTimeMs", aTarget.connectTime, kConnectTimeMilliseconds, Presence::Optional);
}

void
ReadReplica(JsonReader& aReader, ReplicaDeclaration& aTarget)
{
  aReader.Text("name", aTarget.name, core::NameRule(), Presence::Required);
  aReader.Text("address", aTarget.address, core::AddressRule(), Presence::Required);
  aReader.Text("failureDomain", aTarget.failureDomain, core::NameRule(), Presence::Required);
}

void
ReadService(JsonReader& aReader, ServiceDeclaration& aTarget)
{
  aReader.Text("name", aTarget.name, core::NameRule(), Presence::Required);
  const JsonReader::ObjectFunction readReplica = [&aTarget](JsonReader& aReplica) {
    ReadReplica(aReplica, aTarget.replicas.emplace_back());
  };
  aReader.Objects("replicas", readReplica, Presence::Required, 1);
}

void
ReadIndex(JsonReader& aReader, IndexDeclaration& aTarget)
{
  aReader.Text("name", aTarget.name, core::NameRule(), Presence::Required);
  const JsonReader::ObjectFunction readLimits = [&aTarget](JsonReader& aLimits) {
    ReadLimits(aLimits, aTarget.limits);
  };
  aReader.Object("limits", readLimits, Presence::Required);
  const JsonReader::ObjectFunction readService = [&aTarget](JsonReader& aService) {
    ReadService(aService, aTarget.services.emplace_back());
  };
  aReader.Objects("services", readService, Presence::Required, 1);
}

void
ReadObjective(JsonReader& aReader, Objective& aTarget)
{
  aReader.Milliseconds("latencyMs", aTarget.latency, kDeadlineMilliseconds, Presence::Required);
  aReader.Share("latencyShare", aTarget.latencyShare, Presence::Required);
  aReader.Share("completeShare", aTarget.completeShare, Presence::Required);
}

void
ReadProfile(JsonReader& aReader, ProfileDeclaration& aTarget)
{
  aReader.Text("name", aTarget.name, core::NameRule(), Presence::Required);
  aReader.Texts("indexes", aTarget.indexes, core::NameRule(), Presence::Required, 1);
  aReader.Integer("priority", aTarget.priority, kPriority, Presence::Optional);
  aReader.Integer("concurrency", aTarget.concurrency, kConcurrency, Presence::Optional);
  aReader.Boolean("idempotent", aTarget.idempotent, Presence::Required);
  aReader.Milliseconds(
    "defaultDeadlineMs", aTarget.defaultDeadline, kDeadlineMilliseconds, Presence::Optional);
  aReader.Milliseconds(
    "longestDeadlineMs", aTarget.longestDeadline, kDeadlineMilliseconds, Presence::Optional);
  aReader.Share("leastCoverage", aTarget.leastCoverage, Presence::Optional);
  aReader.Share("hedgeQuantile", aTarget.hedgeQuantile, Presence::Optional);
  aReader.Share("hedgeBudget", aTarget.hedgeBudget, Presence::Optional);
  aReader.Share("retryBudget", aTarget.retryBudget, Presence::Optional);
  const JsonReader::ObjectFunction readObjective = [&aTarget](JsonReader& aObjective) {
    ReadObjective(aObjective, aTarget.objective);
  };
  aReader.Object("objective", readObjective, Presence::Optional);
}

void
ReadTopLevel(JsonReader& aReader, Declaration& aTarget)
{
  aReader.Text("deployment", aTarget.deployment, core::TitleRule(), Presence::Required);
  const JsonReader::ObjectFunction readDomain = [&aTarget](JsonReader& aDomain) {
    ReadFailureDomain(aDomain, aTarget.failureDomains.emplace_back());
  };
  aReader.Objects("failureDomains", readDomain, Presence::Required, 1);
  const JsonReader::ObjectFunction readIndex = [&aTarget](JsonReader& aIndex) {
    ReadIndex(aIndex, aTarget.indexes.emplace_back());
  };
  aReader.Objects("indexes", readIndex, Presence::Required);
  const JsonReader::ObjectFunction readProfile = [&aTarget](JsonReader& aProfile) {
    ReadProfile(aProfile, aTarget.profiles.emplace_back());
  };
  aReader.Objects("profiles", readProfile, Presence::Required);
  aReader.RejectUnknownKeys();
}

json
ToJson(const FailureDomainDeclaration& aDomain)
{
  json document{ { "name", aDomain.name }, { "region", aDomain.region }, { "out", aDomain.out } };
  if (!aDomain.reason.empty()) {
    document["reason"] = aDomain.reason;
  }
  return document;
}

json
ToJson(const ServiceDeclaration& aService)
{
  json replicas = json::array();
  for (const ReplicaDeclaration& replica : aService.replicas) {
    replicas.push_back({ { "name", replica.name },
                         { "address", replica.address },
                         { "failureDomain", replica.failureDomain } });
  }
  return { { "name", aService.name }, { "replicas", std::move(replicas) } };
}

json
ToJson(const IndexDeclaration& aIndex)
{
  json services = json::array();
  for (const ServiceDeclaration& service : aIndex.services) {
    services.push_back(ToJson(service));
  }
  json limits{ { "slots", aIndex.limits.slots },
               { "coldSlots", aIndex.limits.coldSlots },
               { "connections", aIndex.limits.connections },
               { "connectTimeMs", aIndex.limits.connectTime.count() } };
  return { { "name", aIndex.name },
           { "limits", std::move(limits) },
           { "services", std::move(services) } };
}

json
ToJson(const ProfileDeclaration& aProfile)
{
  json objective{ { "latencyMs", aProfile.objective.latency.count() },
                  { "latencyShare", aProfile.objective.latencyShare },
                  { "completeShare", aProfile.objective.completeShare } };
  return { { "name", aProfile.name },
           { "indexes", aProfile.indexes },
           { "priority", aProfile.priority },
           { "concurrency", aProfile.concurrency },
           { "idempotent", aProfile.idempotent },
           { "defaultDeadlineMs", aProfile.defaultDeadline.count() },
           { "longestDeadlineMs", aProfile.longestDeadline.count() },
           { "leastCoverage", aProfile.leastCoverage },
           { "hedgeQuantile", aProfile.hedgeQuantile },
           { "hedgeBudget", aProfile.hedgeBudget },
           { "retryBudget", aProfile.retryBudget },
           { "objective", std::move(objective) } };
}

} // namespace

ParseResult
ReadDeclaration(const json& aDocument)
{
  ParseResult result;
  Declaration declaration;
  JsonReader reader(aDocument, "", result.faults);
  ReadTopLevel(reader, declaration);
  std::vector<Fault> faults = CheckDeclaration(declaration);
  std::move(faults.begin(), faults.end(), std::back_inserter(result.faults));
  if (result.faults.empty()) {
    result.declaration = std::move(declaration);
  }
  return result;
}

ParseResult
ParseDeclaration(std::string_view aText)
{
  std::vector<Fault> faults;
  const std::optional<json> document = core::ParseJson(aText, faults);
  if (!document) {
    return { std::nullopt, std::move(faults) };
  }
  ParseResult result = ReadDeclaration(*document);
  if (!faults.empty()) {
    result.declaration.reset();
    result.faults.insert(result.faults.begin(), faults.begin(), faults.end());
  }
  return result;
}

json
ToJson(const Declaration& aDeclaration)
{
  json domains = json::array();
  for (const FailureDomainDeclaration& domain : aDeclaration.failureDomains) {
    domains.push_back(ToJson(domain));
  }
  json indexes = json::array();
  for (const IndexDeclaration& index : aDeclaration.indexes) {
    indexes.push_back(ToJson(index));
  }
  json profiles = json::array();
  for (const ProfileDeclaration& profile : aDeclaration.profiles) {
    profiles.push_back(ToJson(profile));
  }
  return { { "deployment", aDeclaration.deployment },
           { "failureDomains", std::move(domains) },
           { "indexes", std::move(indexes) },
           { "profiles", std::move(profiles) } };
}

} // namespace skylarkwing::declaration
