#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graph/admission.h"
#include "graph/graph_codec.h"
#include "kernel/error.h"
#include "peer/envelope.h"
#include "pools/caller_identity.h"

namespace apricotwheel {

// The calls that a daemon makes to the owner of a pool, and that an owner makes
// to other daemons. A local owner uses the same types.

enum class job_call_status {
  kAccepted,     // Stored. Submitting the same id again does not create another
                 // job.
  kRefused,      // Not accepted, now or later: it would complete too late. A
                 // retry is a new submission.
  kUnavailable,  // Not accepted; a retry may succeed at once.
  kNotStored,    // Not accepted; a retry within a second would fail too.
  kUnknown,      // The job may have been accepted.
  kState,        // `state` is set.
  kCancelled,    // The job is cancelled, or had ended before.
  kAbsent,       // No job with this id was accepted.
  kCount,        // `count` is set.
  kNoQueue,      // No route matches a queue.
  kInvalid,      // The request is malformed; `reason` says why.
  kMoved,        // The job is in the partition `moved_to` now.
  kForbidden,    // The job belongs to another organisation.
  kRejected,     // The caller has no valid key.
};

struct job_call_response {
  job_call_status status = job_call_status::kUnavailable;
  job_state state = job_state::kQueued;
  std::uint64_t count = 0;
  std::int64_t retry_after_ms = 0;
  std::string reason;
  std::string moved_to;
};

// Topics of `pool_call` messages and their JSON bodies.
inline constexpr std::string_view kSubmitTopic = "submit";  // a submission
inline constexpr std::string_view kStateTopic = "state";    // {pool, job, ...}
inline constexpr std::string_view kCancelTopic = "cancel";  // {pool, job, ...}
inline constexpr std::string_view kPendingTopic = "pending";  // {pool, queue}
inline constexpr std::string_view kApprovalTopic = "advise";  // {job, ...}
// A `takeover_request`; the response is the new `known_owner`.
inline constexpr std::string_view kTakeoverTopic = "take";
// A `job_reference` without a name; the response is the `known_owner` that the
// daemon knows.
inline constexpr std::string_view kOwnerTopic = "owner";

// One-way: the load of a partition, for the owners of the others.
inline constexpr std::string_view kLoadTopic = "load";
// A `job_list`; the response says whether the owner has taken the jobs over.
inline constexpr std::string_view kAdoptTopic = "adopt";

// A submission with tasks that the receiver runs for another partition.
inline constexpr std::string_view kHostTopic = "host";

// A `limit_request` (pools/limit_record.h) for parts of an organisation's
// limit; the response says that the owner has given up what it can.
inline constexpr std::string_view kLimitTopic = "limit";

// One-way, `ownership_notice`s. An owner that the store does not answer asks
// whether it still has its pool, and another daemon confirms that; a new owner
// announces itself, and another daemon acknowledges that.
inline constexpr std::string_view kConfirmTopic = "confirm";
inline constexpr std::string_view kConfirmedTopic = "confirmed";
inline constexpr std::string_view kClaimTopic = "claim";
inline constexpr std::string_view kClaimKnownTopic = "claim_known";

// One-way, a `lease_release` for the successor of an owner that has stopped.
inline constexpr std::string_view kReleaseTopic = "released";

std::string_view ToString(job_call_status status);

wire_message MakePoolCall(std::string_view topic, std::string body);
wire_message MakePoolReply(std::string body);

std::string EncodeResponse(const job_call_response& response);
result<job_call_response> DecodeResponse(std::string_view json);

struct job_reference {
  std::string pool;
  std::string name;             // Id of the job, or name of the queue.
  caller_identity caller = {};  // Whose access to the job is checked.
};
std::string EncodeReference(const job_reference& reference);
result<job_reference> DecodeReference(std::string_view json);

// The owner of `epoch` requests that another daemon takes its pool over.
struct takeover_request {
  std::string pool;
  std::uint64_t epoch = 0;
  bool only_if_quick = false;  // Only if the store responds quickly there.
};
std::string EncodeTakeover(const takeover_request& call);
result<takeover_request> DecodeTakeover(std::string_view json);

struct partition_report {
  std::string partition;
  pool_load load;
};
std::string EncodeReport(const partition_report& report);
result<partition_report> DecodeReport(std::string_view json);

// Jobs that were moved to a partition.
struct job_list {
  std::string partition;
  std::vector<std::string> jobs;
};
std::string EncodeJobList(const job_list& list);
result<job_list> DecodeJobList(std::string_view json);

struct ownership_notice {
  std::string pool;
  std::uint64_t epoch = 0;     // Of the owner that asks or announces itself.
  std::uint64_t question = 0;  // Counts those of one daemon.
  // In a confirmation: how many members the sender knows.
  std::uint64_t members = 0;
};
std::string EncodeNotice(const ownership_notice& notice);
result<ownership_notice> DecodeNotice(std::string_view json);

// When the leases end that an owner and those before it have granted, by the
// word of that owner, which has stopped.
struct lease_release {
  std::string pool;
  std::uint64_t epoch = 0;  // Of the owner.
  // In milliseconds from the time at which the message was sent.
  std::map<std::string, std::int64_t, std::less<>> remaining_ms;  // By worker.
  std::int64_t others_remaining_ms = 0;  // Of workers that are not named.
};
std::string EncodeRelease(const lease_release& release);
result<lease_release> DecodeRelease(std::string_view json);

struct known_owner {
  std::string member_id;  // Empty if the owner is not known.
  std::uint64_t epoch = 0;
  std::string peer_address;
};
std::string EncodeOwner(const known_owner& owner);
result<known_owner> DecodeOwner(std::string_view json);

}  // namespace apricotwheel
