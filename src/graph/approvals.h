#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "graph/worker_report.h"
#include "kernel/clock.h"

namespace apricotwheel {

// A worker that the policy advisor approved, and the ticket that a start there
// must carry.
struct approved_worker {
  std::string worker;
  std::string ticket;
};

// Decisions of the policy advisor on one step. A decision holds for one
// incarnation of a worker; the ticket of an approved worker expires.
struct step_approvals {
  struct entry {
    std::int64_t incarnation = 0;
    bool is_approved = false;
    std::string ticket;
    time_point valid_until{};
  };
  std::map<std::string, entry, std::less<>> by_worker;
  time_point last_expiry{};        // No ticket is valid at or after this time.
  bool is_call_in_flight = false;  // A call to the advisor is in flight.
  time_point retry_at{};           // Earliest next call after a failed one.
  // Since when a call is wanted that has not been made.
  time_point wanted_since{};
};

enum class approval_status {
  kUndecided,  // The advisor has not decided on this incarnation.
  kRefused,
  kTicketExpired,  // Approved, but the ticket has expired or is about to.
  kValid,
};

// Returns the advisor's decision on the worker and the state of its ticket.
approval_status FindApproval(const step_approvals& approvals,
                             const pool_worker& worker, time_point now);

// Returns false if no worker has a valid ticket. May return true if only
// workers of an earlier incarnation have one.
bool MayHaveValidTicket(const step_approvals& approvals, time_point now);

// Returns the ticket of an approved worker, or an empty text.
std::string_view FindTicket(const step_approvals& approvals,
                            std::string_view worker);

// Records the response to a call that named the workers in `requested`. Those
// not in `approved` are refused. The lifetime of tickets is counted from
// `issued_at`, which must not be later than their issue.
void RecordApprovals(step_approvals& approvals,
                     std::span<const pool_worker> requested,
                     std::span<const approved_worker> approved,
                     duration ticket_lifetime, time_point issued_at);

}  // namespace apricotwheel
