#include "net/client_queue.h"

#include "core/name_table.h"

namespace skylarkwing::net {

namespace {

/**
 * A transfer with less than this in kStallTime has no progress; that is 16 kB/s, where the slowest
 * VM has 20 Mbit/s.
 */
constexpr std::size_t kProgressBytes = std::size_t{ 8 } * 1024;

/**
 * A connection is given up only after this time without progress: longer than the pauses of
 * 250 ms that VMs of both deployments have.
 */
constexpr core::Duration kStallTime = std::chrono::milliseconds{ 500 };

constexpr core::NameTable<ClientPhase, 8> kPhaseNames{
  { "transfer", "unused", "idle", "handling", "pipelining", "rejected", "refusing", "refused" }
};

} // namespace

std::string_view
NameOf(ClientPhase aPhase)
{
  return kPhaseNames.NameOf(aPhase);
}

std::list<ClientQueue::Client>&
ClientQueue::ListOf(ClientPhase aPhase)
{
  return mClients.at(static_cast<std::size_t>(aPhase));
}

ClientQueue::Handle
ClientQueue::Add(std::uint64_t aId, core::TimePoint aNow)
{
  auto& list = ListOf(ClientPhase::Unused);
  return list.insert(list.end(), Client{ aId, ClientPhase::Unused, aNow, 0 });
}

void
ClientQueue::Remove(Handle aClient)
{
  ListOf(aClient->phase).erase(aClient);
}

void
ClientQueue::SetPhase(Handle aClient, ClientPhase aPhase, core::TimePoint aNow)
{
  if (aClient->phase == aPhase) {
    return;
  }
  auto& target = ListOf(aPhase);
  target.splice(target.end(), ListOf(aClient->phase), aClient);
  aClient->phase = aPhase;
  aClient->since = aNow;
  aClient->bytes = 0;
}

void
ClientQueue::AddBytes(Handle aClient, std::size_t aBytes, core::TimePoint aNow)
{
  aClient->bytes += aBytes;
  if (aClient->bytes < kProgressBytes) {
    return;
  }
  auto& list = ListOf(aClient->phase);
  list.splice(list.end(), list, aClient);
  aClient->since = aNow;
  aClient->bytes = 0;
}

std::optional<std::uint64_t>
ClientQueue::NextIn(ClientPhase aPhase, core::TimePoint aNow) const
{
  const auto& list = mClients.at(static_cast<std::size_t>(aPhase));
  const bool isRejected = aPhase == ClientPhase::Rejected || aPhase == ClientPhase::Refusing ||
                          aPhase == ClientPhase::Refused;
  const core::Duration stallTime = isRejected ? core::Duration::zero() : kStallTime;
  if (list.empty() || aNow - list.front().since < stallTime) {
    return std::nullopt;
  }
  return list.front().id;
}

std::optional<std::uint64_t>
ClientQueue::NextOf(std::initializer_list<ClientPhase> aPhases, core::TimePoint aNow) const
{
  for (const ClientPhase phase : aPhases) {
    if (const auto id = NextIn(phase, aNow)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t>
ClientQueue::NextWithMemory(core::TimePoint aNow) const
{
  return NextOf({ ClientPhase::Transfer, ClientPhase::Pipelining }, aNow);
}

std::optional<std::uint64_t>
ClientQueue::Next(core::TimePoint aNow) const
{
  return NextOf({ ClientPhase::Rejected,
                  ClientPhase::Transfer,
                  ClientPhase::Unused,
                  ClientPhase::Idle,
                  ClientPhase::Pipelining },
                aNow);
}

std::optional<std::uint64_t>
ClientQueue::NextPipelining(core::TimePoint aNow) const
{
  return NextIn(ClientPhase::Pipelining, aNow);
}

std::optional<std::uint64_t>
ClientQueue::NextRefused(core::TimePoint aNow) const
{
  return NextIn(ClientPhase::Refused, aNow);
}

std::optional<std::uint64_t>
ClientQueue::NextRefusing(core::TimePoint aNow) const
{
  return NextIn(ClientPhase::Refusing, aNow);
}

std::size_t
ClientQueue::Count(ClientPhase aPhase) const
{
  return mClients.at(static_cast<std::size_t>(aPhase)).size();
}

} // namespace skylarkwing::net
