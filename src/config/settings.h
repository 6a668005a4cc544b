#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/document.h"
#include "kernel/clock.h"

namespace apricotwheel {

// The settings of one daemon. The table in settings.cc declares each field
// once, with its type, unit, default, range and help.
struct daemon_settings {
  std::string name;  // Unique in the cell.
  std::string failure_domain;
  std::string http_address;     // ip:port for callers and operators.
  std::string peer_address;     // ip:port for other daemons.
  std::string kv_address;       // ip:port of the key-value service.
  std::string vm_list_address;  // ip:port of the VM list.
  std::string peer_key_file;    // Shared key of all daemons, 32 bytes or more.
  // Plug-in that connects the daemon to the services of a platform. If it is
  // set, the daemon schedules the job graphs of that platform's queues.
  std::string service_adapter;
  std::string caller_address;     // ip:port for callers of queues.
  std::string readiness_address;  // ip:port for load balancer probes.
  std::string advisor_address;    // ip:port of the policy advisor.
  // Peer addresses of other daemons, which are queried for the document while
  // the key-value service cannot be reached.
  std::vector<std::string> seed_peers;

  duration lease_ttl = milliseconds(3000);
  duration lease_renew_interval = milliseconds(1000);
  duration gossip_interval = milliseconds(250);
  duration vm_list_interval = milliseconds(1000);
  duration worker_renew_interval = milliseconds(1000);
  // The lesser of `task_lease_ms` and `max_task_lease_ms`.
  duration task_lease = milliseconds(10'000);
  duration max_task_lease = milliseconds(600'000);
  duration worker_heartbeat{};
  // How long members may extend the authority of the owner of a pool after the
  // last confirmation by the key-value service.
  duration outage_extension = milliseconds(30'000);
  duration dispatch_authority = milliseconds(2500);
  duration clock_margin = milliseconds(250);
  duration key_retention = milliseconds(60'000);
  duration drain_timeout = milliseconds(30'000);
  duration readiness_grace = milliseconds(1000);
  duration job_commit_interval = milliseconds(25);

  std::int64_t max_http_connections = 512;
  std::int64_t max_body_bytes = 1 << 20;
  // Bounds of what the HTTP listeners read; see clients/request_limits.h.
  std::int64_t http_max_head_bytes = 32 << 10;
  std::int64_t http_max_line_bytes = 8192;
  std::int64_t http_max_fields = 2048;
  std::int64_t http_max_empty_lines = 16;
  duration http_head_timeout = milliseconds(10'000);
  duration http_body_timeout = milliseconds(30'000);
  std::int64_t http_memory_percent = 25;
  std::int64_t job_memory_percent = 25;
  std::int64_t machine_memory_mb = 0;  // 0: as the system reports it.
  std::int64_t max_frame_bytes = 8 << 20;
  std::int64_t max_handler_threads = 256;
  std::int64_t recorded_answer_bytes = 64 << 10;
  std::int64_t retry_budget_percent = 10;
  std::int64_t breaker_failures = 5;
  std::int64_t quarantine_failures = 5;
  // Workers of a pool that one owner carries. A larger pool is divided.
  std::int64_t partition_workers = 192;
  // First quarantine of a worker. It is short because jobs that only this
  // worker can run wait until it ends.
  duration quarantine = milliseconds(10'000);
  // The processor of the VM: the share of a core that the daemon gets, and how
  // many times as fast as one core it is.
  double processor_share = 1;
  double processor_cores = 1;
  double link_mbps = 0;  // Bandwidth of the VM's link; 0 if not known.
  // How many times as long tasks take away from the rack of their data. If it
  // is at most 1, no step waits for a place in that rack.
  double remote_slowdown = 1;
  std::string log_level = "info";  // debug, info, warning or error
};

struct settings_check {
  std::optional<daemon_settings> settings;  // Absent if there are faults.
  std::vector<config_fault> faults;
};

// Reads and checks a settings file, and reports all faults together.
settings_check LoadSettings(std::string_view path);
settings_check CheckSettings(std::string_view file, std::string_view text);

// Returns the settings as a Markdown table, for docs/operations.md and
// `--help`.
std::string DescribeSettings();

}  // namespace apricotwheel
