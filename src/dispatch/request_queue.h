#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "kernel/clock.h"
#include "kernel/resources.h"

namespace apricotwheel {

struct queue_entry {
  std::uint64_t id = 0;
  time_point enqueued_at;
  time_point deadline;
};

// The order of the requests that wait for a slot of one service at this owner.
// Not thread-safe: guarded by its owner.
class request_queue {
 public:
  // `limit` bounds each class.
  explicit request_queue(std::size_t limit) : class_limit_(limit) {}

  // Adds a request, or returns the reason to shed it: `queue_full`, or
  // `deadline` if by the recent service time and `slots` it would still wait
  // when its deadline passes. With `slot_free` no wait is expected.
  std::optional<std::string_view> Enqueue(const queue_entry& entry,
                                          priority_class priority,
                                          std::uint32_t slots,
                                          bool has_free_slot);
  // Puts back a request that provably did not run, in its old place. Exempt
  // from the limit, because it was admitted before.
  void Requeue(const queue_entry& entry, priority_class priority);

  // The id that gets the next slot.
  std::optional<std::uint64_t> Front(time_point now) const;
  bool Remove(std::uint64_t id);

  void RecordServiceTime(duration spent);
  void SetLimit(std::size_t limit) { class_limit_ = limit; }
  std::size_t Length() const;
  std::size_t Length(priority_class priority) const;

 private:
  std::size_t class_limit_;
  std::array<std::deque<queue_entry>, 3> class_queues_;
  duration service_time_{0};  // Moving average.
};

}  // namespace apricotwheel
