#include "membership/messages.h"

#include "core/name_table.h"

#include <cmath>
#include <utility>

namespace skylarkwing::membership {

namespace {

constexpr std::size_t kMemberFields = 12;
constexpr std::size_t kStatusFields = 6;
constexpr std::uint64_t kPercent = 100;

std::uint64_t
ToPercent(double aShare)
{
  return static_cast<std::uint64_t>(std::lround(aShare * kPercent));
}

/** Reads the fields of a JSON array in order; stops at the first one with a wrong type. */
class FieldReader
{
public:
  FieldReader(const nlohmann::json& aArray, std::size_t aFields)
    : mArray(aArray)
    , mIsValid(aArray.is_array() && aArray.size() == aFields)
  {
  }

  void Read(std::string& aText)
  {
    const nlohmann::json* field = Next();
    mIsValid = mIsValid && field->is_string();
    if (mIsValid) {
      aText = field->get<std::string>();
    }
  }

  void Read(std::uint64_t& aNumber)
  {
    const nlohmann::json* field = Next();
    mIsValid = mIsValid && field->is_number_unsigned();
    if (mIsValid) {
      aNumber = field->get<std::uint64_t>();
    }
  }

  void ReadPercent(double& aShare)
  {
    std::uint64_t percent = 0;
    Read(percent);
    aShare = static_cast<double>(percent) / kPercent;
  }

  void Read(MemberState& aState)
  {
    std::uint64_t number = 0;
    Read(number);
    mIsValid = mIsValid && number <= static_cast<std::uint64_t>(MemberState::Gone);
    aState = mIsValid ? static_cast<MemberState>(number) : MemberState::Joining;
  }

  bool IsValid() const { return mIsValid; }

private:
  const nlohmann::json* Next() { return mIsValid ? &mArray[mNext++] : nullptr; }

  const nlohmann::json& mArray;
  bool mIsValid;
  std::size_t mNext = 0;
};

nlohmann::json
MemberStatusToJson(const MemberStatus& aStatus)
{
  return nlohmann::json::array({ aStatus.vm,
                                 aStatus.startOrder,
                                 aStatus.heartbeatCount,
                                 aStatus.generation,
                                 ToPercent(aStatus.load),
                                 aStatus.identityEpoch });
}

std::optional<MemberStatus>
MemberStatusFromJson(const nlohmann::json& aJson)
{
  MemberStatus status;
  FieldReader reader(aJson, kStatusFields);
  reader.Read(status.vm);
  reader.Read(status.startOrder);
  reader.Read(status.heartbeatCount);
  reader.Read(status.generation);
  reader.ReadPercent(status.load);
  reader.Read(status.identityEpoch);
  return reader.IsValid() ? std::optional(std::move(status)) : std::nullopt;
}

std::optional<std::uint64_t>
ReadNumber(const nlohmann::json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end() || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  return it->get<std::uint64_t>();
}

} // namespace

nlohmann::json
MemberToJson(const Member& aMember)
{
  return nlohmann::json::array({ aMember.vm,
                                 aMember.incarnation,
                                 aMember.startOrder,
                                 aMember.heartbeatCount,
                                 aMember.failureDomain,
                                 aMember.region,
                                 aMember.callerAddress,
                                 aMember.peerAddress,
                                 static_cast<std::uint64_t>(aMember.state),
                                 aMember.generation,
                                 ToPercent(aMember.load),
                                 aMember.identityEpoch });
}

std::optional<Member>
MemberFromJson(const nlohmann::json& aJson)
{
  Member member;
  FieldReader reader(aJson, kMemberFields);
  reader.Read(member.vm);
  reader.Read(member.incarnation);
  reader.Read(member.startOrder);
  reader.Read(member.heartbeatCount);
  reader.Read(member.failureDomain);
  reader.Read(member.region);
  reader.Read(member.callerAddress);
  reader.Read(member.peerAddress);
  reader.Read(member.state);
  reader.Read(member.generation);
  reader.ReadPercent(member.load);
  reader.Read(member.identityEpoch);
  const bool isNamed = !member.vm.empty() && !member.incarnation.empty();
  return reader.IsValid() && isNamed ? std::optional(std::move(member)) : std::nullopt;
}

nlohmann::json
HeartbeatToJson(const Heartbeat& aHeartbeat)
{
  nlohmann::json json{ { "v", MemberStatusToJson(aHeartbeat.status) },
                       { "s", static_cast<std::uint64_t>(aHeartbeat.state) } };
  if (aHeartbeat.isMonitored) {
    json["w"] = *aHeartbeat.isMonitored;
  }
  if (aHeartbeat.introduction) {
    json["i"] = MemberToJson(*aHeartbeat.introduction);
  }
  for (const auto& status : aHeartbeat.others) {
    json["o"].push_back(MemberStatusToJson(status));
  }
  return json;
}

std::optional<Heartbeat>
HeartbeatFromJson(const nlohmann::json& aJson)
{
  if (!aJson.is_object() || !aJson.contains("v")) {
    return std::nullopt;
  }
  const auto status = MemberStatusFromJson(aJson["v"]);
  const auto state = ReadNumber(aJson, "s");
  const bool isSender = state == static_cast<std::uint64_t>(MemberState::Alive) ||
                        state == static_cast<std::uint64_t>(MemberState::Leaving);
  if (!status || !isSender) {
    return std::nullopt;
  }
  Heartbeat heartbeat;
  heartbeat.status = *status;
  heartbeat.state = static_cast<MemberState>(*state);
  if (aJson.contains("w") && aJson["w"].is_boolean()) {
    heartbeat.isMonitored = aJson["w"].get<bool>();
  }
  if (aJson.contains("i")) {
    heartbeat.introduction = MemberFromJson(aJson["i"]);
  }
  if (aJson.contains("o") && aJson["o"].is_array()) {
    for (const auto& other : aJson["o"]) {
      auto read = MemberStatusFromJson(other);
      if (read) {
        heartbeat.others.push_back(std::move(*read));
      }
    }
  }
  return heartbeat;
}

nlohmann::json
MembersReportToJson(const MembersReport& aReport)
{
  auto members = nlohmann::json::array();
  for (const auto& member : aReport.members) {
    members.push_back(MemberToJson(member));
  }
  return { { "r", static_cast<std::uint64_t>(aReport.reason) }, { "m", std::move(members) } };
}

std::optional<MembersReport>
MembersReportFromJson(const nlohmann::json& aJson)
{
  if (!aJson.is_object() || !aJson.contains("m") || !aJson["m"].is_array()) {
    return std::nullopt;
  }
  const auto reason = ReadNumber(aJson, "r");
  if (!reason || *reason > static_cast<std::uint64_t>(ReportReason::Correction)) {
    return std::nullopt;
  }
  MembersReport report;
  report.reason = static_cast<ReportReason>(*reason);
  for (const auto& json : aJson["m"]) {
    auto member = MemberFromJson(json);
    if (!member) {
      return std::nullopt;
    }
    report.members.push_back(std::move(*member));
  }
  return report;
}

MemberStatus
StatusOf(const Member& aMember)
{
  return { aMember.vm,         aMember.startOrder, aMember.heartbeatCount,
           aMember.generation, aMember.load,       aMember.identityEpoch };
}

void
ApplyStatus(const MemberStatus& aStatus, Member& aMember)
{
  aMember.startOrder = aStatus.startOrder;
  aMember.heartbeatCount = aStatus.heartbeatCount;
  aMember.generation = aStatus.generation;
  aMember.load = aStatus.load;
  aMember.identityEpoch = aStatus.identityEpoch;
}

} // namespace skylarkwing::membership
