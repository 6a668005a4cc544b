#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "graph/graph_codec.h"
#include "kernel/error.h"
#include "peer/envelope.h"

namespace apricotwheel {

// The calls that a daemon makes to the owner of a pool, and that an owner makes
// to others (approvals). The same types serve a local owner.

enum class job_call_status {
  kAccepted,     // Stored; it stays one job however often it is submitted.
  kRefused,      // Not accepted, and never will be run: too much work waits.
  kUnavailable,  // Not accepted; another try may succeed at once.
  kNotStored,    // Not accepted, and a try within a second would not be either.
  kUnknown,      // It may have been accepted.
  kState,        // `state` is set.
  kCancelled,    // It is cancelled, or had ended before.
  kAbsent,       // No such job was accepted.
  kCount,        // `count` is set.
  kNoQueue,      // No route leads to a queue.
  kInvalid,      // The submission cannot be understood; `reason` says why.
};

struct job_call_response {
  job_call_status status = job_call_status::kUnavailable;
  job_state state = job_state::kQueued;
  std::uint64_t count = 0;
  std::int64_t retry_after_ms = 0;
  std::string reason;
};

// Topics of `pool_call` messages and their JSON bodies.
inline constexpr std::string_view kSubmitTopic = "submit";    // a submission
inline constexpr std::string_view kStateTopic = "state";      // {pool, job}
inline constexpr std::string_view kCancelTopic = "cancel";    // {pool, job}
inline constexpr std::string_view kPendingTopic = "pending";  // {pool, queue}
inline constexpr std::string_view kApprovalTopic = "advise";  // {job, ...}
// A `take_call`, answered with the `known_owner` that it makes.
inline constexpr std::string_view kTakeoverTopic = "take";
// {pool, ""}, answered with the `known_owner` as far as the daemon knows.
inline constexpr std::string_view kOwnerTopic = "owner";

std::string_view ToString(job_call_status status);

wire_message MakePoolReply(std::string body);

std::string EncodeResponse(const job_call_response& response);
result<job_call_response> DecodeResponse(std::string_view json);

struct job_reference {
  std::string pool;
  std::string name;  // Of the job or the queue.
};
std::string EncodeReference(const job_reference& reference);
result<job_reference> DecodeReference(std::string_view json);

// The owner of `epoch` asks another daemon to take its pool.
struct takeover_request {
  std::string pool;
  std::uint64_t epoch = 0;
  bool only_if_quick = false;  // Not if the store is slow there, too.
};
std::string EncodeTakeover(const takeover_request& call);
result<takeover_request> DecodeTakeover(std::string_view json);

struct known_owner {
  std::string member_id;  // Empty if none is known.
  std::uint64_t epoch = 0;
  std::string peer_address;
};
std::string EncodeOwner(const known_owner& owner);
result<known_owner> DecodeOwner(std::string_view json);

}  // namespace apricotwheel
