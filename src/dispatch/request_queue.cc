#include "dispatch/request_queue.h"

#include <algorithm>

#include "dispatch/dispatch_outcome.h"

namespace apricotwheel {

namespace {

// A queued request counts as one class more urgent each time this duration has
// passed. Otherwise a steady stream of urgent requests would starve the others.
constexpr duration kAgeingStep = std::chrono::seconds(1);

std::int64_t EffectiveClass(std::size_t priority, const queue_entry& entry,
                            time_point now) {
  const auto steps = (now - entry.enqueued_at) / kAgeingStep;
  return std::max<std::int64_t>(static_cast<std::int64_t>(priority) - steps, 0);
}

std::size_t IndexOf(priority_class priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

std::optional<std::string_view> request_queue::Enqueue(const queue_entry& entry,
                                                       priority_class priority,
                                                       std::uint32_t slots,
                                                       bool has_free_slot) {
  auto& own = class_queues_[IndexOf(priority)];
  if (own.size() >= class_limit_) return reason::kQueueFull;
  if (entry.deadline <= entry.enqueued_at) return reason::kDeadline;
  if (!has_free_slot && slots > 0) {
    // The request needs one slot more than the requests ahead of it.
    std::int64_t slots_needed = 1;
    for (std::size_t index = 0; index <= IndexOf(priority); ++index) {
      slots_needed += static_cast<std::int64_t>(class_queues_[index].size());
    }
    const duration wait = service_time_ * slots_needed / slots;
    if (entry.enqueued_at + wait > entry.deadline) return reason::kDeadline;
  }
  Requeue(entry, priority);
  return std::nullopt;
}

void request_queue::Requeue(const queue_entry& entry, priority_class priority) {
  auto& own = class_queues_[IndexOf(priority)];
  const auto place =
      std::upper_bound(own.begin(), own.end(), entry,
                       [](const queue_entry& left, const queue_entry& right) {
                         return left.enqueued_at < right.enqueued_at;
                       });
  own.insert(place, entry);
}

std::optional<std::uint64_t> request_queue::Front(time_point now) const {
  const queue_entry* best = nullptr;
  std::int64_t best_rank = 0;
  for (std::size_t index = 0; index < class_queues_.size(); ++index) {
    if (class_queues_[index].empty()) continue;
    const queue_entry& head = class_queues_[index].front();
    const auto rank = EffectiveClass(index, head, now);
    if (best == nullptr || rank < best_rank ||
        (rank == best_rank && head.enqueued_at < best->enqueued_at)) {
      best = &head;
      best_rank = rank;
    }
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

bool request_queue::Remove(std::uint64_t id) {
  for (auto& entries : class_queues_) {
    const auto found =
        std::find_if(entries.begin(), entries.end(),
                     [&](const queue_entry& entry) { return entry.id == id; });
    if (found == entries.end()) continue;
    entries.erase(found);
    return true;
  }
  return false;
}

void request_queue::RecordServiceTime(duration spent) {
  service_time_ =
      service_time_ == duration(0) ? spent : (service_time_ * 7 + spent) / 8;
}

std::size_t request_queue::Length() const {
  std::size_t total = 0;
  for (const auto& entries : class_queues_) total += entries.size();
  return total;
}

std::size_t request_queue::Length(priority_class priority) const {
  return class_queues_[IndexOf(priority)].size();
}

}  // namespace apricotwheel
