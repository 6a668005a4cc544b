#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dispatch/dispatcher.h"

namespace apricotwheel {

// The values of `reason` in responses, as documented in docs/api.md.
namespace reason {
inline constexpr std::string_view kInvalid = "invalid_argument";
inline constexpr std::string_view kUnknownService = "unknown_service";
inline constexpr std::string_view kKeyReused = "key_reused";
inline constexpr std::string_view kTooLarge = "too_large";
inline constexpr std::string_view kNoInstance = "no_instance";
inline constexpr std::string_view kNoSlot = "no_slot";
inline constexpr std::string_view kQueueFull = "queue_full";
inline constexpr std::string_view kShuttingDown = "shutting_down";
inline constexpr std::string_view kNoDocument = "no_document";
inline constexpr std::string_view kOwnershipUncertain = "ownership_uncertain";
inline constexpr std::string_view kDeadline = "deadline";
inline constexpr std::string_view kInstanceFailed = "instance_failed";
inline constexpr std::string_view kOwnerLost = "owner_lost";
inline constexpr std::string_view kKeyHistoryLost = "key_history_lost";
inline constexpr std::string_view kTicketExpired = "ticket_expired";
inline constexpr std::string_view kNotRecorded = "response_not_recorded";
inline constexpr std::string_view kResponseTooLarge = "response_too_large";
}  // namespace reason

// Builds the response to a request that got no response from an instance. The
// outcome and the reason determine the HTTP status.
service_response MakeNotRun(std::string_view why);
service_response MakeUnknown(std::string_view why, std::string worker = {});

// Returns true if the request may be sent to another instance owner after this
// response.
bool IsRetryableElsewhere(const service_response& response);

// Whether a request can have run although the call that carried it failed.
enum class call_effect { kNotRun, kMayHaveRun };
// `kind` is an error of peer_node::Call.
call_effect EffectOfFailedPeerCall(error_kind kind);

// Returns true for the idempotent methods of HTTP.
bool IsRepeatableMethod(std::string_view method);

// Returns `headers` without hop-by-hop headers, headers named in `Connection`
// and headers that the dispatcher consumes.
header_list EndToEndHeaders(const header_list& headers);

}  // namespace apricotwheel
