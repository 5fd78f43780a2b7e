#include "declaration/declaration_diff.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <set>
#include <string_view>
#include <utility>

namespace skylarkwing::declaration {

namespace {

template<typename Item>
const Item*
Find(const std::vector<Item>& aItems, const std::string& aName)
{
  const auto it = std::find_if(
    aItems.begin(), aItems.end(), [&aName](const Item& aItem) { return aItem.name == aName; });
  return it == aItems.end() ? nullptr : &*it;
}

std::string
ToText(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::string
ToText(std::uint32_t aValue)
{
  return std::to_string(aValue);
}

std::string
ToText(std::chrono::milliseconds aValue)
{
  return std::to_string(aValue.count()) + " ms";
}

std::string
ToText(double aValue)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.6g", aValue);
  return buf.data();
}

std::string
ToText(const std::vector<std::string>& aValues)
{
  std::string text;
  for (const std::string& value : aValues) {
    text += (text.empty() ? "" : " ") + value;
  }
  return text;
}

std::string
FormatCount(std::size_t aCount, const std::string& aNoun)
{
  return std::to_string(aCount) + " " + aNoun + (aCount == 1 ? "" : "s");
}

/** Describes the fields of one object that differ. */
class FieldChanges
{
public:
  template<typename Value>
  void Compare(std::string_view aField, const Value& aFrom, const Value& aTo)
  {
    if (aFrom == aTo) {
      return;
    }
    mText += mText.empty() ? "" : ", ";
    mText.append(aField);
    mText += " from " + ToText(aFrom);
    mText += " to " + ToText(aTo);
  }

  bool IsEmpty() const { return mText.empty(); }
  const std::string& Text() const { return mText; }

private:
  std::string mText;
};

/** Describes the affected replicas and services of a failure domain. */
std::string
TrafficOfDomain(const Declaration& aDeclaration, const std::string& aDomain)
{
  std::size_t replicas = 0;
  std::size_t services = 0;
  for (const IndexDeclaration& index : aDeclaration.indexes) {
    for (const ServiceDeclaration& service : index.services) {
      const auto inDomain = std::count_if(
        service.replicas.begin(), service.replicas.end(), [&aDomain](const auto& aReplica) {
          return aReplica.failureDomain == aDomain;
        });
      replicas += static_cast<std::size_t>(inDomain);
      services += inDomain > 0 ? 1 : 0;
    }
  }
  return "new work for " + FormatCount(replicas, "replica") + " of " +
         FormatCount(services, "service");
}

std::string
TrafficOfIndex(const IndexDeclaration& aIndex)
{
  std::size_t replicas = 0;
  for (const ServiceDeclaration& service : aIndex.services) {
    replicas += service.replicas.size();
  }
  return "queries to index " + aIndex.name + ", " + FormatCount(replicas, "replica") + " of " +
         FormatCount(aIndex.services.size(), "service");
}

/** Compares two declarations and collects the changes. */
class Diff
{
public:
  Diff(const Declaration& aFrom, const Declaration& aTo)
    : mFrom(aFrom)
    , mTo(aTo)
  {
  }

  std::vector<Change> Run()
  {
    if (mFrom.deployment != mTo.deployment) {
      Add("the deployment's name changes from \"" + mFrom.deployment + "\" to \"" + mTo.deployment +
            "\"",
          "all");
    }
    CompareDomains();
    CompareIndexes();
    CompareProfiles();
    return std::move(mChanges);
  }

private:
  const Declaration& mFrom;
  const Declaration& mTo;
  std::vector<Change> mChanges;

  void Add(std::string aWhat, std::string aTraffic)
  {
    mChanges.push_back({ std::move(aWhat), std::move(aTraffic) });
  }

  void CompareDomains()
  {
    for (const FailureDomainDeclaration& domain : mTo.failureDomains) {
      const FailureDomainDeclaration* before = Find(mFrom.failureDomains, domain.name);
      if (before == nullptr) {
        Add("failure domain " + domain.name + " in region " + domain.region + " is added" +
              (domain.out ? ", out" : ""),
            TrafficOfDomain(mTo, domain.name));
        continue;
      }
      CompareDomain(*before, domain);
    }
    for (const FailureDomainDeclaration& domain : mFrom.failureDomains) {
      if (Find(mTo.failureDomains, domain.name) == nullptr) {
        Add("failure domain " + domain.name + " is removed", TrafficOfDomain(mFrom, domain.name));
      }
    }
  }

  void CompareDomain(const FailureDomainDeclaration& aFrom, const FailureDomainDeclaration& aTo)
  {
    const std::string name = "failure domain " + aTo.name;
    const std::string reason = aTo.reason.empty() ? "" : ": " + aTo.reason;
    if (aFrom.out != aTo.out) {
      Add(name + (aTo.out ? " goes out" + reason : " comes back"), TrafficOfDomain(mTo, aTo.name));
    } else if (aFrom.reason != aTo.reason) {
      Add(name + " has another reason" + reason, "none");
    }
    if (aFrom.region != aTo.region) {
      Add(name + " moves from region " + aFrom.region + " to " + aTo.region,
          TrafficOfDomain(mTo, aTo.name));
    }
  }

  void CompareIndexes()
  {
    for (const IndexDeclaration& index : mTo.indexes) {
      const IndexDeclaration* before = Find(mFrom.indexes, index.name);
      if (before == nullptr) {
        Add("index " + index.name + " is added", TrafficOfIndex(index));
        continue;
      }
      CompareLimits(*before, index);
      CompareServices(*before, index);
    }
    for (const IndexDeclaration& index : mFrom.indexes) {
      if (Find(mTo.indexes, index.name) == nullptr) {
        Add("index " + index.name + " is removed", TrafficOfIndex(index));
      }
    }
  }

  void CompareLimits(const IndexDeclaration& aFrom, const IndexDeclaration& aTo)
  {
    FieldChanges fields;
    fields.Compare("slots", aFrom.limits.slots, aTo.limits.slots);
    fields.Compare("cold slots", aFrom.limits.coldSlots, aTo.limits.coldSlots);
    fields.Compare("connections", aFrom.limits.connections, aTo.limits.connections);
    fields.Compare("connect time", aFrom.limits.connectTime, aTo.limits.connectTime);
    if (!fields.IsEmpty()) {
      Add("index " + aTo.name + ": limits of each replica change, " + fields.Text(),
          TrafficOfIndex(aTo));
    }
  }

  void CompareServices(const IndexDeclaration& aFrom, const IndexDeclaration& aTo)
  {
    const std::string of = " of index " + aTo.name;
    for (const ServiceDeclaration& service : aTo.services) {
      const ServiceDeclaration* before = Find(aFrom.services, service.name);
      if (before == nullptr) {
        Add("service " + service.name + of + " is added with " +
              FormatCount(service.replicas.size(), "replica"),
            "its shards of index " + aTo.name);
        continue;
      }
      CompareReplicas(*before, service, of);
    }
    for (const ServiceDeclaration& service : aFrom.services) {
      if (Find(aTo.services, service.name) == nullptr) {
        Add("service " + service.name + of + " is removed with " +
              FormatCount(service.replicas.size(), "replica"),
            "its shards of index " + aTo.name);
      }
    }
  }

  void CompareReplicas(const ServiceDeclaration& aFrom,
                       const ServiceDeclaration& aTo,
                       const std::string& aOfIndex)
  {
    const std::string traffic = "a share of service " + aTo.name + aOfIndex;
    for (const ReplicaDeclaration& replica : aTo.replicas) {
      const ReplicaDeclaration* before = Find(aFrom.replicas, replica.name);
      if (before == nullptr) {
        Add("replica " + replica.name + " is added in " + replica.failureDomain, traffic);
        continue;
      }
      if (before->address != replica.address) {
        Add("replica " + replica.name + " moves from " + before->address + " to " + replica.address,
            traffic);
      }
      if (before->failureDomain != replica.failureDomain) {
        Add("replica " + replica.name + " moves from failure domain " + before->failureDomain +
              " to " + replica.failureDomain,
            traffic);
      }
    }
    for (const ReplicaDeclaration& replica : aFrom.replicas) {
      if (Find(aTo.replicas, replica.name) == nullptr) {
        Add("replica " + replica.name + " is removed from " + replica.failureDomain, traffic);
      }
    }
  }

  void CompareProfiles()
  {
    for (const ProfileDeclaration& profile : mTo.profiles) {
      const ProfileDeclaration* before = Find(mFrom.profiles, profile.name);
      const std::string traffic = "queries of profile " + profile.name;
      if (before == nullptr) {
        Add("profile " + profile.name + " is added for " + ToText(profile.indexes), traffic);
        continue;
      }
      const FieldChanges fields = CompareProfile(*before, profile);
      if (!fields.IsEmpty()) {
        Add("profile " + profile.name + " changes, " + fields.Text(), traffic);
      }
    }
    for (const ProfileDeclaration& profile : mFrom.profiles) {
      if (Find(mTo.profiles, profile.name) == nullptr) {
        Add("profile " + profile.name + " is removed, its queries are refused",
            "queries of profile " + profile.name);
      }
    }
  }

  static FieldChanges CompareProfile(const ProfileDeclaration& aFrom, const ProfileDeclaration& aTo)
  {
    FieldChanges fields;
    fields.Compare("indexes", aFrom.indexes, aTo.indexes);
    fields.Compare("priority", aFrom.priority, aTo.priority);
    fields.Compare("concurrency", aFrom.concurrency, aTo.concurrency);
    fields.Compare("idempotent", aFrom.idempotent, aTo.idempotent);
    fields.Compare("default deadline", aFrom.defaultDeadline, aTo.defaultDeadline);
    fields.Compare("longest deadline", aFrom.longestDeadline, aTo.longestDeadline);
    fields.Compare("least coverage", aFrom.leastCoverage, aTo.leastCoverage);
    fields.Compare("hedge quantile", aFrom.hedgeQuantile, aTo.hedgeQuantile);
    fields.Compare("hedge budget", aFrom.hedgeBudget, aTo.hedgeBudget);
    fields.Compare("retry budget", aFrom.retryBudget, aTo.retryBudget);
    const Objective& from = aFrom.objective;
    const Objective& to = aTo.objective;
    fields.Compare("latency objective", from.latency, to.latency);
    fields.Compare("share of answers in time", from.latencyShare, to.latencyShare);
    fields.Compare("share of complete answers", from.completeShare, to.completeShare);
    return fields;
  }
};

} // namespace

std::vector<Change>
DescribeChanges(const Declaration& aFrom, const Declaration& aTo)
{
  Diff diff(aFrom, aTo);
  return diff.Run();
}

std::vector<std::string>
ToLines(const std::vector<Change>& aChanges)
{
  std::vector<std::string> lines;
  lines.reserve(aChanges.size());
  for (const Change& change : aChanges) {
    lines.push_back(change.what + " (touches " + change.traffic + ")");
  }
  return lines;
}

} // namespace skylarkwing::declaration
