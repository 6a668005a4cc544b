// Reservations for waiting gangs and large tasks, and approval calls to the
// policy advisor.
#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

#include "graph/pool_scheduler.h"

namespace apricotwheel {

namespace {

// The advisor accepts at most this many workers in a call.
constexpr std::size_t kMaxWorkersPerCall = 100;
// A call names workers with room for this multiple of the waiting tasks,
// because other tasks take some of it while the call is in flight.
constexpr double kRoomToAskFor = 1.5;
// Tasks of one step on a worker that are counted at most.
constexpr std::uint32_t kMaxTasksPerWorker = 64;
// A call also names workers without room if naming all of them takes at most
// this part of the fixed time of a call. A first call decides on workers for
// the life of a step, a later one only renews tickets.
constexpr std::int64_t kFirstCallDivisor = 2;
constexpr std::int64_t kLaterCallDivisor = 4;
// Limits reservations to one for each three workers of the pool, because
// reserved resources stay idle until all resources of the reservation are free.
constexpr std::size_t kWorkersPerReservation = 3;
// A run that has exceeded its estimate is expected to end after this time.
constexpr auto kOverdueRunTime = milliseconds(400);
// A reservation moves to another worker only if that is free this much sooner.
constexpr auto kReservationStickiness = milliseconds(1500);
// Approvals for reserved workers are requested this long before they are
// needed, in addition to the expected duration of the call.
constexpr auto kApprovalLeadTime = milliseconds(250);
// One in this many calls is made for the step that has wanted one the longest,
// the others in the order of placement. Without it, steps of a low priority got
// no call for as long as urgent ones wanted some. Restarts come first in both.
constexpr std::uint64_t kCallsPerOldest = 4;
// Interval of passes while calls are wanted and no member is free.
constexpr auto kCapacityCheckInterval = milliseconds(100);

// Returns the expected duration of a call that names `workers` workers.
duration CallDuration(const advisor_settings& terms, std::size_t workers) {
  return std::chrono::microseconds(terms.decision_us +
                                   terms.per_worker_us *
                                       static_cast<std::int64_t>(workers));
}

// The place of a step among those that want a call, by age.
struct call_age {
  bool is_first_start = true;
  time_point wanted_since{};

  friend bool operator<(const call_age& left, const call_age& right) {
    return std::tie(left.is_first_start, left.wanted_since) <
           std::tie(right.is_first_start, right.wanted_since);
  }
};

// Returns the indices of `ages` with the oldest first.
std::vector<std::size_t> OrderByAge(std::span<const call_age> ages) {
  std::vector<std::size_t> order(ages.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t left, std::size_t right) {
                     return ages[left] < ages[right];
                   });
  return order;
}

}  // namespace

std::uint32_t CountFits(const resource_vector& need, resource_vector room,
                        std::uint32_t limit) {
  std::uint32_t count = 0;
  while (Fits(need, room) && count < kMaxTasksPerWorker &&
         (limit == 0 || count < limit)) {
    room = room - need;
    ++count;
  }
  return count;
}

void pool_scheduler::ResetReservations(const std::vector<candidate>& waiting) {
  std::set<const step_state*> renewing;
  for (const candidate& each : waiting) {
    step_state& step = StateOf(each);
    if (step.queued_in_pass + 1 == pass_) {
      // A step that moves forward may now be placed before a reservation that
      // held it up. The workers of a reservation that falls back are free for
      // the steps that are now placed before it.
      if (reservation_count_ > 0 && each.rank < step.rank) {
        step.placed_in_pass = 0;
      }
      if (!step.reserved_workers.empty() && !(step.rank < each.rank)) {
        renewing.insert(&step);
      }
    }
    step.rank = each.rank;
    step.queued_in_pass = pass_;
  }
  reservation_count_ = 0;
  earlier_reservations_.clear();
  for (auto& [id, worker] : workers_) {
    if (worker.reserved == resource_vector{}) continue;
    if (renewing.contains(worker.reserved_by)) {
      earlier_reservations_.push_back({&worker, worker.reserved,
                                       worker.reserved_from - last_pass_at_,
                                       worker.reserved_by});
    } else {
      worker.has_changed = true;
    }
    worker.reserved = {};
  }
}

void pool_scheduler::MarkReleasedReservations(const step_state& step,
                                              time_point now) {
  for (const earlier_reservation& earlier : earlier_reservations_) {
    worker_state& worker = *earlier.worker;
    if (earlier.step != &step || worker.has_changed) continue;
    // The time until a reservation decides which tasks end before it.
    if (Fits(earlier.amount, worker.reserved) &&
        worker.reserved_from - now <= earlier.time_left) {
      continue;
    }
    worker.has_changed = true;
    if (!AcceptsTasks(worker, now)) continue;
    // In the order of `workers_`, so that equal workers are chosen in that
    // order.
    const auto position = std::upper_bound(
        changed_workers_.begin(), changed_workers_.end(), &worker,
        [](const worker_state* left, const worker_state* right) {
          return left->info.id < right->info.id;
        });
    changed_workers_.insert(position, &worker);
  }
}

void pool_scheduler::EstimateEnds(worker_state& worker, time_point now) const {
  if (std::exchange(worker.expected_in_pass, pass_) == pass_) return;
  worker.expected_ends.clear();
  for (const auto& [task, run] : worker.runs) {
    if (run.job == nullptr) continue;
    const graph_step& spec = SpecOf(*run.job, task);
    const bool is_stopping = run.phase == run_phase::kStopping;
    if (spec.is_service && !is_stopping) continue;
    const time_point expected =
        is_stopping ? now : run.ordered_at + milliseconds(spec.estimate_ms);
    worker.expected_ends.push_back(
        {std::max<time_point>(expected, now + kOverdueRunTime), spec.need});
  }
  std::sort(worker.expected_ends.begin(), worker.expected_ends.end(),
            [](const expected_end& left, const expected_end& right) {
              return left.at < right.at;
            });
}

// Estimates when the worker has `need` free from the estimates of its runs.
// Returns the latest time if the ends of these runs do not free enough.
time_point pool_scheduler::EstimateFreeAt(worker_state& worker,
                                          const resource_vector& need,
                                          time_point now) const {
  resource_vector room = worker.info.capacity - worker.used;
  if (Fits(need, room)) return now;
  if (!Fits(need, worker.info.capacity)) return time_point::max();
  EstimateEnds(worker, now);
  for (const expected_end& end : worker.expected_ends) {
    room = room + end.freed;
    if (Fits(need, room)) return end.at;
  }
  return time_point::max();
}

std::vector<pool_scheduler::reservable_worker>
pool_scheduler::FindReservableWorkers(
    const candidate& waiting, const std::set<std::string>& last_reserved,
    time_point now) {
  const graph_step& spec = waiting.job->submission.graph.steps[waiting.step];
  std::vector<reservable_worker> found;
  for (auto& [id, worker] : workers_) {
    if (worker.reserved != resource_vector{}) continue;
    if (!CanHost(waiting, worker, now)) continue;
    if (IsKeptForSuspect(worker, now)) continue;
    reservable_worker added{&worker, {}, {}, last_reserved.contains(id)};
    AddToReservation(added, spec.need, now);
    found.push_back(added);
  }
  return found;
}

void pool_scheduler::AddToReservation(reservable_worker& target,
                                      const resource_vector& need,
                                      time_point now) const {
  target.next_amount = target.next_amount + need;
  target.free_at = EstimateFreeAt(*target.worker, target.next_amount, now);
  if (target.free_at == time_point::max()) return;
  target.free_at = std::max(target.free_at, target.worker->avoid_until);
}

// Workers of the last reservation are preferred, so that it does not move
// before it is complete. A worker that is free goes before one that is not,
// whose runs may take longer than estimated.
bool pool_scheduler::IsReservedBefore(const reservable_worker& left,
                                      const reservable_worker& right,
                                      time_point now) {
  const auto rank = [&](const reservable_worker& each) {
    const duration preference =
        each.was_reserved && each.free_at != time_point::max()
            ? duration(kReservationStickiness)
            : duration::zero();
    return std::pair(each.free_at > now, each.free_at - preference);
  };
  return rank(left) < rank(right);
}

// Finds the workers that are free first for `count` tasks that start together,
// and adds their shares to `room`. Returns when all of them are expected to be
// free, or nothing if there are too few.
std::optional<time_point> pool_scheduler::FindWorkersToReserve(
    const resource_vector& need, std::uint32_t count,
    std::span<reservable_worker> reservable, time_point now,
    resources_by_worker& room) {
  time_point ready_at = now;
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto best =
        std::min_element(reservable.begin(), reservable.end(),
                         [&](const auto& left, const auto& right) {
                           return IsReservedBefore(left, right, now);
                         });
    if (best == reservable.end() || best->free_at == time_point::max()) {
      return std::nullopt;
    }
    room[best->worker] = best->next_amount;
    ready_at = std::max(ready_at, best->free_at);
    AddToReservation(*best, need, now);
  }
  return ready_at;
}

// Reserves the workers that are free first for a waiting gang or large task.
// Without a reservation, smaller tasks take each part of the resources as soon
// as it is free and the large task starves.
std::vector<pool_worker> pool_scheduler::ReserveWorkers(
    const candidate& waiting, time_point now) {
  graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  step_state& step = job.occurrences[waiting.occurrence][waiting.step];
  const auto& advisor = job.submission.queue.advisor;
  // Before the first response of the advisor, no worker is known to be allowed.
  if (advisor && step.approvals.by_worker.empty()) return {};
  const std::uint32_t tasks_per_start = spec.is_gang ? spec.task_count : 1;
  const std::uint32_t start_count = spec.is_gang ? 1 : step.waiting;
  const auto last_reserved = std::exchange(step.reserved_workers, {});
  std::vector<pool_worker> unapproved;
  if (reservation_count_ * kWorkersPerReservation >= workers_.size()) return {};
  auto reservable = FindReservableWorkers(waiting, last_reserved, now);
  for (std::uint32_t i = 0;
       i < start_count &&
       reservation_count_ * kWorkersPerReservation < workers_.size();
       ++i) {
    resources_by_worker room;
    const auto ready_at =
        FindWorkersToReserve(spec.need, tasks_per_start, reservable, now, room);
    if (!ready_at) break;
    ++reservation_count_;
    std::erase_if(reservable, [&](const reservable_worker& each) {
      return room.contains(each.worker);
    });
    for (const auto& [worker, need] : room) {
      step.reserved_workers.insert(worker->info.id);
      worker->reserved = need;
      worker->reserved_from = *ready_at;
      worker->reserved_by = &step;
    }
    if (!advisor) continue;
    const duration call_time = CallDuration(*advisor, room.size());
    const time_point request_at = *ready_at - call_time - kApprovalLeadTime;
    if (now < request_at) {
      next_decision_at_ = std::min(next_decision_at_, request_at);
      continue;
    }
    const auto has_ticket_at = [&](const worker_state& worker,
                                   time_point time) {
      return FindApproval(step.approvals, worker.info, time) ==
             approval_status::kValid;
    };
    if (std::all_of(room.begin(), room.end(), [&](const auto& row) {
          return has_ticket_at(*row.first, now);
        })) {
      continue;
    }
    // All tickets must be valid at the same time. A call that left out those
    // that expire before its response would have to be followed by another one.
    const time_point start_at =
        std::max(*ready_at, now + call_time + kApprovalLeadTime);
    for (const auto& [worker, need] : room) {
      if (!has_ticket_at(*worker, start_at)) unapproved.push_back(worker->info);
    }
    if (spec.is_gang && !unapproved.empty()) {
      NameAlternatives(waiting, start_at, now, unapproved);
    }
  }
  // Where a decision is missing, the call names all workers without one.
  // Otherwise each refusal leads to another reservation and another call.
  if (std::any_of(unapproved.begin(), unapproved.end(),
                  [&](const pool_worker& worker) {
                    return FindApproval(step.approvals, worker, now) ==
                           approval_status::kUndecided;
                  })) {
    std::set<std::string> named;
    for (const pool_worker& worker : unapproved) named.insert(worker.id);
    for (pool_worker& worker : FindUndecidedWorkers(waiting, now)) {
      if (unapproved.size() >= kMaxWorkersPerCall) break;
      if (!named.contains(worker.id)) unapproved.push_back(std::move(worker));
    }
  }
  return unapproved;
}

// Runs may take longer than estimated, so that other workers than the reserved
// ones are free first. They need tickets of the same time.
void pool_scheduler::NameAlternatives(const candidate& waiting,
                                      time_point start_at, time_point now,
                                      std::vector<pool_worker>& named) {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const step_approvals& approvals = StateOf(waiting).approvals;
  const time_point expiry =
      start_at + job.submission.queue.advisor->ticket_lifetime;
  std::set<std::string> ids;
  for (const pool_worker& worker : named) ids.insert(worker.id);
  for (auto& [id, worker] : workers_) {
    if (named.size() >= kMaxWorkersPerCall) return;
    if (ids.contains(id) || !CanHost(waiting, worker, now)) continue;
    const auto status = FindApproval(approvals, worker.info, start_at);
    if (status != approval_status::kTicketExpired) continue;
    if (EstimateFreeAt(worker, spec.need, now) < expiry) {
      named.push_back(worker.info);
    }
  }
}

// Returns true if a task needs at least half of the largest worker: of its
// accelerators, or of its processors or memory in a pool without accelerators.
// Such a task rarely finds enough free resources without a reservation.
bool pool_scheduler::IsLarge(const graph_step& spec) const {
  const resource_vector twice = spec.need + spec.need;
  if (max_capacity_.accelerators > 0) {
    return twice.accelerators >= max_capacity_.accelerators;
  }
  return twice.cpu_milli >= max_capacity_.cpu_milli ||
         twice.memory_mib >= max_capacity_.memory_mib;
}

void pool_scheduler::RemoveUselessCalls(time_point now) {
  std::vector<worker_state*> changed;
  for (worker_state* worker : workers_with_room_) {
    if (worker->has_changed) changed.push_back(worker);
  }
  std::erase_if(wanted_approvals_, [&](const wanted_approval& each) {
    step_state& step = StateOf(each.waiting);
    if (!each.workers.empty() || step.named_in_pass + 1 != pass_) return false;
    if (!FindAllowedWorkers(each.waiting, changed, now, false).empty()) {
      return false;
    }
    step.named_in_pass = pass_;
    step.approvals.wanted_since = {};
    return true;
  });
}

void pool_scheduler::RequestApprovals(time_point now,
                                      approval_capacity capacity,
                                      pool_decisions& decisions) {
  const auto approvals_of = [](const wanted_approval& each) -> step_approvals& {
    return StateOf(each.waiting).approvals;
  };
  RemoveUselessCalls(now);
  std::vector<call_age> ages;
  ages.reserve(wanted_approvals_.size());
  for (const wanted_approval& each : wanted_approvals_) {
    step_approvals& approvals = approvals_of(each);
    if (approvals.wanted_since == time_point{}) approvals.wanted_since = now;
    ages.push_back({each.waiting.rank.is_first_start, approvals.wanted_since});
  }
  std::vector<std::size_t> by_age;
  if (capacity.calls > 0) by_age = OrderByAge(ages);
  std::vector<bool> is_examined(wanted_approvals_.size(), false);
  std::vector<wanted_approval> delayed;
  std::size_t next_by_rank = 0;
  std::size_t next_by_age = 0;
  while (capacity.calls > 0) {
    const bool takes_oldest = (approval_calls_ + 1) % kCallsPerOldest == 0;
    std::size_t& next = takes_oldest ? next_by_age : next_by_rank;
    if (next == wanted_approvals_.size()) break;
    const std::size_t index = takes_oldest ? by_age[next] : next;
    ++next;
    if (is_examined[index]) continue;
    is_examined[index] = true;
    wanted_approval& wanted = wanted_approvals_[index];
    const queue_rules& queue = wanted.waiting.job->submission.queue;
    const bool is_always_long =
        CallDuration(*queue.advisor, 1) > capacity.max_short_call;
    if (is_always_long && capacity.long_calls == 0) {
      delayed.push_back(std::move(wanted));
      continue;
    }
    step_approvals& approvals = approvals_of(wanted);
    std::vector<pool_worker> workers =
        wanted.workers.empty() ? ChooseWorkersToName(wanted.waiting, now)
                               : std::move(wanted.workers);
    if (workers.empty()) {
      // A first call names workers without room as well.
      if (!approvals.by_worker.empty()) {
        StateOf(wanted.waiting).named_in_pass = pass_;
      }
      approvals.wanted_since = {};
      continue;
    }
    const duration expected = CallDuration(*queue.advisor, workers.size());
    if (expected > capacity.max_short_call) {
      if (capacity.long_calls == 0) {
        delayed.push_back(std::move(wanted));
        continue;
      }
      --capacity.long_calls;
    }
    --capacity.calls;
    ++approval_calls_;
    approvals.is_call_in_flight = true;
    decisions.approvals.push_back(
        {wanted.waiting.job->submission.id, wanted.waiting.occurrence,
         wanted.waiting.step, std::move(workers), wanted.waiting.rank.priority,
         expected, std::exchange(approvals.wanted_since, {})});
  }
  for (std::size_t i = 0; i < wanted_approvals_.size(); ++i) {
    if (!is_examined[i]) delayed.push_back(std::move(wanted_approvals_[i]));
  }
  wanted_approvals_ = std::move(delayed);
  if (!wanted_approvals_.empty()) {
    // The end of a call leads to a pass; a member that comes back does not.
    next_decision_at_ =
        std::min<time_point>(next_decision_at_, now + kCapacityCheckInterval);
  }
}

std::vector<pool_worker> pool_scheduler::FindUndecidedWorkers(
    const candidate& waiting, time_point now) const {
  const step_approvals& approvals = StateOf(waiting).approvals;
  std::vector<pool_worker> undecided;
  for (const auto& [id, worker] : workers_) {
    if (undecided.size() == kMaxWorkersPerCall) break;
    if (CanHost(waiting, worker, now) &&
        FindApproval(approvals, worker.info, now) ==
            approval_status::kUndecided) {
      undecided.push_back(worker.info);
    }
  }
  return undecided;
}

std::vector<pool_worker> pool_scheduler::ChooseWorkersToName(
    const candidate& waiting, time_point now) {
  const graph_job& job = *waiting.job;
  const graph_step& spec = job.submission.graph.steps[waiting.step];
  const step_state& step = job.occurrences[waiting.occurrence][waiting.step];
  const advisor_settings& terms = *job.submission.queue.advisor;
  const bool is_first_call = step.approvals.by_worker.empty();
  const bool is_reserving = spec.is_gang || IsLarge(spec);
  // Lasting tasks that are kept apart need many workers, and the decisions on
  // all of them show whether there are enough.
  const bool is_spread = spec.is_service && spec.max_per_worker > 0;
  const bool needs_all = is_reserving || is_spread;
  auto undecided = needs_all && !is_first_call
                       ? FindUndecidedWorkers(waiting, now)
                       : std::vector<pool_worker>();
  const double share = ApprovedShare(job.submission.queue.name);
  struct option {
    const worker_state* worker = nullptr;
    std::uint32_t tasks = 0;
    bool is_approved = false;
  };
  std::vector<option> options;
  std::uint32_t room = 0;
  const task_key first{job.submission.id, waiting.occurrence, waiting.step, 0};
  for (const worker_state* worker :
       FindAllowedWorkers(waiting, workers_with_room_, now, false)) {
    const std::uint32_t running =
        spec.max_per_worker == 0 ? 0 : CountRunsOfStep(*worker, first);
    if (spec.max_per_worker > 0 && running >= spec.max_per_worker) continue;
    const std::uint32_t tasks = std::min(
        step.waiting,
        CountFits(spec.need,
                  FreeCapacityFor(*worker, milliseconds(spec.estimate_ms), now),
                  spec.max_per_worker - running));
    room += tasks;
    options.push_back({worker, tasks,
                       FindApproval(step.approvals, worker->info, now) !=
                           approval_status::kUndecided});
  }
  if (!is_first_call && (room == 0 || (spec.is_gang && room < spec.task_count)))
    return undecided;
  std::stable_sort(options.begin(), options.end(),
                   [](const option& left, const option& right) {
                     return std::tuple(left.is_approved, left.tasks) >
                            std::tuple(right.is_approved, right.tasks);
                   });
  std::vector<pool_worker> named;
  std::set<std::string_view> named_ids;
  const auto name = [&](const pool_worker& worker) {
    if (named.size() >= kMaxWorkersPerCall) return;
    if (!named_ids.insert(worker.id).second) return;
    named.push_back(worker);
  };
  const double wanted = step.waiting * kRoomToAskFor;
  double expected = 0;
  for (const option& each : options) {
    if (expected >= wanted) break;
    expected += each.tasks * (each.is_approved ? 1 : share);
    name(each.worker->info);
  }
  for (const pool_worker& worker : undecided) name(worker);
  // Workers without room may have some while the tickets are valid. They are
  // named as long as that adds little to the time of the call. Steps for which
  // workers are reserved need the decisions on all of them.
  std::size_t fill = kMaxWorkersPerCall;
  if (!(is_first_call && needs_all) && terms.per_worker_us > 0) {
    const std::int64_t divisor =
        terms.per_worker_us *
        (is_first_call ? kFirstCallDivisor : kLaterCallDivisor);
    fill = static_cast<std::size_t>(terms.decision_us / divisor);
  }
  // Each step begins at another worker, so that steps do not all wait for the
  // same ones.
  auto next = workers_.begin();
  std::advance(next, std::hash<std::string>()(job.submission.id) %
                         std::max<std::size_t>(workers_.size(), 1));
  for (std::size_t i = 0; i < workers_.size() && named.size() < fill; ++i) {
    const worker_state& worker = next->second;
    if (++next == workers_.end()) next = workers_.begin();
    if (!CanHost(waiting, worker, now)) continue;
    if (!is_first_call && FindApproval(step.approvals, worker.info, now) ==
                              approval_status::kUndecided) {
      continue;
    }
    name(worker.info);
  }
  return named;
}

double pool_scheduler::ApprovedShare(const std::string& queue) const {
  const auto found = decisions_by_queue_.find(queue);
  const decision_count count =
      found == decisions_by_queue_.end() ? decision_count{} : found->second;
  // Half of the workers until decisions are known; a few do not outweigh that.
  return (count.approved + 1.0) / (count.decided + 2.0);
}

}  // namespace apricotwheel
