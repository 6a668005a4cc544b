#include <algorithm>
#include <cmath>

#include "placement/placement_policy.h"

namespace apricotwheel {
namespace {

const workload_entry kNoInstances = {};

std::uint32_t DomainCount(const workload_entry& workload,
                          std::uint32_t domain) {
  return domain < workload.domain_counts.size() ? workload.domain_counts[domain]
                                                : 0;
}

std::uint32_t RackCount(const workload_entry& workload, std::uint32_t rack) {
  const auto position = std::lower_bound(
      workload.racks.begin(), workload.racks.end(), rack,
      [](const rack_count& a, std::uint32_t b) { return a.rack < b; });
  if (position == workload.racks.end() || position->rack != rack) return 0;
  return position->count;
}

// Returns the smallest number of tasks of the workload in any failure domain
// that is at least `from`.
std::uint32_t NextDomainCount(const candidate_query& query,
                              std::uint32_t from) {
  std::uint32_t next = UINT32_MAX;
  for (std::uint32_t domain = 0; domain < query.cell->domains.size();
       ++domain) {
    const std::uint32_t count = DomainCount(*query.spread_workload, domain);
    if (count >= from) next = std::min(next, count);
  }
  return next;
}

// Returns the smallest number of tasks in a rack above `limit`, among the
// failure domains of the query.
std::uint32_t NextRackLimit(const candidate_query& query, std::uint32_t limit) {
  std::uint32_t next = UINT32_MAX;
  for (const rack_count& rack : query.spread_workload->racks) {
    if (rack.count > limit &&
        DomainCount(*query.spread_workload, rack.domain) ==
            query.tasks_in_domain) {
      next = std::min(next, rack.count);
    }
  }
  return next;
}

// Chooses a worker in the failure domains with the fewest tasks of the
// workload, and there in the racks with the fewest.
worker_index ChooseSpread(candidate_query& query,
                          const placement_policy& policy,
                          random_source& random) {
  for (std::uint32_t count = NextDomainCount(query, 0); count != UINT32_MAX;
       count = NextDomainCount(query, count + 1)) {
    query.tasks_in_domain = count;
    for (std::uint32_t limit = 0; limit != UINT32_MAX;
         limit = NextRackLimit(query, limit)) {
      query.max_tasks_in_rack = limit;
      const worker_index found = policy.choose(query, random);
      if (found != kNoWorker) return found;
    }
  }
  return kNoWorker;
}

// Returns the policy of that name, or the default one if it is unknown.
const placement_policy& PolicyOf(const cell_data& cell, std::string_view name) {
  for (const named_policy& each : cell.policies) {
    if (each.name == name) return *each.policy;
  }
  return *cell.default_policy;
}

double Share(std::int64_t part, std::int64_t all) {
  return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0.0;
}

}  // namespace

bool IsGroupInScope(const candidate_query& query, const worker_group& group) {
  if ((group.capacity.accelerators > 0) != query.with_accelerators) {
    return false;
  }
  if (!Fits(query.request->need, group.capacity)) return false;
  return query.spread_workload == nullptr ||
         DomainCount(*query.spread_workload, group.domain) ==
             query.tasks_in_domain;
}

bool IsCandidate(const candidate_query& query, worker_index worker) {
  const worker_entry& entry = query.cell->workers[worker];
  if (!entry.indexed || !Fits(query.request->need, entry.free)) return false;
  const auto excluded = query.request->excluded_workers;
  if (std::find(excluded.begin(), excluded.end(), entry.shape.id) !=
      excluded.end()) {
    return false;
  }
  return query.spread_workload == nullptr ||
         RackCount(*query.spread_workload, entry.rack) <=
             query.max_tasks_in_rack;
}

double LeftoverShare(const candidate_query& query, worker_index worker) {
  const worker_entry& entry = query.cell->workers[worker];
  const resource_vector left = entry.free - query.request->need;
  const resource_vector& whole = entry.shape.capacity;
  return Share(left.cpu_milli, whole.cpu_milli) +
         Share(left.memory_mib, whole.memory_mib) +
         static_cast<double>(left.accelerators);
}

double LeftoverImbalance(const candidate_query& query, worker_index worker) {
  const worker_entry& entry = query.cell->workers[worker];
  const resource_vector left = entry.free - query.request->need;
  const resource_vector& whole = entry.shape.capacity;
  return std::abs(Share(left.cpu_milli, whole.cpu_milli) -
                  Share(left.memory_mib, whole.memory_mib));
}

worker_index ChooseWorker(const cell_data& cell,
                          const placement_request& request,
                          random_source& random) {
  const placement_policy& policy = PolicyOf(cell, request.policy);
  candidate_query query;
  query.cell = &cell;
  query.request = &request;
  if (request.spread) {
    const auto found = cell.workload_ids.find(request.workload);
    query.spread_workload = found == cell.workload_ids.end()
                                ? &kNoInstances
                                : &cell.workloads[found->second];
  }
  // Tasks without accelerators use workers that have some only if no other
  // worker fits, because these are few and expensive. This takes precedence
  // over spread.
  for (const bool with_accelerators : {false, true}) {
    if (!with_accelerators && request.need.accelerators > 0) continue;
    query.with_accelerators = with_accelerators;
    const worker_index found = query.spread_workload == nullptr
                                   ? policy.choose(query, random)
                                   : ChooseSpread(query, policy, random);
    if (found != kNoWorker) return found;
  }
  return kNoWorker;
}

}  // namespace apricotwheel
