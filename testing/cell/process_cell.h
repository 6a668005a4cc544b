#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "testing/cell/child_process.h"
#include "testing/cell/tcp_relay.h"

namespace apricotwheel::testing {

struct process_cell_options {
  std::string work_folder;    // Is created. Logs, journal and settings.
  std::string daemon_path;    // Path of apricotwheeld.
  std::string standin_path;   // Path of apricotwheel_standin.
  std::string document_text;  // YAML.
  std::size_t daemon_count = 3;
  std::vector<std::string> vm_groups;  // Values of `--group` flags.
  int failure_domains = 3;
  int base_port = 0;  // 0 selects one by process id.
  std::map<std::string, std::string> setting_overrides;  // For all daemons.
  // Each daemon connects to the service through its own relay.
  bool relay_kv = false;
  bool relay_vm_list = false;
};

// An HTTP response; status 0 if none arrived.
struct http_response {
  int status = 0;
  std::string outcome;  // Header Apricotwheel-Outcome.
  std::string reason;
  std::string worker;
  std::string body;
  bool connected = true;  // False if the connection failed.
};

struct http_request {
  std::string method = "GET";
  std::string path;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  int timeout_ms = 15'000;
};

http_response SendRequest(const std::string& address, const http_request& call);

// A cell of stand-ins and daemons on loopback, each in its own process. The
// destructor ends all processes.
class process_cell {
 public:
  // Starts the stand-ins, stores the document as revision 1 and starts the
  // daemons. Does not wait until the daemons are ready.
  static result<std::unique_ptr<process_cell>> Start(
      process_cell_options options);
  ~process_cell();

  std::size_t DaemonCount() const { return daemons_.size(); }
  child_process& Daemon(std::size_t index) { return *daemons_[index]; }
  // Kills the daemon if it runs, and starts a new process.
  result<void> RestartDaemon(std::size_t index);
  child_process& Kv() { return *kv_; }
  child_process& VmList() { return *vm_list_; }
  child_process& Workers() { return *workers_; }
  tcp_relay& KvRelay(std::size_t daemon) { return *kv_relays_.at(daemon); }
  tcp_relay& VmListRelay(std::size_t daemon) {
    return *vm_list_relays_.at(daemon);
  }

  std::string DaemonAddress(std::size_t index) const;
  const std::string& KvAddress() const { return kv_address_; }
  const std::string& VmListAddress() const { return vm_list_address_; }
  const nlohmann::json& CellFile() const { return cell_file_; }
  std::string JournalPath() const;

  // Returns the status of one daemon, or an empty object if it does not
  // respond.
  nlohmann::json FetchDaemonStatus(std::size_t index) const;
  // Counts instances that accept requests over all daemons; "" counts those of
  // all services.
  std::size_t CountAcceptingInstances(const std::string& service = "") const;

  // Polls until `ready` returns true. Returns false after `timeout_ms`.
  template <class Predicate>
  bool WaitUntil(int timeout_ms, Predicate ready) const {
    const auto deadline = clock_->Now() + milliseconds(timeout_ms);
    while (!ready()) {
      if (clock_->Now() >= deadline) return false;
      clock_->SleepFor(milliseconds(50));
    }
    return true;
  }
  bool WaitForInstances(std::size_t count, int timeout_ms) const;

  // Stores the text as the next revision of the document. Returns the revision.
  result<std::uint64_t> ApplyDocument(const std::string& text,
                                      const std::string& author);

  runtime_clock& Clock() const { return *clock_; }

 private:
  explicit process_cell(process_cell_options options);
  result<void> StartStandins();
  result<void> StartDaemon(std::size_t index);
  result<std::unique_ptr<child_process>> LaunchProcess(
      const std::string& name, std::vector<std::string> arguments) const;
  std::string WriteSettings(std::size_t index) const;
  std::string LoopbackAddress(int offset) const;

  process_cell_options options_;
  clock_ptr clock_ = runtime_clock::Running();
  std::string kv_address_;
  std::string vm_list_address_;
  nlohmann::json cell_file_;
  std::unique_ptr<child_process> kv_;
  std::unique_ptr<child_process> vm_list_;
  std::unique_ptr<child_process> workers_;
  std::vector<std::unique_ptr<tcp_relay>> kv_relays_;
  std::vector<std::unique_ptr<tcp_relay>> vm_list_relays_;
  std::vector<std::unique_ptr<child_process>> daemons_;
};

}  // namespace apricotwheel::testing
