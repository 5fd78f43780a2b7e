#pragma once

#include "core/timer_service.h"
#include "net/http_message.h"
#include "upstream/replica_availability.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace skylarkwing::upstream {

/** A caller's request as it is passed on, without what differs from replica to replica. */
struct ForwardedRequest
{
  /** Names one attempt of a caller. */
  std::string id;
  /** Whether it may run more than once. */
  bool isIdempotent = false;
  /** Method, target, forwardable headers and body. */
  net::HttpRequest message;
};

/** What an answer says about its request. */
enum class AnswerKind
{
  /** A whole success that the replica signed. */
  Success,
  /** The replica's own failure; the request may have run. */
  Failure,
  /** The replica did not run the request. */
  NotRun,
  /** Another replica has the address; it did not run the request. */
  WrongReplica,
  /** It belongs to another request. */
  Foreign,
};

/** What a replica says of its load with an answer. */
struct LoadReport
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/** An answer, decoded. */
struct DecodedAnswer
{
  AnswerKind kind = AnswerKind::Failure;
  /** The replica's signature of this answer. */
  std::string signature;
  std::optional<LoadReport> load;
  /** How long the replica keeps the connection when it is idle. */
  std::optional<core::Duration> idleTimeout;
  /** What the replica asks for, whichever request the answer belongs to. */
  ReplicaNotice notice;
};

/** How requests to replicas and their answers are written; the decisions don't know it. */
struct ReplicaProtocol
{
  /** Makes the request for one replica, which has so long to answer. */
  std::function<net::HttpRequest(const ForwardedRequest& aRequest,
                                 const std::string& aReplica,
                                 core::Duration aRemaining)>
    makeRequest;

  /** Decodes an answer to the request with an id. */
  std::function<DecodedAnswer(const net::HttpResponse& aResponse, const std::string& aId)>
    readAnswer;
};

} // namespace skylarkwing::upstream
