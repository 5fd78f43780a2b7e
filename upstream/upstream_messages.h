#pragma once

#include "core/timer_service.h"
#include "upstream/part.h"
#include "upstream/replica_status.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace skylarkwing::upstream {

void
to_json(nlohmann::json& aJson, const SnapshotHolding& aHolding);
void
from_json(const nlohmann::json& aJson, SnapshotHolding& aHolding);
void
to_json(nlohmann::json& aJson, const ReplicaStatus& aStatus);
void
from_json(const nlohmann::json& aJson, ReplicaStatus& aStatus);
void
to_json(nlohmann::json& aJson, const Hit& aHit);
void
from_json(const nlohmann::json& aJson, Hit& aHit);
void
to_json(nlohmann::json& aJson, const PartAnswer& aAnswer);
void
from_json(const nlohmann::json& aJson, PartAnswer& aAnswer);

/**
 * Packs parts for one owner. Deadlines are sent as remaining time, because daemons share no clock,
 * and parts of one query share the text of its search.
 */
nlohmann::json
PackParts(const std::vector<PartRequest>& aParts, core::TimePoint aNow);

/**
 * Unpacks the message of PackParts().
 *
 * @param aAge time that the message spent on its way, subtracted from each part's remaining time.
 * @throws nlohmann::json::exception on an invalid message.
 */
std::vector<PartRequest>
UnpackParts(const nlohmann::json& aMessage, core::TimePoint aNow, core::Duration aAge);

} // namespace skylarkwing::upstream
