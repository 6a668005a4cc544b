#include "graph/approvals.h"

namespace apricotwheel {

namespace {

// A ticket must live until the start that carries it has arrived.
constexpr auto kTicketMargin = milliseconds(150);

}  // namespace

approval ApprovalOf(const approval_book& book, const pool_worker& worker,
                    time_point now) {
  const auto found = book.by_worker.find(worker.id);
  if (found == book.by_worker.end() ||
      found->second.incarnation != worker.incarnation) {
    return approval::kUnasked;
  }
  if (!found->second.is_approved) return approval::kRefused;
  return now + kTicketMargin < found->second.valid_until ? approval::kValid
                                                         : approval::kStale;
}

std::string_view TicketFor(const approval_book& book, std::string_view worker) {
  const auto found = book.by_worker.find(worker);
  return found == book.by_worker.end() ? std::string_view()
                                       : found->second.ticket;
}

void RecordAnswer(approval_book& book, std::span<const pool_worker> asked,
                  std::span<const approved_worker> approved,
                  duration ticket_lifetime, time_point issued_at) {
  for (const pool_worker& worker : asked) {
    approval_book::entry& entry = book.by_worker[worker.id];
    entry = {worker.incarnation, false, {}, {}};
  }
  for (const approved_worker& one : approved) {
    const auto found = book.by_worker.find(one.worker);
    if (found == book.by_worker.end()) continue;
    found->second.is_approved = true;
    found->second.ticket = one.ticket;
    found->second.valid_until = issued_at + ticket_lifetime;
  }
}

}  // namespace apricotwheel
