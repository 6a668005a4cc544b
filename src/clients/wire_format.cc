#include "clients/wire_format.h"

#include <array>

namespace apricotwheel {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kTaskKinds = {"service", "batch",
                                                        "gang"};
constexpr std::array<std::string_view, 3> kPriorityClasses = {
    "urgent", "service", "batch"};
constexpr std::array<std::string_view, 5> kTaskStates = {
    "running", "finished", "failed", "checkpointed", "stopped"};
constexpr std::array<std::string_view, 2> kVmStates = {"live", "leaving"};

template <class Enum, std::size_t kCount>
std::string NameOf(const std::array<std::string_view, kCount>& names,
                   Enum value) {
  return std::string(names.at(static_cast<std::size_t>(value)));
}

template <class Enum, std::size_t kCount>
Enum ValueOf(const std::array<std::string_view, kCount>& names,
             const json& name) {
  const auto text = name.get<std::string>();
  for (std::size_t i = 0; i < kCount; ++i) {
    if (names[i] == text) return static_cast<Enum>(i);
  }
  throw json::other_error::create(501, "unknown value " + text, &name);
}

}  // namespace

json ToJson(const resource_vector& amounts) {
  return {{"cpu_milli", amounts.cpu_milli},
          {"memory_mib", amounts.memory_mib},
          {"accelerators", amounts.accelerators}};
}

json ToJson(const task_spec& spec) {
  return {{"task_id", spec.task_id},
          {"job_id", spec.job_id},
          {"workload", spec.workload},
          {"team", spec.team},
          {"kind", NameOf(kTaskKinds, spec.kind)},
          {"class", NameOf(kPriorityClasses, spec.priority)},
          {"shard", spec.shard},
          {"shard_epoch", spec.shard_epoch},
          {"resources", ToJson(spec.resources)},
          {"run_ms", spec.run_ms},
          {"slots", spec.slots},
          {"connections", spec.connections},
          {"checkpoint", spec.checkpoint}};
}

json ToJson(const task_status& status) {
  return {{"spec", ToJson(status.spec)},
          {"state", NameOf(kTaskStates, status.state)},
          {"used", ToJson(status.used)},
          {"address", status.address},
          {"checkpoint", status.checkpoint},
          {"message", status.message},
          {"age_ms", status.age_ms},
          {"ran_ms", status.ran_ms}};
}

json ToJson(const worker_snapshot& snapshot) {
  json encoded = {{"worker_clock_ms", snapshot.worker_clock_ms},
                  {"previous_renewal_age_ms", nullptr},
                  {"highest_epoch", snapshot.highest_epoch},
                  {"capacity", ToJson(snapshot.capacity)},
                  {"version", snapshot.version},
                  {"partial", snapshot.partial},
                  {"task_count", snapshot.task_count},
                  {"tasks", json::array()}};
  if (snapshot.previous_renewal_age_ms) {
    encoded["previous_renewal_age_ms"] = *snapshot.previous_renewal_age_ms;
  }
  for (const auto& task : snapshot.tasks)
    encoded["tasks"].push_back(ToJson(task));
  return encoded;
}

json ToJson(const vm_record& vm) {
  return {{"id", vm.id},
          {"address", vm.address},
          {"failure_domain", vm.failure_domain},
          {"rack", vm.rack},
          {"state", NameOf(kVmStates, vm.state)},
          {"capacity", ToJson(vm.capacity)}};
}

json ToJson(const vm_list& list) {
  json encoded = {{"version", list.version}, {"vms", json::array()}};
  for (const auto& vm : list.vms) encoded["vms"].push_back(ToJson(vm));
  return encoded;
}

resource_vector ResourcesFromJson(const json& body) {
  return {body.at("cpu_milli").get<std::int64_t>(),
          body.at("memory_mib").get<std::int64_t>(),
          body.at("accelerators").get<std::int64_t>()};
}

task_spec TaskSpecFromJson(const json& body) {
  task_spec spec;
  body.at("task_id").get_to(spec.task_id);
  body.at("job_id").get_to(spec.job_id);
  body.at("workload").get_to(spec.workload);
  body.at("team").get_to(spec.team);
  spec.kind = ValueOf<task_kind>(kTaskKinds, body.at("kind"));
  spec.priority = ValueOf<priority_class>(kPriorityClasses, body.at("class"));
  body.at("shard").get_to(spec.shard);
  body.at("shard_epoch").get_to(spec.shard_epoch);
  spec.resources = ResourcesFromJson(body.at("resources"));
  body.at("run_ms").get_to(spec.run_ms);
  body.at("slots").get_to(spec.slots);
  body.at("connections").get_to(spec.connections);
  body.at("checkpoint").get_to(spec.checkpoint);
  return spec;
}

task_status TaskStatusFromJson(const json& body) {
  task_status status;
  status.spec = TaskSpecFromJson(body.at("spec"));
  status.state = ValueOf<task_state>(kTaskStates, body.at("state"));
  status.used = ResourcesFromJson(body.at("used"));
  body.at("address").get_to(status.address);
  body.at("checkpoint").get_to(status.checkpoint);
  body.at("message").get_to(status.message);
  body.at("age_ms").get_to(status.age_ms);
  body.at("ran_ms").get_to(status.ran_ms);
  return status;
}

worker_snapshot WorkerSnapshotFromJson(const json& body) {
  worker_snapshot snapshot;
  body.at("worker_clock_ms").get_to(snapshot.worker_clock_ms);
  const auto& age = body.at("previous_renewal_age_ms");
  if (!age.is_null()) {
    snapshot.previous_renewal_age_ms = age.get<std::int64_t>();
  }
  body.at("highest_epoch").get_to(snapshot.highest_epoch);
  snapshot.capacity = ResourcesFromJson(body.at("capacity"));
  body.at("version").get_to(snapshot.version);
  body.at("partial").get_to(snapshot.partial);
  body.at("task_count").get_to(snapshot.task_count);
  for (const auto& task : body.at("tasks")) {
    snapshot.tasks.push_back(TaskStatusFromJson(task));
  }
  return snapshot;
}

vm_list VmListFromJson(const json& body) {
  vm_list list;
  body.at("version").get_to(list.version);
  for (const auto& entry : body.at("vms")) {
    vm_record vm;
    entry.at("id").get_to(vm.id);
    entry.at("address").get_to(vm.address);
    entry.at("failure_domain").get_to(vm.failure_domain);
    entry.at("rack").get_to(vm.rack);
    vm.state = ValueOf<vm_state>(kVmStates, entry.at("state"));
    vm.capacity = ResourcesFromJson(entry.at("capacity"));
    list.vms.push_back(std::move(vm));
  }
  return list;
}

result<std::string> SerializeBody(const json& body) {
  try {
    return body.dump();
  } catch (const json::exception&) {
    return Fail(error_kind::kInvalidArgument, "a text is not valid UTF-8",
                "encode binary values as text");
  }
}

}  // namespace apricotwheel
