#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"
#include "kernel/error.h"
#include "pools/caller_identity.h"

namespace apricotwheel {

// What was decided about a job id, in all pools: a job with this id was
// accepted, or the id was cancelled before a job arrived. Acceptance and
// cancellation are conditional on the record, so that whichever comes first
// stands.
struct job_id_record {
  std::string partition;     // That has the job; empty if none was accepted.
  std::string organisation;  // Of the job; empty if it names none.
  std::vector<caller_identity> cancelled_by;  // Only if none was accepted.

  bool IsAccepted() const { return !partition.empty(); }
};

struct stored_job_id {
  job_id_record record;
  std::uint64_t revision = 0;
};

// Callers that one record names; each can cancel the id for its own jobs.
inline constexpr std::size_t kMaxCancellersOfId = 16;

inline constexpr std::string_view kJobIdPrefix = "apricotwheel/job-ids/";
std::string JobIdKey(std::string_view job_id);

std::string EncodeJobId(const job_id_record& record);
// Fails with `corrupt`.
result<job_id_record> DecodeJobId(std::string_view json);

// Returns null if nothing was decided.
result<std::optional<stored_job_id>> ReadJobId(kv_client& kv,
                                               std::string_view job_id);

// Returns true if a caller who may cancel such a job has cancelled its id.
bool IsCancelledFor(const job_id_record& record, const job_origin& job);

// Adds a caller that cancels the id. Returns false if the record names too many
// others.
bool AddCanceller(job_id_record& record, const caller_identity& caller);

}  // namespace apricotwheel
