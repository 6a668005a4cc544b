#include "tests/faults_requests/fault_cell.h"

#include <filesystem>
#include <set>
#include <stdexcept>

#include "kernel/random.h"

namespace apricotwheel::testing {

namespace {

constexpr int kStartTimeoutMs = 60'000;
constexpr int kProbeKeys = 100;  // Enough to reach nearly every shard.

// Returns whether requests with an idempotency key and no ticket complete.
// After a shard moves to another daemon, as during the start, its key history
// is incomplete for one retention period and such requests end as `unknown`.
bool AreKeyedRequestsAccepted(const process_cell& cell) {
  for (int key = 0; key < kProbeKeys; ++key) {
    const http_response response = SendRequest(
        cell.DaemonAddress(0), {"POST",
                                "/v1/services/echo/probe",
                                "",
                                {{"Idempotency-Key", "probe-" + RandomHex(8)}},
                                5000});
    if (response.outcome != "completed") return false;
  }
  return true;
}

}  // namespace

std::string FaultDocument(int variant) {
  return "# " + std::to_string(variant) + R"(
version: 1
cell: faults
teams:
  - name: web
    weight: 1
    quota: {cpu_milli: 200000, memory_mib: 400000}
workloads:
  - name: echo
    kind: service
    team: web
    policy: waiting-first
    instances: 12
    resources: {cpu_milli: 6000, memory_mib: 8192}
    slots: 8
    connections: 64
    queue_limit: 512
    deadline_ms: 3000
)";
}

std::unique_ptr<process_cell> StartFaultCell(
    const fault_cell_options& options) {
  process_cell_options cell;
  cell.work_folder = std::string(APRICOTWHEEL_WORK_FOLDER) + "/" + options.name;
  std::filesystem::remove_all(cell.work_folder);
  cell.daemon_path = APRICOTWHEEL_DAEMON_PATH;
  cell.standin_path = APRICOTWHEEL_STANDIN_PATH;
  cell.document_text = FaultDocument();
  cell.daemon_count = options.daemons;
  // Two VMs per rack make six partitions: enough for each daemon to own some.
  cell.vm_groups = {"vm:12:8000:16384:0:2"};
  cell.base_port = options.base_port;
  cell.relay_kv = options.relay_kv;
  // Short enough for the key history to be complete again soon after the loss
  // of a daemon, and longer than the callers' retry window (4 s) plus the
  // longest freeze of a daemon (5 s).
  cell.setting_overrides = {
      {"key_retention_ms", "12000"},
      {"recorded_answer_bytes",
       std::to_string(options.max_recorded_response_bytes)}};
  auto started = Attempt([&] { return process_cell::Start(cell); });
  if (!started) throw std::runtime_error(Describe(started.failure));
  if (!(*started)->WaitForInstances(kEchoInstanceCount, kStartTimeoutMs)) {
    throw std::runtime_error(
        "not all instances accept requests; see the logs in " +
        cell.work_folder);
  }
  if (!(*started)->WaitUntil(kStartTimeoutMs, [&] {
        return AreKeyedRequestsAccepted(**started);
      })) {
    throw std::runtime_error(
        "keyed requests do not complete; see the logs in " + cell.work_folder);
  }
  return std::move(*started);
}

bool PostAdmin(const std::string& address, const std::string& path,
               const nlohmann::json& body) {
  return SendRequest(address, {"POST", path, body.dump(), {}, 5000}).status ==
         200;
}

std::size_t SetInstanceFaults(const process_cell& cell,
                              const nlohmann::json& faults) {
  std::set<std::string> addresses;
  for (std::size_t index = 0; index < cell.DaemonCount(); ++index) {
    const nlohmann::json status = cell.FetchDaemonStatus(index);
    if (!status.contains("instances")) continue;
    for (const auto& instance : status["instances"]) {
      addresses.insert(instance["address"].get<std::string>());
    }
  }
  std::size_t reached = 0;
  for (const std::string& address : addresses) {
    if (PostAdmin(address, "/admin/faults", faults)) ++reached;
  }
  return reached;
}

std::size_t FindDaemonWithMostInstances(const process_cell& cell) {
  std::size_t owner = 0;
  std::size_t max_instances = 0;
  for (std::size_t index = 0; index < cell.DaemonCount(); ++index) {
    const nlohmann::json status = cell.FetchDaemonStatus(index);
    if (!status.contains("instances")) continue;
    if (status["instances"].size() > max_instances) {
      max_instances = status["instances"].size();
      owner = index;
    }
  }
  return owner;
}

}  // namespace apricotwheel::testing
