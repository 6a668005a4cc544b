#include "placement/cell_state.h"

#include <algorithm>
#include <numeric>

#include "placement/cell_data.h"
#include "placement/placement_policy.h"

namespace apricotwheel {
namespace {

constexpr std::string_view kDefaultPolicy = "waiting-first";
// Limits the trees of one group. Workers with more free accelerators share the
// last tree.
constexpr std::int64_t kMaxLevels = 64;
// Limits reported and adopted amounts, so that sums cannot overflow.
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40;

resource_vector ClampAmounts(const resource_vector& amount) {
  const auto bound = [](std::int64_t value) {
    return std::clamp<std::int64_t>(value, 0, kMaxAmount);
  };
  return {bound(amount.cpu_milli), bound(amount.memory_mib),
          bound(amount.accelerators)};
}

// Returns the group for a capacity and failure domain. Groups without members
// are reused.
std::uint32_t FindOrAddGroup(cell_data& cell, const resource_vector& capacity,
                             std::uint32_t domain) {
  std::uint32_t unused = kNoNode;
  for (std::uint32_t i = 0; i < cell.groups.size(); ++i) {
    if (cell.groups[i].members.empty()) {
      unused = i;
    } else if (cell.groups[i].capacity == capacity &&
               cell.groups[i].domain == domain) {
      return i;
    }
  }
  if (unused == kNoNode) {
    unused = static_cast<std::uint32_t>(cell.groups.size());
    cell.groups.emplace_back();
  }
  const auto levels = static_cast<std::size_t>(
      std::clamp<std::int64_t>(capacity.accelerators + 1, 1, kMaxLevels));
  cell.groups[unused] = {capacity,
                         domain,
                         {},
                         std::vector<std::uint32_t>(levels, kNoNode),
                         std::vector<std::uint32_t>(levels, kNoNode)};
  return unused;
}

void LeaveGroup(cell_data& cell, worker_index worker) {
  auto& members = cell.groups[cell.workers[worker].group].members;
  members.erase(std::lower_bound(members.begin(), members.end(), worker));
}

void JoinGroup(cell_data& cell, worker_index worker) {
  worker_entry& entry = cell.workers[worker];
  entry.domain = Intern(cell.domains, entry.shape.failure_domain);
  entry.rack =
      Intern(cell.racks, entry.shape.failure_domain + "/" + entry.shape.rack);
  entry.group = FindOrAddGroup(cell, entry.shape.capacity, entry.domain);
  auto& members = cell.groups[entry.group].members;
  members.insert(std::lower_bound(members.begin(), members.end(), worker),
                 worker);
}

// Orders the largest needs first, because the fewest workers can hold them.
bool IsLarger(const resource_vector& a, const resource_vector& b) {
  if (a.accelerators != b.accelerators) return a.accelerators > b.accelerators;
  if (a.cpu_milli != b.cpu_milli) return a.cpu_milli > b.cpu_milli;
  return a.memory_mib > b.memory_mib;
}

// Returns the largest share of a resource of the worker that `need` lacks.
double MissingShare(const resource_vector& need, const worker_entry& entry) {
  const resource_vector missing = ElementwiseMax(need - entry.free, {});
  const resource_vector& whole = entry.shape.capacity;
  const auto share = [](std::int64_t part, std::int64_t all) {
    return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0.0;
  };
  return std::max({share(missing.cpu_milli, whole.cpu_milli),
                   share(missing.memory_mib, whole.memory_mib),
                   share(missing.accelerators, whole.accelerators)});
}

}  // namespace

struct cell_state::state {
  cell_data data;
};

cell_state::cell_state(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
cell_state::~cell_state() = default;

std::unique_ptr<cell_state> cell_state::Create() {
  auto initial = std::make_unique<state>();
  const auto& registry = policy_registry::Instance();
  for (const std::string& name : registry.PluginNames()) {
    const auto found = Attempt([&] { return registry.Find(name); });
    initial->data.policies.push_back({name, *found});
    if (name == kDefaultPolicy) initial->data.default_policy = *found;
  }
  return std::unique_ptr<cell_state>(new cell_state(std::move(initial)));
}

worker_index cell_state::UpsertWorker(const worker_shape& shape) {
  cell_data& cell = state_->data;
  const auto known = FindWorker(shape.id);
  if (!known) {
    worker_index worker = 0;
    if (cell.removed_workers.empty()) {
      worker = static_cast<worker_index>(cell.workers.size());
      cell.workers.emplace_back();
      cell.free_tree.Resize(cell.workers.size());
      cell.preemptable_tree.Resize(cell.workers.size());
    } else {
      worker = cell.removed_workers.back();
      cell.removed_workers.pop_back();
    }
    worker_entry& entry = cell.workers[worker];
    entry = {};
    entry.shape = shape;
    entry.present = true;
    entry.free = shape.capacity;
    cell.worker_ids.emplace(shape.id, worker);
    JoinGroup(cell, worker);
    IndexWorker(cell, worker);
    return worker;
  }
  const worker_index worker = *known;
  worker_entry& entry = cell.workers[worker];
  if (entry.shape.capacity == shape.capacity &&
      entry.shape.failure_domain == shape.failure_domain &&
      entry.shape.rack == shape.rack) {
    return worker;
  }
  UnindexWorker(cell, worker);
  for (const std::uint32_t task : entry.tasks) {
    RemoveInstance(cell.workloads[cell.tasks[task].workload], entry);
  }
  LeaveGroup(cell, worker);
  entry.free = entry.free + shape.capacity - entry.shape.capacity;
  entry.shape = shape;
  JoinGroup(cell, worker);
  for (const std::uint32_t task : entry.tasks) {
    AddInstance(cell.workloads[cell.tasks[task].workload], entry);
  }
  IndexWorker(cell, worker);
  return worker;
}

void cell_state::RemoveWorker(std::string_view worker_id) {
  cell_data& cell = state_->data;
  const auto known = FindWorker(worker_id);
  if (!known) return;
  UnindexWorker(cell, *known);
  worker_entry& entry = cell.workers[*known];
  entry.usable = false;
  while (!entry.tasks.empty()) RemoveTask(cell, entry.tasks.back());
  LeaveGroup(cell, *known);
  cell.worker_ids.erase(cell.worker_ids.find(worker_id));
  entry = {};
  cell.removed_workers.push_back(*known);
}

void cell_state::SetUsable(worker_index worker, bool usable) {
  cell_data& cell = state_->data;
  UnindexWorker(cell, worker);
  cell.workers[worker].usable = usable;
  IndexWorker(cell, worker);
}

std::optional<worker_index> cell_state::FindWorker(
    std::string_view worker_id) const {
  const auto found = state_->data.worker_ids.find(worker_id);
  if (found == state_->data.worker_ids.end()) return std::nullopt;
  return found->second;
}

const worker_shape& cell_state::Shape(worker_index worker) const {
  return state_->data.workers[worker].shape;
}

resource_vector cell_state::FreeCapacity(worker_index worker) const {
  return state_->data.workers[worker].free;
}

result<void> cell_state::Allocate(worker_index worker,
                                  const placement_request& task) {
  cell_data& cell = state_->data;
  const auto known = cell.task_ids.find(task.task_id);
  if (known != cell.task_ids.end()) {
    if (cell.tasks[known->second].worker == worker) return {};
    return Fail(error_kind::kConflict,
                "task " + std::string(task.task_id) + " has resources on " +
                    Shape(cell.tasks[known->second].worker).id,
                "release the task there first");
  }
  if (ClampAmounts(task.need) != task.need) {
    return Fail(error_kind::kInvalidArgument,
                "the resource request of task " + std::string(task.task_id) +
                    " is negative or too large",
                "request amounts from 0 to 2^40");
  }
  if (worker >= cell.workers.size() || !cell.workers[worker].present ||
      !cell.workers[worker].usable) {
    return Fail(error_kind::kCapacity, "the worker accepts no new tasks",
                "choose another worker");
  }
  if (!Fits(task.need, cell.workers[worker].free)) {
    return Fail(error_kind::kCapacity,
                "task " + std::string(task.task_id) + " does not fit on " +
                    cell.workers[worker].shape.id,
                "choose another worker");
  }
  AddTask(cell, worker, task);
  return {};
}

void cell_state::AdoptTask(worker_index worker, const placement_request& task) {
  cell_data& cell = state_->data;
  const auto known = cell.task_ids.find(task.task_id);
  if (known != cell.task_ids.end()) {
    if (cell.tasks[known->second].worker == worker) return;
    RemoveTask(cell, known->second);
  }
  placement_request bounded = task;
  bounded.need = ClampAmounts(task.need);
  AddTask(cell, worker, bounded);
}

void cell_state::ReportUse(std::string_view task_id,
                           const resource_vector& used) {
  cell_data& cell = state_->data;
  const auto known = cell.task_ids.find(task_id);
  if (known == cell.task_ids.end()) return;
  task_entry& task = cell.tasks[known->second];
  const resource_vector allocated =
      ElementwiseMax(task.declared, ClampAmounts(used));
  if (allocated == task.allocated) return;
  UnindexWorker(cell, task.worker);
  worker_entry& host = cell.workers[task.worker];
  const resource_vector growth = allocated - task.allocated;
  host.free = host.free - growth;
  if (task.priority == priority_class::kBatch) {
    host.batch_use = host.batch_use + growth;
  }
  task.allocated = allocated;
  IndexWorker(cell, task.worker);
}

void cell_state::ReleaseTask(std::string_view task_id) {
  const auto known = state_->data.task_ids.find(task_id);
  if (known != state_->data.task_ids.end()) {
    RemoveTask(state_->data, known->second);
  }
}

placement_decision cell_state::Decide(const placement_request& task,
                                      random_source& random) const {
  const cell_data& cell = state_->data;
  placement_decision decision;
  if (Fits(resource_vector{}, task.need)) {
    decision.worker = ChooseWorker(cell, task, random);
  }
  if (decision.worker != kNoWorker) {
    decision.outcome = placement_outcome::kPlaced;
    return decision;
  }
  decision.reason = ImpossibleReason(cell, task.need);
  if (!decision.reason.empty()) {
    decision.outcome = placement_outcome::kImpossible;
    return decision;
  }
  if (task.priority != priority_class::kUrgent) return decision;
  preemption_choice choice = ChooseVictims(cell, task);
  if (choice.worker == kNoWorker) return decision;
  decision.outcome = placement_outcome::kPreempt;
  decision.worker = choice.worker;
  decision.victims = std::move(choice.victims);
  return decision;
}

std::vector<worker_index> cell_state::DecideGang(
    std::span<const placement_request> tasks, random_source& random) const {
  // The tasks are added one by one, so that each decision takes the earlier
  // ones into account, and are all removed again at the end.
  cell_data& cell = state_->data;
  std::vector<std::size_t> order(tasks.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return IsLarger(tasks[a].need, tasks[b].need);
                   });
  std::vector<worker_index> chosen(tasks.size(), kNoWorker);
  std::vector<std::uint32_t> added;
  bool complete = true;
  for (const std::size_t i : order) {
    if (ClampAmounts(tasks[i].need) != tasks[i].need ||
        cell.task_ids.find(tasks[i].task_id) != cell.task_ids.end()) {
      complete = false;
      break;
    }
    chosen[i] = ChooseWorker(cell, tasks[i], random);
    if (chosen[i] == kNoWorker) {
      complete = false;
      break;
    }
    AddTask(cell, chosen[i], tasks[i]);
    added.push_back(cell.task_ids.find(tasks[i].task_id)->second);
  }
  for (const std::uint32_t task : added) RemoveTask(cell, task);
  if (!complete) chosen.clear();
  return chosen;
}

std::vector<std::string> cell_state::WorkersToReserve(
    const resource_vector& need, std::size_t count) const {
  std::vector<std::pair<double, worker_index>> all;
  const cell_data& cell = state_->data;
  for (worker_index worker = 0; worker < cell.workers.size(); ++worker) {
    const worker_entry& entry = cell.workers[worker];
    if (!entry.indexed || !Fits(need, entry.shape.capacity)) continue;
    all.emplace_back(MissingShare(need, entry), worker);
  }
  const std::size_t kept = std::min(count, all.size());
  std::partial_sort(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>(kept), all.end());
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < kept; ++i) ids.push_back(Shape(all[i].second).id);
  return ids;
}

std::vector<std::string> cell_state::Explain(
    const placement_request& task) const {
  return ExplainRequest(state_->data, task);
}

std::size_t cell_state::WorkerCount() const {
  return state_->data.worker_ids.size();
}

std::size_t cell_state::TaskCount() const {
  return state_->data.task_ids.size();
}

resource_vector cell_state::TotalCapacity() const {
  resource_vector total;
  for (const worker_entry& entry : state_->data.workers) {
    if (entry.present) total = total + entry.shape.capacity;
  }
  return total;
}

resource_vector cell_state::TotalFreeCapacity() const {
  resource_vector total;
  for (const worker_entry& entry : state_->data.workers) {
    if (entry.present && entry.usable)
      total = total + ElementwiseMax(entry.free, {});
  }
  return total;
}

std::vector<resource_vector> cell_state::LargestFreeCapacities(
    std::size_t count) const {
  std::vector<resource_vector> all;
  for (const worker_entry& entry : state_->data.workers) {
    if (entry.present && entry.usable)
      all.push_back(ElementwiseMax(entry.free, {}));
  }
  const std::size_t kept = std::min(count, all.size());
  std::partial_sort(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>(kept), all.end(),
                    IsLarger);
  all.resize(kept);
  return all;
}

resource_vector cell_state::MaxCapacity() const {
  resource_vector largest;
  for (const worker_group& group : state_->data.groups) {
    if (!group.members.empty())
      largest = ElementwiseMax(largest, group.capacity);
  }
  return largest;
}

std::vector<std::string> PolicyNames() {
  return policy_registry::Instance().PluginNames();
}

}  // namespace apricotwheel
