#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "graph/worker_report.h"
#include "kernel/clock.h"

namespace apricotwheel {

struct approved_worker {
  std::string worker;
  std::string ticket;
};

// What the policy advisor has said about one step. Whether a worker may run
// the step never changes in the worker's lifetime; its ticket ages.
struct step_approvals {
  struct entry {
    std::int64_t incarnation = 0;
    bool is_approved = false;
    std::string ticket;
    time_point valid_until{};
  };
  std::map<std::string, entry, std::less<>> by_worker;
  bool is_call_in_flight = false;  // A call is under way.
  time_point retry_at{};           // After a failed call.
};

enum class approval_status {
  kUndecided,
  kRefused,
  kTicketExpired,  // Approved, but the ticket is too old.
  kValid,
};

approval_status FindApproval(const step_approvals& approvals,
                             const pool_worker& worker, time_point now);

// The ticket of a worker whose approval is valid.
std::string_view FindTicket(const step_approvals& approvals,
                            std::string_view worker);

// Records the answer to a call that named `asked`. Tickets are counted from
// `issued_at`, which is not later than their issue.
void RecordApprovals(step_approvals& approvals,
                     std::span<const pool_worker> requested,
                     std::span<const approved_worker> approved,
                     duration ticket_lifetime, time_point issued_at);

}  // namespace apricotwheel
