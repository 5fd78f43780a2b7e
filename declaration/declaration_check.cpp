#include "declaration/declaration_check.h"

#include "core/nearest_name.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkwing::declaration {

namespace {

using core::JsonFault;

std::string
Quoted(std::string_view aText)
{
  return "\"" + std::string(aText) + "\"";
}

std::string
ElementPath(const std::string& aPath, std::size_t aPosition)
{
  return aPath + "/" + std::to_string(aPosition);
}

/** The names of one kind of object. Reports duplicates and unknown references. */
class UniqueNames
{
public:
  UniqueNames(std::string_view aExpected, std::vector<JsonFault>& aFaults)
    : mExpected(aExpected)
    , mFaults(aFaults)
  {
  }

  void Add(const std::string& aName, const std::string& aPath)
  {
    if (aName.empty()) {
      return;
    }
    const auto [it, isNew] = mPaths.emplace(aName, aPath);
    if (!isNew) {
      mFaults.push_back({ aPath, std::string(mExpected), Quoted(aName) + " as at " + it->second });
    }
  }

  /** Reports a reference to a name that has not been added. */
  void CheckReference(const std::string& aName, const std::string& aPath, std::string_view aKind)
  {
    if (aName.empty() || mPaths.count(aName) != 0) {
      return;
    }
    std::vector<std::string_view> known;
    for (const auto& [name, path] : mPaths) {
      known.emplace_back(name);
    }
    std::string expected = "the name of " + std::string(aKind);
    if (const auto nearest = core::NearestName(aName, known)) {
      expected += " such as " + Quoted(*nearest);
    }
    mFaults.push_back({ aPath, std::move(expected), Quoted(aName) });
  }

private:
  std::string_view mExpected;
  std::vector<JsonFault>& mFaults;
  std::map<std::string, std::string> mPaths;
};

/** Validates one declaration and collects the faults. */
class DeclarationChecker
{
public:
  explicit DeclarationChecker(const Declaration& aDeclaration)
    : mDeclaration(aDeclaration)
  {
  }

  std::vector<JsonFault> Run()
  {
    CheckFailureDomains();
    for (std::size_t n = 0; n < mDeclaration.indexes.size(); ++n) {
      CheckIndex(mDeclaration.indexes[n], ElementPath("/indexes", n));
    }
    for (std::size_t n = 0; n < mDeclaration.profiles.size(); ++n) {
      CheckProfile(mDeclaration.profiles[n], ElementPath("/profiles", n));
    }
    return std::move(mFaults);
  }

private:
  const Declaration& mDeclaration;
  std::vector<JsonFault> mFaults;
  UniqueNames mFailureDomains{ "a name that no other failure domain has", mFaults };
  UniqueNames mIndexes{ "a name that no other index has", mFaults };
  UniqueNames mReplicas{ "a name that no other replica has", mFaults };
  UniqueNames mAddresses{ "an address that no other replica has", mFaults };
  UniqueNames mProfiles{ "a name that no other profile has", mFaults };

  void CheckFailureDomains()
  {
    for (std::size_t n = 0; n < mDeclaration.failureDomains.size(); ++n) {
      mFailureDomains.Add(mDeclaration.failureDomains[n].name,
                          ElementPath("/failureDomains", n) + "/name");
    }
  }

  void CheckIndex(const IndexDeclaration& aIndex, const std::string& aPath)
  {
    mIndexes.Add(aIndex.name, aPath + "/name");
    CheckLimits(aIndex.limits, aPath + "/limits");
    UniqueNames services("a name that no other service of the index has", mFaults);
    for (std::size_t n = 0; n < aIndex.services.size(); ++n) {
      const std::string path = ElementPath(aPath + "/services", n);
      services.Add(aIndex.services[n].name, path + "/name");
      CheckReplicas(aIndex.services[n], path + "/replicas");
    }
  }

  void CheckLimits(const UpstreamLimits& aLimits, const std::string& aPath)
  {
    if (aLimits.coldSlots > aLimits.slots) {
      mFaults.push_back({ aPath + "/coldSlots",
                          "at most the " + std::to_string(aLimits.slots) + " slots",
                          std::to_string(aLimits.coldSlots) });
    }
    if (aLimits.connections < aLimits.slots) {
      mFaults.push_back({ aPath + "/connections",
                          "at least the " + std::to_string(aLimits.slots) + " slots",
                          std::to_string(aLimits.connections) });
    }
  }

  void CheckReplicas(const ServiceDeclaration& aService, const std::string& aPath)
  {
    for (std::size_t n = 0; n < aService.replicas.size(); ++n) {
      const ReplicaDeclaration& replica = aService.replicas[n];
      const std::string path = ElementPath(aPath, n);
      mReplicas.Add(replica.name, path + "/name");
      mAddresses.Add(replica.address, path + "/address");
      mFailureDomains.CheckReference(
        replica.failureDomain, path + "/failureDomain", "a failure domain");
    }
  }

  void CheckProfile(const ProfileDeclaration& aProfile, const std::string& aPath)
  {
    mProfiles.Add(aProfile.name, aPath + "/name");
    UniqueNames indexes("an index that is not listed before", mFaults);
    for (std::size_t n = 0; n < aProfile.indexes.size(); ++n) {
      const std::string path = ElementPath(aPath + "/indexes", n);
      indexes.Add(aProfile.indexes[n], path);
      mIndexes.CheckReference(aProfile.indexes[n], path, "an index");
    }
    if (aProfile.defaultDeadline > aProfile.longestDeadline) {
      mFaults.push_back(
        { aPath + "/defaultDeadlineMs",
          "at most longestDeadlineMs, " + std::to_string(aProfile.longestDeadline.count()),
          std::to_string(aProfile.defaultDeadline.count()) });
    }
  }
};

} // namespace

std::vector<JsonFault>
CheckDeclaration(const Declaration& aDeclaration)
{
  DeclarationChecker checker(aDeclaration);
  return checker.Run();
}

} // namespace skylarkwing::declaration
