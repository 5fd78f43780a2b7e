#pragma once

#include "store/store_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkwing::store {

/** The bodies of etcd's JSON gateway. A decoder gives nothing when the text is not such a body. */

std::string
EncodeRange(const RangeRequest& aRequest);

std::string
EncodeTransaction(const Transaction& aTransaction);

std::string
EncodeLeaseGrant(std::chrono::seconds aTimeToLive);

/** The body of keepalive and revoke calls. */
std::string
EncodeLease(LeaseId aLease);

/** @param aStart the first revision of interest. */
std::string
EncodeWatch(const std::string& aKey, Revision aStart);

std::optional<RangeResult>
DecodeRange(std::string_view aBody);

std::optional<TransactionResult>
DecodeTransaction(std::string_view aBody);

std::optional<LeaseResult>
DecodeLeaseGrant(std::string_view aBody);

/** @param aBody the answer to a keepalive, which stands in a stream's envelope. */
std::optional<LeaseResult>
DecodeLeaseKeepAlive(std::string_view aBody);

/** @param aLine one line of a watch's stream. */
std::optional<WatchMessage>
DecodeWatch(std::string_view aLine);

} // namespace skylarkwing::store
