#pragma once

#include "core/timer_service.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <list>
#include <optional>
#include <string_view>

namespace skylarkwing::net {

/** What a connection of a client waits for. */
enum class ClientPhase
{
  /** The client has to send the rest of a request, or to read the rest of an answer. */
  Transfer,
  /** The client has not sent anything since it connected. */
  Unused,
  /** The client may send another request. */
  Idle,
  /** The process has to answer; the connection can't be given up. */
  Handling,
  /** The process has to answer, and the client has sent much of further requests meanwhile. */
  Pipelining,
  /** A request was rejected; the connection stays for a moment, so that the client gets to know. */
  Rejected,
  /** The connection itself was refused; its request is awaited before the answer. */
  Refusing,
  /** The same, with its answer; it stays for a moment, but takes no place of another one. */
  Refused,
};

/** @return the name of a phase, for logs and metric labels. */
std::string_view
NameOf(ClientPhase aPhase);

/**
 * Order in which connections of clients are given up: first those with a rejected request, at any
 * time; then, after some time, those that were longest without progress in a transfer, then those
 * that never carried a request, then idle ones, which clients reuse, then those whose client sends
 * on while its request is handled.
 */
class ClientQueue
{
public:
  /** One connection. */
  struct Client
  {
    std::uint64_t id = 0;
    ClientPhase phase = ClientPhase::Unused;
    /** Begin of the phase, or last progress in it. */
    core::TimePoint since;
    /** Bytes transferred since then. */
    std::size_t bytes = 0;
  };

  using Handle = std::list<Client>::iterator;

  /** Adds a connection in phase Unused. */
  Handle Add(std::uint64_t aId, core::TimePoint aNow);

  void Remove(Handle aClient);

  /** Begins a phase; in the phase in which the connection already is, nothing changes. */
  void SetPhase(Handle aClient, ClientPhase aPhase, core::TimePoint aNow);

  /**
   * Records bytes of a transfer. Only several kilobytes together count as progress, so that single
   * bytes from time to time don't keep a connection.
   */
  void AddBytes(Handle aClient, std::size_t aBytes, core::TimePoint aNow);

  /** @return the connection to give up next, or nothing if all have had progress lately. */
  std::optional<std::uint64_t> Next(core::TimePoint aNow) const;

  /** @return the same, but only among those that hold more than a connection without a request. */
  std::optional<std::uint64_t> NextWithMemory(core::TimePoint aNow) const;

  /** @return the connection whose client has sent on during its request for longest. */
  std::optional<std::uint64_t> NextPipelining(core::TimePoint aNow) const;

  /** @return the connection that was refused first, of those that got an answer. */
  std::optional<std::uint64_t> NextRefused(core::TimePoint aNow) const;

  /** @return the connection that was refused first, of those whose request is awaited. */
  std::optional<std::uint64_t> NextRefusing(core::TimePoint aNow) const;

  /** @return the number of connections in a phase. */
  std::size_t Count(ClientPhase aPhase) const;

private:
  static constexpr std::size_t kPhases = 8;

  /** By phase, each in the order of Client::since. */
  std::array<std::list<Client>, kPhases> mClients;

  std::list<Client>& ListOf(ClientPhase aPhase);
  std::optional<std::uint64_t> NextIn(ClientPhase aPhase, core::TimePoint aNow) const;
  std::optional<std::uint64_t> NextOf(std::initializer_list<ClientPhase> aPhases,
                                      core::TimePoint aNow) const;
};

} // namespace skylarkwing::net
