#include "graph/approvals.h"

#include <algorithm>

namespace apricotwheel {

namespace {

// Time in which a start reaches the worker; its ticket must stay valid for it.
constexpr auto kTicketMargin = milliseconds(150);

}  // namespace

approval_status FindApproval(const step_approvals& approvals,
                             const pool_worker& worker, time_point now) {
  const auto found = approvals.by_worker.find(worker.id);
  if (found == approvals.by_worker.end() ||
      found->second.incarnation != worker.incarnation) {
    return approval_status::kUndecided;
  }
  if (!found->second.is_approved) return approval_status::kRefused;
  return now + kTicketMargin < found->second.valid_until
             ? approval_status::kValid
             : approval_status::kTicketExpired;
}

bool MayHaveValidTicket(const step_approvals& approvals, time_point now) {
  return now + kTicketMargin < approvals.last_expiry;
}

std::string_view FindTicket(const step_approvals& approvals,
                            std::string_view worker) {
  const auto found = approvals.by_worker.find(worker);
  return found == approvals.by_worker.end() ? std::string_view()
                                            : found->second.ticket;
}

void RecordApprovals(step_approvals& approvals,
                     std::span<const pool_worker> requested,
                     std::span<const approved_worker> approved,
                     duration ticket_lifetime, time_point issued_at) {
  for (const pool_worker& worker : requested) {
    step_approvals::entry& entry = approvals.by_worker[worker.id];
    entry = {worker.incarnation, false, {}, {}};
  }
  for (const approved_worker& worker : approved) {
    const auto found = approvals.by_worker.find(worker.worker);
    if (found == approvals.by_worker.end()) continue;
    found->second.is_approved = true;
    found->second.ticket = worker.ticket;
    found->second.valid_until = issued_at + ticket_lifetime;
    approvals.last_expiry =
        std::max(approvals.last_expiry, found->second.valid_until);
  }
}

}  // namespace apricotwheel
