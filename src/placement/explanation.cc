#include <algorithm>
#include <array>

#include "placement/cell_data.h"

namespace apricotwheel {
namespace {

struct resource_field {
  const char* name;
  std::int64_t resource_vector::*amount;
};
constexpr std::array<resource_field, 3> kFields = {
    {{"cpu_milli", &resource_vector::cpu_milli},
     {"memory_mib", &resource_vector::memory_mib},
     {"accelerators", &resource_vector::accelerators}}};

// Number of workers to which one cause applies, and the first of them.
struct cause {
  std::size_t count = 0;
  worker_index example = kNoWorker;

  void Add(worker_index worker) {
    ++count;
    if (example == kNoWorker) example = worker;
  }
};

std::string FormatWorkers(const cell_data& cell, const cause& counted) {
  return std::to_string(counted.count) +
         (counted.count == 1 ? " worker" : " workers") + ", for example " +
         cell.workers[counted.example].shape.id;
}

bool IsExcluded(const placement_request& request, const std::string& id) {
  const auto& excluded = request.excluded_workers;
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

}  // namespace

std::string ImpossibleReason(const cell_data& cell,
                             const resource_vector& need) {
  for (const resource_field& field : kFields) {
    if (need.*field.amount < 0) {
      return std::string(field.name) + ": the need is negative";
    }
  }
  resource_vector largest;
  bool has_workers = false;
  for (const worker_group& group : cell.groups) {
    if (group.members.empty()) continue;
    if (Fits(need, group.capacity)) return {};
    has_workers = true;
    largest = ElementwiseMax(largest, group.capacity);
  }
  if (!has_workers) return {};
  std::string reason;
  for (const resource_field& field : kFields) {
    if (need.*field.amount <= largest.*field.amount) continue;
    reason += reason.empty() ? "" : "; ";
    reason += std::string(field.name) + ": need " +
              std::to_string(need.*field.amount) + ", the largest worker has " +
              std::to_string(largest.*field.amount);
  }
  if (!reason.empty()) return reason;
  // Each resource alone is large enough on some worker. Name those that are too
  // small on workers with enough of the other resources.
  for (const resource_field& field : kFields) {
    for (const worker_group& group : cell.groups) {
      resource_vector others = need;
      others.*field.amount = 0;
      if (group.members.empty() || !Fits(others, group.capacity)) continue;
      reason += reason.empty() ? "" : "; ";
      reason += std::string(field.name) + ": need " +
                std::to_string(need.*field.amount) +
                ", workers with enough of the others have " +
                std::to_string(group.capacity.*field.amount);
      break;
    }
  }
  if (reason.empty()) {
    reason = "cpu_milli, memory_mib, accelerators: no worker has enough of two";
  }
  return reason;
}

std::vector<std::string> ExplainRequest(const cell_data& cell,
                                        const placement_request& request) {
  std::vector<std::string> lines;
  cause unusable;
  cause excluded;
  cause fitting;
  std::array<cause, kFields.size()> small_shape;
  std::array<cause, kFields.size()> in_use;
  for (worker_index worker = 0; worker < cell.workers.size(); ++worker) {
    const worker_entry& entry = cell.workers[worker];
    if (!entry.present) continue;
    if (!entry.usable) {
      unusable.Add(worker);
      continue;
    }
    if (IsExcluded(request, entry.shape.id)) {
      excluded.Add(worker);
      continue;
    }
    if (Fits(request.need, entry.free)) fitting.Add(worker);
    for (std::size_t i = 0; i < kFields.size(); ++i) {
      const std::int64_t need = request.need.*kFields[i].amount;
      if (need > entry.shape.capacity.*kFields[i].amount) {
        small_shape[i].Add(worker);
      } else if (need > entry.free.*kFields[i].amount) {
        in_use[i].Add(worker);
      }
    }
  }
  const std::string impossible = ImpossibleReason(cell, request.need);
  if (!impossible.empty()) lines.push_back("impossible: " + impossible);
  if (cell.worker_ids.empty()) lines.emplace_back("no workers are known here");
  for (std::size_t i = 0; i < kFields.size(); ++i) {
    const std::string prefix = std::string(kFields[i].name) + ": need " +
                               std::to_string(request.need.*kFields[i].amount);
    const auto add = [&](const cause& counted, const char* text,
                         std::int64_t amount) {
      lines.push_back(prefix + text + FormatWorkers(cell, counted) + " has " +
                      std::to_string(amount));
    };
    if (small_shape[i].count > 0) {
      add(small_shape[i], ", more than the capacity of ",
          cell.workers[small_shape[i].example].shape.capacity.*
              kFields[i].amount);
    }
    if (in_use[i].count > 0) {
      add(in_use[i], ", more than is free on ",
          cell.workers[in_use[i].example].free.*kFields[i].amount);
    }
  }
  if (unusable.count > 0) {
    lines.push_back(
        "unusable (unclaimed, unresponsive, leaving or "
        "quarantined): " +
        FormatWorkers(cell, unusable));
  }
  if (excluded.count > 0) {
    lines.push_back("excluded because the task failed there: " +
                    FormatWorkers(cell, excluded));
  }
  if (fitting.count > 0) {
    lines.push_back("has room: " + FormatWorkers(cell, fitting));
  }
  return lines;
}

}  // namespace apricotwheel
