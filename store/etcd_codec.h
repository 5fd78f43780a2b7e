#pragma once

#include "store/store_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::store {

/** Request and answer bodies of etcd's JSON gateway. Decoders return nothing for invalid input. */

std::string
EncodeRange(const RangeRequest& aRequest);

std::string
EncodeTransaction(const Transaction& aTransaction);

std::string
EncodeLeaseGrant(std::chrono::seconds aTimeToLive);

/** Encodes the body of keepalive and revoke calls. */
std::string
EncodeLease(LeaseId aLease);

/** @param aStart the first revision whose events are sent. */
std::string
EncodeWatch(const std::string& aKey, Revision aStart);

std::optional<RangeResult>
DecodeRange(std::string_view aBody);

std::optional<TransactionResult>
DecodeTransaction(std::string_view aBody);

std::optional<LeaseResult>
DecodeLeaseGrant(std::string_view aBody);

/** @param aBody the answer to a keepalive, which is wrapped as a message of a stream. */
std::optional<LeaseResult>
DecodeLeaseKeepAlive(std::string_view aBody);

/** @param aLine one line of the stream of a watch. */
std::optional<WatchMessage>
DecodeWatch(std::string_view aLine);

} // namespace skylarkwing::store
