#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dispatch/dispatcher.h"

namespace apricotwheel {

// Reasons of docs/api.md.
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

// Builds the response for a request that ended without an instance's answer.
// The status follows from the outcome and the reason.
service_response MakeNotRun(std::string_view why);
service_response MakeUnknown(std::string_view why, std::string worker = {});

// True if another owner may accept a request that one answered with this.
bool IsRetryableElsewhere(const service_response& response);

// What a failed call proves about the request that it carried.
enum class call_effect { kNotRun, kMayHaveRun };
call_effect EffectOfFailedPeerCall(error_kind kind);  // peer_node::Call.

// True for the methods that may run twice by their definition.
bool IsRepeatableMethod(std::string_view method);

// Removes the headers that concern one connection only, those that the
// `Connection` header names, and the dispatcher's own.
header_list EndToEndHeaders(const header_list& headers);

}  // namespace apricotwheel
