#include "bench/builtin_deployment.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <utility>

namespace skylarkwing::bench {

namespace {

using declaration::Declaration;
using declaration::IndexDeclaration;
using declaration::Objective;
using declaration::ProfileDeclaration;
using declaration::UpstreamLimits;
using std::chrono::milliseconds;

constexpr std::uint32_t kFirstPort = 21000;

/** The size of one index. */
struct IndexSize
{
  std::string name;
  std::uint32_t services;
  std::uint32_t replicas;
  UpstreamLimits limits;
};

std::string
LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

std::string
ServiceName(const IndexSize& aSize, std::uint32_t aNumber)
{
  if (aSize.services == 1) {
    return aSize.name;
  }
  const std::string digits = std::to_string(aNumber + 1);
  return aSize.name + "-" + (digits.size() == 1 ? "0" : "") + digits;
}

void
AddIndex(Declaration& aDeclaration, std::uint32_t& aPort, const IndexSize& aSize)
{
  const auto& domains = aDeclaration.failureDomains;
  const auto domainCount = static_cast<std::uint32_t>(domains.size());
  IndexDeclaration index;
  index.name = aSize.name;
  index.limits = aSize.limits;
  for (std::uint32_t n = 0; n < aSize.services; ++n) {
    declaration::ServiceDeclaration service;
    service.name = ServiceName(aSize, n);
    for (std::uint32_t r = 0; r < aSize.replicas; ++r) {
      const std::string& domain = domains[r % domainCount].name;
      std::string name = service.name + "-" + LowerCase(domain);
      if (aSize.replicas > domainCount) {
        name += "-" + std::to_string(r / domainCount + 1);
      }
      service.replicas.push_back(
        { std::move(name), "127.0.0.1:" + std::to_string(aPort++), domain });
    }
    index.services.push_back(std::move(service));
  }
  aDeclaration.indexes.push_back(std::move(index));
}

UpstreamLimits
MakeLimits(std::uint32_t aSlots, std::uint32_t aConnections, milliseconds aConnectTime)
{
  UpstreamLimits limits;
  limits.slots = aSlots;
  limits.coldSlots = 1;
  limits.connections = aConnections;
  limits.connectTime = aConnectTime;
  return limits;
}

ProfileDeclaration
MakeProfile(std::string aName,
            std::string aIndex,
            std::uint32_t aPriority,
            std::uint32_t aConcurrency)
{
  ProfileDeclaration profile;
  profile.name = std::move(aName);
  profile.indexes = { std::move(aIndex) };
  profile.priority = aPriority;
  profile.concurrency = aConcurrency;
  return profile;
}

void
SetTimes(ProfileDeclaration& aProfile,
         milliseconds aDeadline,
         milliseconds aMaxDeadline,
         const Objective& aObjective)
{
  aProfile.defaultDeadline = aDeadline;
  aProfile.longestDeadline = aMaxDeadline;
  aProfile.objective = aObjective;
}

void
SetAttempts(ProfileDeclaration& aProfile,
            double aMinCoverage,
            double aHedgeQuantile,
            double aHedgeBudget,
            double aRetryBudget)
{
  aProfile.leastCoverage = aMinCoverage;
  aProfile.hedgeQuantile = aHedgeQuantile;
  aProfile.hedgeBudget = aHedgeBudget;
  aProfile.retryBudget = aRetryBudget;
}

Objective
MakeObjective(milliseconds aLatency, double aLatencyShare, double aCompleteShare)
{
  return { aLatency, aLatencyShare, aCompleteShare };
}

void
AddAdebayoProfiles(std::vector<ProfileDeclaration>& aProfiles)
{
  ProfileDeclaration quote = MakeProfile("quick-quote", "dealer-catalogue", 0, 48);
  SetTimes(quote,
           milliseconds{ 400 },
           milliseconds{ 2000 },
           MakeObjective(milliseconds{ 150 }, 0.99, 0.995));
  SetAttempts(quote, 0.5, 0.95, 0.05, 0.1);
  aProfiles.push_back(quote);

  ProfileDeclaration browse = MakeProfile("catalogue-browse", "dealer-catalogue", 2, 24);
  SetTimes(browse,
           milliseconds{ 1000 },
           milliseconds{ 5000 },
           MakeObjective(milliseconds{ 500 }, 0.95, 0.99));
  SetAttempts(browse, 0.0, 0.97, 0.02, 0.05);
  aProfiles.push_back(browse);

  ProfileDeclaration invoice = MakeProfile("invoice-search", "invoice-desk", 1, 32);
  SetTimes(invoice,
           milliseconds{ 800 },
           milliseconds{ 5000 },
           MakeObjective(milliseconds{ 300 }, 0.99, 0.995));
  SetAttempts(invoice, 0.8, 0.95, 0.04, 0.1);
  aProfiles.push_back(invoice);

  ProfileDeclaration waybill = MakeProfile("waybill-check", "dispatch-yard", 0, 48);
  SetTimes(waybill,
           milliseconds{ 300 },
           milliseconds{ 2000 },
           MakeObjective(milliseconds{ 100 }, 0.99, 0.999));
  SetAttempts(waybill, 1.0, 0.95, 0.05, 0.1);
  aProfiles.push_back(waybill);

  ProfileDeclaration stock = MakeProfile("stock-check", "stock-ledger", 1, 24);
  SetTimes(stock,
           milliseconds{ 400 },
           milliseconds{ 2000 },
           MakeObjective(milliseconds{ 150 }, 0.99, 0.999));
  SetAttempts(stock, 1.0, 0.95, 0.05, 0.1);
  aProfiles.push_back(stock);

  ProfileDeclaration order = MakeProfile("order-booking", "stock-ledger", 0, 16);
  order.idempotent = false;
  SetTimes(order,
           milliseconds{ 1000 },
           milliseconds{ 5000 },
           MakeObjective(milliseconds{ 300 }, 0.99, 0.999));
  SetAttempts(order, 1.0, 0.95, 0.0, 0.1);
  aProfiles.push_back(order);
}

void
AddBrezelkarProfiles(std::vector<ProfileDeclaration>& aProfiles)
{
  ProfileDeclaration route = MakeProfile("route-planning", "routeplanner", 0, 32);
  SetTimes(route,
           milliseconds{ 1500 },
           milliseconds{ 8000 },
           MakeObjective(milliseconds{ 500 }, 0.99, 0.999));
  SetAttempts(route, 0.9, 0.95, 0.05, 0.15);
  aProfiles.push_back(route);

  ProfileDeclaration cart = MakeProfile("cart-lookup", "routeplanner", 1, 16);
  SetTimes(cart,
           milliseconds{ 600 },
           milliseconds{ 3000 },
           MakeObjective(milliseconds{ 250 }, 0.99, 0.995));
  SetAttempts(cart, 0.5, 0.95, 0.04, 0.1);
  aProfiles.push_back(cart);

  ProfileDeclaration supplier = MakeProfile("supplier-search", "leverancier", 1, 24);
  SetTimes(supplier,
           milliseconds{ 1000 },
           milliseconds{ 5000 },
           MakeObjective(milliseconds{ 400 }, 0.99, 0.995));
  SetAttempts(supplier, 0.8, 0.95, 0.04, 0.1);
  aProfiles.push_back(supplier);

  ProfileDeclaration depot = MakeProfile("depot-stock", "depotbeheer", 0, 32);
  SetTimes(depot,
           milliseconds{ 500 },
           milliseconds{ 3000 },
           MakeObjective(milliseconds{ 200 }, 0.99, 0.999));
  SetAttempts(depot, 1.0, 0.95, 0.05, 0.15);
  aProfiles.push_back(depot);

  ProfileDeclaration till = MakeProfile("till-lookup", "kassa-sync", 1, 16);
  SetTimes(till,
           milliseconds{ 500 },
           milliseconds{ 3000 },
           MakeObjective(milliseconds{ 200 }, 0.99, 0.999));
  SetAttempts(till, 1.0, 0.95, 0.05, 0.1);
  aProfiles.push_back(till);

  ProfileDeclaration order = MakeProfile("replenishment-order", "kassa-sync", 0, 8);
  order.idempotent = false;
  SetTimes(order,
           milliseconds{ 1500 },
           milliseconds{ 8000 },
           MakeObjective(milliseconds{ 400 }, 0.99, 0.999));
  SetAttempts(order, 1.0, 0.95, 0.0, 0.1);
  aProfiles.push_back(order);
}

Declaration
Adebayo()
{
  constexpr milliseconds kSlowConnect{ 6 };
  constexpr milliseconds kFastConnect{ 1 };
  Declaration declaration;
  declaration.deployment = "adebayo";
  declaration.failureDomains = { { "Ikeja", "Lagos", false, "" },
                                 { "Nassarawa", "Kano", false, "" },
                                 { "Trans-Amadi", "Port Harcourt", false, "" } };
  std::uint32_t port = kFirstPort;
  AddIndex(declaration, port, { "dealer-catalogue", 10, 3, MakeLimits(3, 30, kSlowConnect) });
  AddIndex(declaration, port, { "invoice-desk", 15, 3, MakeLimits(3, 30, kSlowConnect) });
  AddIndex(declaration, port, { "dispatch-yard", 1, 9, MakeLimits(6, 110, kFastConnect) });
  AddIndex(declaration, port, { "stock-ledger", 1, 4, MakeLimits(6, 110, kFastConnect) });
  AddAdebayoProfiles(declaration.profiles);
  return declaration;
}

Declaration
Brezelkar()
{
  constexpr milliseconds kSlowConnect{ 6 };
  constexpr milliseconds kFastConnect{ 1 };
  Declaration declaration;
  declaration.deployment = "brezelkar";
  declaration.failureDomains = { { "Gent", "Flanders", false, "" },
                                 { "Anderlecht", "Brussels", false, "" },
                                 { "Namur", "Wallonia", false, "" } };
  std::uint32_t port = kFirstPort;
  AddIndex(declaration, port, { "routeplanner", 10, 3, MakeLimits(2, 25, kSlowConnect) });
  AddIndex(declaration, port, { "leverancier", 15, 3, MakeLimits(2, 25, kSlowConnect) });
  AddIndex(declaration, port, { "depotbeheer", 1, 5, MakeLimits(6, 50, kFastConnect) });
  AddIndex(declaration, port, { "kassa-sync", 1, 3, MakeLimits(6, 50, kFastConnect) });
  AddBrezelkarProfiles(declaration.profiles);
  return declaration;
}

} // namespace

std::vector<std::string>
BuiltinDeploymentNames()
{
  return { "adebayo", "brezelkar" };
}

std::optional<Declaration>
BuiltinDeployment(std::string_view aName)
{
  if (aName == "adebayo") {
    return Adebayo();
  }
  if (aName == "brezelkar") {
    return Brezelkar();
  }
  return std::nullopt;
}

} // namespace skylarkwing::bench
