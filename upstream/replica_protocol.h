#pragma once

#include "core/timer_service.h"
#include "net/http_message.h"
#include "upstream/replica_availability.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace skylarkwing::upstream {

/** A caller's request as it is forwarded, without the parts that differ from replica to replica. */
struct ForwardedRequest
{
  /** Identifies one attempt of a caller. */
  std::string id;
  /** Name of the customer, as replicas get it; empty for callers without a key. */
  std::string customer;
  /** Whether it may run more than once. */
  bool isIdempotent = false;
  /** Method, target, forwardable headers and body. */
  net::HttpRequest message;
};

/** What an answer says about its request. */
enum class AnswerKind
{
  /** A complete success that the replica signed. */
  Success,
  /** The replica's own error; the request may have run. */
  Failure,
  /** The replica did not run the request. */
  NotRun,
  /** Another replica has the address; it did not run the request. */
  WrongReplica,
  /** The answer belongs to another request. */
  Foreign,
  /** It claims success but isn't complete and signed; the request may have run. */
  Invalid,
};

/** The load that a replica reports with an answer. */
struct LoadReport
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /** How long work takes on the replica's machine at this moment, 1 as usual. */
  std::optional<double> slowdown;
};

/** A decoded answer. */
struct DecodedAnswer
{
  AnswerKind kind = AnswerKind::Failure;
  /** The replica's signature of this answer. */
  std::string signature;
  std::optional<LoadReport> load;
  /** The replica's idle timeout for the connection. */
  std::optional<core::Duration> idleTimeout;
  /** The replica's notice, whichever request the answer belongs to. */
  ReplicaNotice notice;
};

/**
 * Encoding of requests to replicas and decoding of their answers, kept apart from the decisions.
 */
struct ReplicaProtocol
{
  /** Makes the request for one replica, with the time it has for the answer. */
  std::function<net::HttpRequest(const ForwardedRequest& aRequest,
                                 const std::string& aReplica,
                                 core::Duration aRemaining)>
    makeRequest;

  /** Decodes an answer to the request with an id. */
  std::function<DecodedAnswer(const net::HttpResponse& aResponse, const std::string& aId)>
    readAnswer;
};

} // namespace skylarkwing::upstream
