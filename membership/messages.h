#pragma once

#include "membership/member.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** Kinds of messages of this slice. */
constexpr const char* kHeartbeatKind = "heartbeat";
constexpr const char* kMembersKind = "members";
constexpr const char* kFactsKind = "facts";
constexpr const char* kDigestKind = "digest";
constexpr const char* kStandingRequestKind = "standing-request";
constexpr const char* kStandingKind = "standing";

/** @return a member as a message carries it: an array, because members are sent in thousands. */
nlohmann::json
MemberToJson(const Member& aMember);

/** @return the member, or nothing when it is malformed. */
std::optional<Member>
MemberFromJson(const nlohmann::json& aJson);

/** What changes all the time about a member that the receiver knows already. */
struct MemberStatus
{
  std::string vm;
  std::uint64_t startOrder = 0;
  std::uint64_t heartbeatCount = 0;
  std::uint64_t generation = 0;
  double load = 0.0;
  std::uint64_t identityEpoch = 0;
};

/** A daemon's sign of life to one of its monitors. */
struct Heartbeat
{
  MemberStatus status;
  MemberState state = MemberState::Alive;
  /** Whether the receiver is to watch the sender from now on; a probe changes nothing. */
  std::optional<bool> isMonitored;
  /** The whole sender, for a receiver that may not know it yet. */
  std::optional<Member> introduction;
  /** What the sender knows of a few others. */
  std::vector<MemberStatus> others;
};

nlohmann::json
HeartbeatToJson(const Heartbeat& aHeartbeat);

/** @return the heartbeat, or nothing when it is malformed. */
std::optional<Heartbeat>
HeartbeatFromJson(const nlohmann::json& aJson);

/** Why members are reported. */
enum class ReportReason
{
  /** News, to be passed on. */
  Update,
  /** Part of a comparison of all that two daemons know. */
  AntiEntropy,
  /** The answer to an outdated report; it is not answered in turn. */
  Correction,
};

/** Reports about members. */
struct MembersReport
{
  ReportReason reason = ReportReason::Update;
  std::vector<Member> members;
};

nlohmann::json
MembersReportToJson(const MembersReport& aReport);

/** @return the report, or nothing when it is malformed. */
std::optional<MembersReport>
MembersReportFromJson(const nlohmann::json& aJson);

/** @return what changes all the time about a member. */
MemberStatus
StatusOf(const Member& aMember);

/** Writes status over those of a member. */
void
ApplyStatus(const MemberStatus& aStatus, Member& aMember);

} // namespace skylarkwing::membership
