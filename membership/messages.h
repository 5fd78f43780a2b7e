#pragma once

#include "membership/member.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::membership {

/** Message kinds of MembershipService. */
constexpr const char* kHeartbeatKind = "heartbeat";
constexpr const char* kMembersKind = "members";
constexpr const char* kFactsKind = "facts";
constexpr const char* kDigestKind = "digest";
constexpr const char* kStandingRequestKind = "standing-request";
constexpr const char* kStandingKind = "standing";

/** @return the member as a JSON array: compact, since messages may carry thousands. */
nlohmann::json
MemberToJson(const Member& aMember);

/** @return the member, or nothing when it is malformed. */
std::optional<Member>
MemberFromJson(const nlohmann::json& aJson);

/** The values of a member that change often, for receivers that already know the member. */
struct MemberStatus
{
  std::string vm;
  std::uint64_t startOrder = 0;
  std::uint64_t heartbeatCount = 0;
  std::uint64_t generation = 0;
  double load = 0.0;
  std::uint64_t identityEpoch = 0;
};

/** A heartbeat to one of the sender's monitors, or to a member that is probed. */
struct Heartbeat
{
  MemberStatus status;
  MemberState state = MemberState::Alive;
  /** Whether the receiver monitors the sender from now on; nothing for no change. */
  std::optional<bool> isMonitored;
  /** The full description of the sender, for a receiver that may not know it yet. */
  std::optional<Member> introduction;
  /** The status of a few other members. */
  std::vector<MemberStatus> others;
};

nlohmann::json
HeartbeatToJson(const Heartbeat& aHeartbeat);

/** @return the heartbeat, or nothing when it is malformed. */
std::optional<Heartbeat>
HeartbeatFromJson(const nlohmann::json& aJson);

/** The reason for a report about members. */
enum class ReportReason
{
  /** A change, to be forwarded. */
  Update,
  /** Part of an anti-entropy exchange. */
  AntiEntropy,
  /** The answer to an outdated report; it is not answered itself. */
  Correction,
};

/** A report about some members. */
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

/** @return the often changing values of a member. */
MemberStatus
StatusOf(const Member& aMember);

/** Copies a status into a member. */
void
ApplyStatus(const MemberStatus& aStatus, Member& aMember);

} // namespace skylarkwing::membership
