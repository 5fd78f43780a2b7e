#pragma once

#include "declaration/declaration_parser.h"

#include <nlohmann/json.hpp>

#include <string>

namespace skylarkwing::declaration {

/** @return a small declaration with three failure domains, one index and two profiles. */
inline nlohmann::json
SmallDocument()
{
  return nlohmann::json::parse(R"({
    "deployment": "test",
    "failureDomains": [
      {"name": "Ikeja", "region": "Lagos"},
      {"name": "Nassarawa", "region": "Kano"},
      {"name": "Trans-Amadi", "region": "Port Harcourt", "out": true, "reason": "switch"}
    ],
    "indexes": [{
      "name": "dealer-catalogue",
      "limits": {"slots": 3, "coldSlots": 1, "connections": 30, "connectTimeMs": 6},
      "services": [
        {"name": "catalogue-0", "replicas": [
          {"name": "catalogue-0-a", "address": "10.0.0.1:7000", "failureDomain": "Ikeja"},
          {"name": "catalogue-0-b", "address": "10.0.1.1:7000", "failureDomain": "Nassarawa"},
          {"name": "catalogue-0-c", "address": "10.0.2.1:7000", "failureDomain": "Trans-Amadi"}]},
        {"name": "catalogue-1", "replicas": [
          {"name": "catalogue-1-a", "address": "10.0.0.2:7000", "failureDomain": "Ikeja"},
          {"name": "catalogue-1-c", "address": "10.0.2.2:7000", "failureDomain": "Trans-Amadi"}]}
      ]
    }],
    "profiles": [
      {"name": "quick-quote", "indexes": ["dealer-catalogue"], "idempotent": true},
      {"name": "order", "indexes": ["dealer-catalogue"], "idempotent": false, "priority": 0,
       "defaultDeadlineMs": 800, "longestDeadlineMs": 2000,
       "objective": {"latencyMs": 90, "latencyShare": 0.99, "completeShare": 0.999}}
    ]
  })");
}

/** @return SmallDocument(), parsed. */
inline Declaration
SmallDeclaration()
{
  return ReadDeclaration(SmallDocument()).declaration.value();
}

} // namespace skylarkwing::declaration
