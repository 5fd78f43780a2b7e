#include "net/nng_peer_bus.h"

#include "core/log.h"
#include "net/nng_socket_close.h"

#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkwing::net {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr int kMessageVersion = 1;
constexpr int kSendBufferMessages = 1024;
constexpr int kReceiveBufferMessages = 1024;
constexpr nng_duration kMinReconnectMilliseconds = 50;
constexpr nng_duration kMaxReconnectMilliseconds = 1000;
constexpr std::size_t kMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;

/** Header fields of every message. */
struct Envelope
{
  int version = kMessageVersion;
  std::string cluster;
  std::string vm;
  std::string incarnation;
  std::string kind;
  /** The sender's monotonic time; only differences between messages are meaningful. */
  std::int64_t sentMicroseconds = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Envelope,
                                   version,
                                   cluster,
                                   vm,
                                   incarnation,
                                   kind,
                                   sentMicroseconds)

/** Serializes the envelope with the body as an additional member, without copying the body. */
std::vector<std::uint8_t>
Pack(const Envelope& aEnvelope, const json& aBody)
{
  std::vector<std::uint8_t> bytes = json::to_msgpack(json(aEnvelope));
  // A MessagePack map of fewer than 16 members starts with one byte that contains their number.
  ++bytes.front();
  json::to_msgpack(json("body"), bytes);
  json::to_msgpack(aBody, bytes);
  return bytes;
}

std::optional<Envelope>
ReadEnvelope(const json& aMessage)
{
  if (!aMessage.is_object() || !aMessage.contains("body")) {
    return std::nullopt;
  }
  try {
    return aMessage.get<Envelope>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::int64_t
Microseconds(core::TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime.time_since_epoch()).count();
}

/** Queues a copy of the bytes without blocking. @return an nng error code, 0 for success. */
int
SendCopy(nng_socket aSocket, const std::vector<std::uint8_t>& aBytes)
{
  nng_msg* message = nullptr;
  int error = nng_msg_alloc(&message, 0);
  if (error != 0) {
    return error;
  }
  error = nng_msg_append(message, aBytes.data(), aBytes.size());
  if (error == 0) {
    error = nng_sendmsg(aSocket, message, NNG_FLAG_NONBLOCK);
  }
  if (error != 0) {
    nng_msg_free(message);
  }
  return error;
}

std::string
Url(const std::string& aAddress)
{
  return "tcp://" + aAddress;
}

/** Connection state of a PUSH socket, set by nng's threads. */
struct OutboundState
{
  std::atomic<bool> isConnected = false;
  std::atomic<bool> isBroken = false;
};

/** PUSH socket to one VM. */
struct OutboundSocket
{
  explicit OutboundSocket(std::string aAddress)
    : address(std::move(aAddress))
  {
  }

  OutboundSocket(const OutboundSocket&) = delete;
  OutboundSocket& operator=(const OutboundSocket&) = delete;

  ~OutboundSocket()
  {
    if (isOpen) {
      CloseSocket(socket, std::chrono::milliseconds::zero(), state);
    }
  }

  bool Open()
  {
    if (nng_push0_open(&socket) != 0) {
      return false;
    }
    isOpen = true;
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBufferMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectMilliseconds);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectMilliseconds);
    nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, OnPipe, state.get());
    nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, OnPipe, state.get());
    return nng_dial(socket, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0;
  }

  static void OnPipe(nng_pipe, nng_pipe_ev aEvent, void* aState)
  {
    auto* state = static_cast<OutboundState*>(aState);
    if (aEvent == NNG_PIPE_EV_ADD_POST) {
      state->isConnected = true;
      return;
    }
    state->isConnected = false;
    state->isBroken = true;
  }

  std::string address;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool isOpen = false;
  /** Shared, because callbacks may run after the socket object is destroyed. */
  std::shared_ptr<OutboundState> state = std::make_shared<OutboundState>();
};

} // namespace

/** State shared by the bus and nng's threads. */
struct NngPeerBus::State : std::enable_shared_from_this<NngPeerBus::State>
{
  State(asio::io_context& aLoop,
        core::TimerService& aTimers,
        core::Metrics& aMetrics,
        PeerIdentity aIdentity)
    : loop(aLoop)
    , timers(aTimers)
    , identity(std::move(aIdentity))
    , sentBytes(aMetrics.Counter("skylarkwing_net_peer_sent_bytes_total",
                                 "Bytes of messages handed over for other daemons."))
    , receivedBytes(aMetrics.Counter("skylarkwing_net_peer_received_bytes_total",
                                     "Bytes of messages received from other daemons."))
    , sentMessages(aMetrics.Counter("skylarkwing_net_peer_sent_messages_total",
                                    "Messages handed over for other daemons."))
    , receivedMessages(aMetrics.Counter("skylarkwing_net_peer_received_messages_total",
                                        "Messages received from other daemons."))
    , notSent(aMetrics.Counter("skylarkwing_net_peer_not_sent_total",
                               "Messages that could not be handed over."))
    , refused(aMetrics.Counter("skylarkwing_net_peer_refused_total",
                               "Messages refused: damaged, of another cluster or version."))
  {
  }

  asio::io_context& loop;
  core::TimerService& timers;
  PeerIdentity identity;
  prometheus::Counter& sentBytes;
  prometheus::Counter& receivedBytes;
  prometheus::Counter& sentMessages;
  prometheus::Counter& receivedMessages;
  prometheus::Counter& notSent;
  prometheus::Counter& refused;
  nng_socket inbound = NNG_SOCKET_INITIALIZER;
  nng_aio* receiveAio = nullptr;
  bool isOpen = false;
  std::map<std::string, std::unique_ptr<OutboundSocket>> outbound;
  std::unordered_map<std::string, PeerMessageHandler> handlers;
  /** Smallest clock difference seen for each sender incarnation. */
  std::unordered_map<std::string, std::int64_t> smallestOffsets;
  SendFilter filter;

  static void OnReceived(void* aState);
  void Receive() { nng_recv_aio(inbound, receiveAio); }
  void Handle(const std::vector<std::uint8_t>& aBytes);
  core::Duration AgeOf(const Envelope& aEnvelope);
  OutboundSocket* ConnectedSocket(const std::string& aVm);
};

void
NngPeerBus::State::OnReceived(void* aState)
{
  auto* state = static_cast<State*>(aState);
  if (nng_aio_result(state->receiveAio) != 0) {
    return;
  }
  nng_msg* message = nng_aio_get_msg(state->receiveAio);
  const auto* first = static_cast<const std::uint8_t*>(nng_msg_body(message));
  std::vector<std::uint8_t> bytes(first, first + nng_msg_len(message));
  nng_msg_free(message);
  auto self = state->weak_from_this();
  asio::post(state->loop, [self, bytes = std::move(bytes)] {
    if (const auto alive = self.lock(); alive && alive->isOpen) {
      alive->Handle(bytes);
    }
  });
  state->Receive();
}

void
NngPeerBus::State::Handle(const std::vector<std::uint8_t>& aBytes)
{
  receivedMessages.Increment();
  receivedBytes.Increment(static_cast<double>(aBytes.size()));
  const json message = json::from_msgpack(aBytes, true, false);
  const std::optional<Envelope> envelope = ReadEnvelope(message);
  if (!envelope || envelope->version != kMessageVersion ||
      envelope->cluster != identity.clusterName) {
    refused.Increment();
    return;
  }
  const auto it = handlers.find(envelope->kind);
  if (it == handlers.end()) {
    refused.Increment();
    return;
  }
  PeerMessageOrigin origin;
  origin.vm = envelope->vm;
  origin.incarnation = envelope->incarnation;
  origin.age = AgeOf(*envelope);
  try {
    it->second(origin, message.at("body"));
  } catch (const json::exception&) {
    // The body does not match its kind: the sender runs an incompatible version.
    refused.Increment();
  }
}

core::Duration
NngPeerBus::State::AgeOf(const Envelope& aEnvelope)
{
  const std::int64_t offset = Microseconds(timers.Now()) - aEnvelope.sentMicroseconds;
  const auto [it, isNew] = smallestOffsets.try_emplace(aEnvelope.incarnation, offset);
  it->second = std::min(it->second, offset);
  return std::chrono::microseconds{ offset - it->second };
}

OutboundSocket*
NngPeerBus::State::ConnectedSocket(const std::string& aVm)
{
  const auto it = outbound.find(aVm);
  if (it == outbound.end()) {
    return nullptr;
  }
  if (it->second->state->isBroken) {
    // Messages queued for the lost connection must not reach a process started later.
    auto fresh = std::make_unique<OutboundSocket>(it->second->address);
    fresh->Open();
    it->second = std::move(fresh);
  }
  return it->second->state->isConnected ? it->second.get() : nullptr;
}

NngPeerBus::NngPeerBus(asio::io_context& aLoop,
                       core::TimerService& aTimers,
                       core::Metrics& aMetrics,
                       PeerIdentity aIdentity)
  : mState(std::make_shared<State>(aLoop, aTimers, aMetrics, std::move(aIdentity)))
{
}

NngPeerBus::~NngPeerBus()
{
  Close();
}

bool
NngPeerBus::Listen(const std::string& aAddress)
{
  if (nng_pull0_open(&mState->inbound) != 0) {
    mLastError = "cannot open an nng socket";
    return false;
  }
  nng_socket_set_int(mState->inbound, NNG_OPT_RECVBUF, kReceiveBufferMessages);
  nng_socket_set_size(mState->inbound, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  const int error = nng_listen(mState->inbound, Url(aAddress).c_str(), nullptr, 0);
  if (error != 0) {
    mLastError = aAddress + ": " + nng_strerror(error);
    nng_close(mState->inbound);
    return false;
  }
  nng_aio_alloc(&mState->receiveAio, State::OnReceived, mState.get());
  mState->isOpen = true;
  mState->Receive();
  return true;
}

void
NngPeerBus::Connect(const std::string& aVm, const std::string& aAddress)
{
  const auto it = mState->outbound.find(aVm);
  if (it != mState->outbound.end() && it->second->address == aAddress) {
    return;
  }
  auto socket = std::make_unique<OutboundSocket>(aAddress);
  if (!socket->Open()) {
    core::LogEvent(core::LogLevel::Warning,
                   "net",
                   "peer_address_refused",
                   { { "vm", aVm }, { "address", aAddress } });
    return;
  }
  mState->outbound[aVm] = std::move(socket);
}

void
NngPeerBus::Disconnect(const std::string& aVm)
{
  mState->outbound.erase(aVm);
}

bool
NngPeerBus::Send(const std::string& aVm, std::string_view aKind, const json& aBody)
{
  OutboundSocket* socket = mState->ConnectedSocket(aVm);
  if (!socket || (mState->filter && !mState->filter(aVm))) {
    mState->notSent.Increment();
    return false;
  }
  Envelope envelope;
  envelope.cluster = mState->identity.clusterName;
  envelope.vm = mState->identity.vm;
  envelope.incarnation = mState->identity.incarnation;
  envelope.kind = std::string(aKind);
  envelope.sentMicroseconds = Microseconds(mState->timers.Now());
  const std::vector<std::uint8_t> bytes = Pack(envelope, aBody);
  if (SendCopy(socket->socket, bytes) != 0) {
    mState->notSent.Increment();
    return false;
  }
  mState->sentMessages.Increment();
  mState->sentBytes.Increment(static_cast<double>(bytes.size()));
  return true;
}

void
NngPeerBus::OnMessage(const std::string& aKind, PeerMessageHandler aHandler)
{
  mState->handlers[aKind] = std::move(aHandler);
}

void
NngPeerBus::SetSendFilter(SendFilter aFilter)
{
  mState->filter = std::move(aFilter);
}

void
NngPeerBus::Close()
{
  mState->outbound.clear();
  if (!mState->isOpen) {
    return;
  }
  mState->isOpen = false;
  nng_aio_stop(mState->receiveAio);
  nng_aio_free(mState->receiveAio);
  mState->receiveAio = nullptr;
  CloseSocket(mState->inbound, kReceiveSettleTime, nullptr);
}

} // namespace skylarkwing::net
