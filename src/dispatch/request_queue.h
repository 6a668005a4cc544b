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

// Queues the requests that wait for a slot of one service at this instance
// owner, ordered by class and age. Not thread-safe.
class request_queue {
 public:
  // `limit` is the maximum number of requests of each class.
  explicit request_queue(std::size_t limit) : class_limit_(limit) {}

  // Adds a request, or returns the reason to shed it: `queue_full`, or
  // `deadline` if it is expected to wait beyond its deadline. The expected wait
  // follows from the recent service time and the number of `slots`; it is zero
  // with `has_free_slot`.
  std::optional<std::string_view> Enqueue(const queue_entry& entry,
                                          priority_class priority,
                                          std::uint32_t slots,
                                          bool has_free_slot);
  // Puts a request that did not run back at its old position. The limit does
  // not apply, because the request was admitted before.
  void Requeue(const queue_entry& entry, priority_class priority);

  // Returns the id of the request that gets the next slot.
  std::optional<std::uint64_t> Front(time_point now) const;
  bool Remove(std::uint64_t id);

  void RecordServiceTime(duration spent);
  void SetLimit(std::size_t limit) { class_limit_ = limit; }
  std::size_t Length() const;
  std::size_t Length(priority_class priority) const;

 private:
  std::size_t class_limit_;
  std::array<std::deque<queue_entry>, 3> class_queues_;
  duration service_time_{0};  // Moving average; zero before the first value.
};

}  // namespace apricotwheel
