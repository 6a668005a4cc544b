#include "config/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include "config/fields.h"

namespace apricotwheel {
namespace {

using text_member = std::string daemon_settings::*;
using number_member = std::int64_t daemon_settings::*;
using duration_member = duration daemon_settings::*;
using decimal_member = double daemon_settings::*;
using list_member = std::vector<std::string> daemon_settings::*;
using setting_member = std::variant<text_member, number_member, duration_member,
                                    decimal_member, list_member>;

enum class setting_type {
  kName,
  kAddress,
  kAddressList,
  kPath,
  kChoice,
  kNumber,
  kDecimal,
  kDuration
};

// One setting. Its default is the initial value of the member.
struct setting_row {
  std::string_view key;
  setting_type type;
  std::string_view unit;
  setting_member member;
  bool is_required;
  std::int64_t low;   // In `unit`; 0 for texts.
  std::int64_t high;  // In `unit`; 0 for texts.
  std::string_view help;
};

constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                        "warning", "error"};

constexpr auto kName = setting_type::kName;
constexpr auto kAddress = setting_type::kAddress;
constexpr auto kNumber = setting_type::kNumber;
constexpr auto kDecimal = setting_type::kDecimal;
constexpr auto kDuration = setting_type::kDuration;
using s = daemon_settings;

// clang-format off
constexpr std::array<setting_row, 51> kSettings = {{
    {"name", kName, "", &s::name, true, 0, 0,
     "name of this daemon, unique in the cell"},
    {"failure_domain", kName, "", &s::failure_domain, true, 0, 0,
     "failure domain of the VM that the daemon runs on"},
    {"http_address", kAddress, "", &s::http_address, true, 0, 0,
     "address for callers and operators"},
    {"peer_address", kAddress, "", &s::peer_address, true, 0, 0,
     "address for other daemons"},
    {"kv_address", kAddress, "", &s::kv_address, true, 0, 0,
     "address of the key-value service"},
    {"vm_list_address", kAddress, "", &s::vm_list_address, false, 0, 0,
     "address of the VM list; required without a service_adapter"},
    {"peer_key_file", setting_type::kPath, "", &s::peer_key_file, false, 0, 0,
     "file with the shared key of all daemons, 32 bytes or more; required without a service_adapter, which keeps the key in the key-value service"},
    {"service_adapter", kName, "", &s::service_adapter, false, 0, 0,
     "plug-in for the services of a platform; the daemon then schedules the job graphs of its queues"},
    {"caller_address", kAddress, "", &s::caller_address, false, 0, 0,
     "address for callers of queues; required with a service_adapter"},
    {"readiness_address", kAddress, "", &s::readiness_address, false, 0, 0,
     "address for the balancer's probes; required with a service_adapter"},
    {"advisor_address", kAddress, "", &s::advisor_address, false, 0, 0,
     "address of the policy advisor of queues that have one"},
    {"seed_peers", setting_type::kAddressList, "", &s::seed_peers, false, 0, 0,
     "peer addresses of other daemons, asked for the document while the key-value service cannot be reached"},
    {"lease_ttl_ms", kDuration, "ms", &s::lease_ttl, false, 500, 60'000,
     "time until the key-value lease of a dead daemon expires"},
    {"lease_renew_interval_ms", kDuration, "ms", &s::lease_renew_interval, false, 50, 20'000,
     "time between renewals of the key-value lease"},
    {"gossip_interval_ms", kDuration, "ms", &s::gossip_interval, false, 10, 5000,
     "time between summaries sent to each other daemon"},
    {"vm_list_interval_ms", kDuration, "ms", &s::vm_list_interval, false, 50, 2500,
     "time between reads of the VM list; a leaving VM must be known within 5 s"},
    {"worker_renew_interval_ms", kDuration, "ms", &s::worker_renew_interval, false, 50, 20'000,
     "time between renewals of the task lease of an owned worker"},
    {"task_lease_ms", kDuration, "ms", &s::task_lease, false, 1000, 600'000,
     "time until the tasks of a worker that hears no owner end"},
    {"max_task_lease_ms", kDuration, "ms", &s::max_task_lease, false, 1000, 600'000,
     "a longer task_lease_ms is lowered to this; equal in all daemons, like task_lease_ms"},
    {"worker_heartbeat_ms", kDuration, "ms", &s::worker_heartbeat, false, 0, 60'000,
     "interval of the heartbeats that workers write to the key-value service; 0 if it is not known: an exit is then known only by the end of the leases"},
    {"outage_extension_ms", kDuration, "ms", &s::outage_extension, false, 0, 600'000,
     "longest time for which owners of pools act in an outage of the key-value service; equal in all daemons, like task_lease_ms"},
    {"dispatch_authority_ms", kDuration, "ms", &s::dispatch_authority, false, 200, 60'000,
     "time after a renewal in which requests may be sent to the worker"},
    {"clock_margin_ms", kDuration, "ms", &s::clock_margin, false, 10, 10'000,
     "margin for clock drift on authority and leases"},
    {"key_retention_ms", kDuration, "ms", &s::key_retention, false, 1000, 3'600'000,
     "time that the record of an idempotency key is kept"},
    {"drain_timeout_ms", kDuration, "ms", &s::drain_timeout, false, 100, 600'000,
     "longest time of a planned stop"},
    {"readiness_grace_ms", kDuration, "ms", &s::readiness_grace, false, 0, 60'000,
     "time between readiness false and the hand-over in a planned stop"},
    {"job_commit_interval_ms", kDuration, "ms", &s::job_commit_interval, false, 1, 1000,
     "time over which job records are collected into one write"},
    {"max_http_connections", kNumber, "connections", &s::max_http_connections, false, 1, 100'000,
     "connections of callers that are open at once"},
    {"max_body_bytes", kNumber, "bytes", &s::max_body_bytes, false, 1024, 64 << 20,
     "largest body of a request or response"},
    {"http_max_head_bytes", kNumber, "bytes", &s::http_max_head_bytes, false, 1024, 1 << 20,
     "largest head of a request"},
    {"http_max_line_bytes", kNumber, "bytes", &s::http_max_line_bytes, false, 256, 8192,
     "longest request line or header field, with its line end"},
    {"http_max_fields", kNumber, "fields", &s::http_max_fields, false, 8, 65'536,
     "header fields of a request"},
    {"http_max_empty_lines", kNumber, "lines", &s::http_max_empty_lines, false, 0, 1024,
     "empty lines before a request"},
    {"http_head_timeout_ms", kDuration, "ms", &s::http_head_timeout, false, 100, 600'000,
     "time from the first byte of a request to the end of its head"},
    {"http_body_timeout_ms", kDuration, "ms", &s::http_body_timeout, false, 100, 600'000,
     "time from the end of the head to the end of the body"},
    {"http_memory_percent", kNumber, "percent", &s::http_memory_percent, false, 1, 90,
     "part of the machine's memory that the requests of all callers may hold together"},
    {"job_memory_percent", kNumber, "percent", &s::job_memory_percent, false, 1, 90,
     "part of the machine's memory that the accepted jobs of all pools may take"},
    {"machine_memory_mb", kNumber, "MB", &s::machine_memory_mb, false, 0, 16 << 20,
     "memory of the machine; 0 takes what the system reports"},
    {"max_frame_bytes", kNumber, "bytes", &s::max_frame_bytes, false, 65'536, 256 << 20,
     "largest frame between daemons"},
    {"partition_workers", kNumber, "workers", &s::partition_workers, false, 8, 100'000,
     "a pool with more workers than this is divided over several owners"},
    {"max_handler_threads", kNumber, "threads", &s::max_handler_threads, false, 1, 4096,
     "threads for peer requests that block"},
    {"recorded_answer_bytes", kNumber, "bytes", &s::recorded_answer_bytes, false, 0, 16 << 20,
     "largest response that is recorded for an idempotency key"},
    {"retry_budget_percent", kNumber, "percent", &s::retry_budget_percent, false, 0, 100,
     "retries in percent of requests"},
    {"breaker_failures", kNumber, "failures", &s::breaker_failures, false, 1, 1000,
     "consecutive failures that open the circuit breaker of an instance"},
    {"quarantine_failures", kNumber, "failures", &s::quarantine_failures, false, 1, 1000,
     "failures of different jobs that put a worker into quarantine"},
    {"quarantine_ms", kDuration, "ms", &s::quarantine, false, 1000, 3'600'000,
     "first quarantine of a worker; each further one lasts twice as long"},
    {"processor_share", kDecimal, "cores", &s::processor_share, false, 0, 1024,
     "share of a core of the VM that the daemon gets; larger members own pools"},
    {"processor_cores", kDecimal, "cores", &s::processor_cores, false, 0, 1024,
     "factor of processor_share: cores that the VM provides together"},
    {"link_mbps", kDecimal, "Mbit/s", &s::link_mbps, false, 0, 1'000'000,
     "bandwidth of the VM's network link; 0 if it is not known"},
    {"remote_slowdown", kDecimal, "factor", &s::remote_slowdown, false, 1, 1000,
     "how many times as long tasks take away from the rack of their data; 1: no step waits for a place there"},
    {"log_level", setting_type::kChoice, "", &s::log_level, false, 0, 0,
     "lowest level that is logged: debug, info, warning or error"},
}};
// clang-format on

void ReadSetting(const setting_row& row, const yaml_node& node,
                 daemon_settings& settings, fault_list& faults) {
  if (const auto* number_field = std::get_if<number_member>(&row.member)) {
    ReadInteger(node, row.key, row.low, row.high, settings.**number_field,
                faults);
    return;
  }
  if (const auto* duration_field = std::get_if<duration_member>(&row.member)) {
    std::int64_t count = ToMs(settings.**duration_field);
    ReadInteger(node, row.key, row.low, row.high, count, faults);
    settings.** duration_field = milliseconds(count);
    return;
  }
  if (const auto* decimal_field = std::get_if<decimal_member>(&row.member)) {
    ReadDecimal(node, row.key, static_cast<double>(row.low),
                static_cast<double>(row.high), settings.**decimal_field,
                faults);
    return;
  }
  if (const auto* list_field = std::get_if<list_member>(&row.member)) {
    ReadAddressList(node, row.key, settings.**list_field, faults);
    return;
  }
  std::string& text = settings.*std::get<text_member>(row.member);
  switch (row.type) {
    case setting_type::kName:
      ReadName(node, row.key, text, faults);
      break;
    case setting_type::kAddress:
      ReadAddress(node, row.key, text, faults);
      break;
    case setting_type::kChoice: {
      std::size_t choice = 0;
      if (ReadChoice(node, row.key, kLogLevels, choice, faults)) {
        text = kLogLevels[choice];
      }
      break;
    }
    default:
      ReadText(node, row.key, text, faults);
      break;
  }
}

struct cross_field_rule {
  std::string_view key;
  bool (*holds)(const daemon_settings& settings);
  std::string_view message;
  std::string_view remedy;
};

// clang-format off
constexpr std::array<cross_field_rule, 13> kCrossFieldRules = {{
    {"lease_renew_interval_ms",
     [](const daemon_settings& v) { return 2 * v.lease_renew_interval <= v.lease_ttl; },
     "one lost renewal would end the lease",
     "write at most half of lease_ttl_ms"},
    {"worker_renew_interval_ms",
     [](const daemon_settings& v) { return 2 * v.worker_renew_interval + v.clock_margin <= v.dispatch_authority; },
     "one lost renewal would end the authority over instances",
     "write at most half of dispatch_authority_ms less clock_margin_ms"},
    {"clock_margin_ms",
     [](const daemon_settings& v) { return 2 * v.clock_margin <= v.dispatch_authority; },
     "the margin uses up the authority over instances",
     "write at most half of dispatch_authority_ms"},
    {"dispatch_authority_ms",
     [](const daemon_settings& v) { return v.dispatch_authority + 2 * v.clock_margin <= v.task_lease; },
     "requests could be sent to a task whose lease has expired",
     "write at most task_lease_ms, or max_task_lease_ms if that is less, less twice clock_margin_ms"},
    {"readiness_grace_ms",
     [](const daemon_settings& v) { return v.readiness_grace < v.drain_timeout; },
     "the planned stop would end before the hand-over starts",
     "write less than drain_timeout_ms"},
    {"max_frame_bytes",
     [](const daemon_settings& v) { return v.max_frame_bytes >= v.max_body_bytes + 65'536; },
     "a largest body would not fit into a frame",
     "write at least max_body_bytes plus 65536"},
    {"recorded_answer_bytes",
     [](const daemon_settings& v) { return v.recorded_answer_bytes <= v.max_body_bytes; },
     "no response is that large",
     "write at most max_body_bytes"},
    {"gossip_interval_ms",
     [](const daemon_settings& v) { return v.gossip_interval <= v.lease_ttl; },
     "peers would use summaries of expired members",
     "write at most lease_ttl_ms"},
    {"peer_address",
     [](const daemon_settings& v) { return v.peer_address.empty() || v.peer_address != v.http_address; },
     "the address is also the http_address",
     "use two ports"},
    {"vm_list_address",
     [](const daemon_settings& v) { return !v.service_adapter.empty() || !v.vm_list_address.empty(); },
     "required and missing",
     "add the key"},
    {"peer_key_file",
     [](const daemon_settings& v) { return !v.service_adapter.empty() || !v.peer_key_file.empty(); },
     "required and missing",
     "add the key"},
    {"caller_address",
     [](const daemon_settings& v) { return v.service_adapter.empty() || !v.caller_address.empty(); },
     "a service_adapter needs an address for callers",
     "add the key"},
    {"readiness_address",
     [](const daemon_settings& v) { return v.service_adapter.empty() || !v.readiness_address.empty(); },
     "a service_adapter needs an address for the balancer's probes",
     "add the key"},
}};
// clang-format on

// Returns the line of a key, or 0 for the whole file if the key is absent and
// its default takes part in the conflict.
int LineOf(const yaml_node& root, std::string_view key) {
  for (const auto& name : root.keys) {
    if (name.scalar == key) return name.line;
  }
  return 0;
}

void CheckKeyFile(std::string_view file, int line,
                  const daemon_settings& settings,
                  std::vector<config_fault>& faults) {
  constexpr std::size_t kMinKeyBytes = 32;
  std::ifstream stream(settings.peer_key_file, std::ios::binary);
  std::string bytes(kMinKeyBytes, '\0');
  if (!stream) {
    faults.push_back({std::string(file), line, "peer_key_file",
                      "'" + settings.peer_key_file + "' cannot be read",
                      "write the path of a readable file"});
    return;
  }
  stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (static_cast<std::size_t>(stream.gcount()) < kMinKeyBytes) {
    faults.push_back({std::string(file), line, "peer_key_file",
                      "the key has fewer than 32 bytes",
                      "create it with: head -c 32 /dev/urandom"});
  }
}

std::string TypeName(setting_type type) {
  switch (type) {
    case setting_type::kName:
      return "name";
    case setting_type::kAddress:
      return "ip:port";
    case setting_type::kAddressList:
      return "list of ip:port";
    case setting_type::kPath:
      return "path";
    case setting_type::kChoice:
      return "word";
    case setting_type::kDecimal:
      return "decimal";
    default:
      return "integer";
  }
}

std::string DefaultOf(const setting_row& row) {
  if (row.is_required) return "required";
  const daemon_settings defaults;
  if (const auto* number_field = std::get_if<number_member>(&row.member)) {
    return std::to_string(defaults.**number_field);
  }
  if (const auto* duration_field = std::get_if<duration_member>(&row.member)) {
    return std::to_string(ToMs(defaults.**duration_field));
  }
  if (const auto* decimal_field = std::get_if<decimal_member>(&row.member)) {
    std::ostringstream text;
    text << defaults.**decimal_field;
    return text.str();
  }
  if (std::holds_alternative<list_member>(row.member)) return "none";
  return defaults.*std::get<text_member>(row.member);
}

}  // namespace

settings_check CheckSettings(std::string_view file, std::string_view text) {
  settings_check check;
  const auto root = ParseYaml(file, text, check.faults);
  if (!root) return check;
  fault_list faults{std::string(file), {}};
  std::vector<std::string_view> keys;
  std::vector<std::string_view> required;
  for (const auto& row : kSettings) {
    keys.push_back(row.key);
    if (row.is_required) required.push_back(row.key);
  }
  daemon_settings settings;
  const auto values = FindFields(*root, "", keys, required, faults);
  for (std::size_t i = 0; i < kSettings.size(); ++i) {
    if (values[i] == nullptr) continue;
    ReadSetting(kSettings[i], *values[i], settings, faults);
  }
  settings.task_lease = std::min(settings.task_lease, settings.max_task_lease);
  for (const auto& rule : kCrossFieldRules) {
    if (rule.holds(settings)) continue;
    faults.Add(LineOf(*root, rule.key), rule.key, std::string(rule.message),
               std::string(rule.remedy));
  }
  check.faults = std::move(faults.faults);
  std::stable_sort(check.faults.begin(), check.faults.end(),
                   [](const config_fault& left, const config_fault& right) {
                     return left.line < right.line;
                   });
  if (check.faults.empty()) check.settings = std::move(settings);
  return check;
}

settings_check LoadSettings(std::string_view path) {
  std::ifstream stream{std::string(path), std::ios::binary};
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    settings_check failed;
    failed.faults.push_back({std::string(path), 0, "",
                             "the file cannot be read or is empty",
                             "write the path of a settings file"});
    return failed;
  }
  settings_check check = CheckSettings(path, text.str());
  if (!check.settings) return check;
  if (check.settings->service_adapter.empty()) {
    CheckKeyFile(path, 0, *check.settings, check.faults);
  }
  if (!check.faults.empty()) check.settings.reset();
  return check;
}

std::string DescribeSettings() {
  std::string table =
      "| key | type | unit | default | range | meaning |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  for (const auto& row : kSettings) {
    std::string range;
    if (row.high > 0) {
      range = std::to_string(row.low) + " to " + std::to_string(row.high);
    }
    table += "| `" + std::string(row.key) + "` | " + TypeName(row.type) +
             " | " + std::string(row.unit) + " | " + DefaultOf(row) + " | " +
             range + " | " + std::string(row.help) + " |\n";
  }
  return table;
}

}  // namespace apricotwheel
