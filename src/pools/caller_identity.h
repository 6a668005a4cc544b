#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace apricotwheel {

struct queue_table;

// Longer keys are never accepted, even if a configuration holds one.
inline constexpr std::size_t kMaxKeyBytes = 200;

// The caller of a request for jobs.
struct caller_identity {
  std::string organisation;  // Empty if it has none.
  // Set for a caller without a key where keys are checked: of the jobs that
  // belong to an organisation it may access only those of this queue, which
  // needs no key. Otherwise a job of any queue could be cancelled through it.
  std::string keyless_queue;
};

// Whose a job is.
struct job_origin {
  std::string organisation;  // Empty if it names none.
  std::string queue;         // Empty if it is not known any more.
};

// Returns who calls a queue, or nothing if the caller must be rejected. `key`
// is absent if the request carries none, or more than one.
std::optional<caller_identity> IdentifyCaller(
    const queue_table& table, std::string_view queue, bool is_anonymous,
    std::optional<std::string_view> key);

// Returns true if the caller may read, cancel or submit again a job that
// exists.
bool MayAccess(const caller_identity& caller, const job_origin& job);

}  // namespace apricotwheel
