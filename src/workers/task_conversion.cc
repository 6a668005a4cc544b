#include "workers/worker_manager.h"

namespace apricotwheel {

resource_vector ToResources(const wire::resources& amounts) {
  return {amounts.cpu_milli(), amounts.memory_mib(), amounts.accelerators()};
}

wire::resources ToWire(const resource_vector& amounts) {
  return {amounts.cpu_milli, amounts.memory_mib, amounts.accelerators};
}

task_spec ToTaskSpec(const wire::taskT& task) {
  task_spec spec;
  spec.task_id = task.task_id;
  spec.job_id = task.job_id;
  spec.workload = task.workload;
  spec.team = task.team;
  spec.kind = static_cast<task_kind>(task.kind);
  spec.priority = static_cast<priority_class>(task.priority);
  spec.shard = task.shard;
  spec.shard_epoch = task.shard_epoch;
  if (task.need) spec.resources = ToResources(*task.need);
  spec.run_ms = task.run_ms;
  spec.slots = task.slots;
  spec.connections = task.connections;
  spec.checkpoint = task.checkpoint;
  return spec;
}

wire::taskT ToWire(const task_spec& spec) {
  wire::taskT task;
  task.task_id = spec.task_id;
  task.job_id = spec.job_id;
  task.workload = spec.workload;
  task.team = spec.team;
  task.kind = static_cast<std::uint8_t>(spec.kind);
  task.priority = static_cast<std::uint8_t>(spec.priority);
  task.shard = spec.shard;
  task.shard_epoch = spec.shard_epoch;
  task.need = std::make_unique<wire::resources>(ToWire(spec.resources));
  task.run_ms = spec.run_ms;
  task.slots = spec.slots;
  task.connections = spec.connections;
  task.checkpoint = spec.checkpoint;
  return task;
}

}  // namespace apricotwheel
