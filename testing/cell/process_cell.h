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
  std::string work_folder;    // Created; holds logs, journal and settings.
  std::string daemon_path;    // Path of apricotwheeld.
  std::string standin_path;   // Path of apricotwheel_standin.
  std::string document_text;  // Text of the operators' document.
  std::size_t daemon_count = 3;
  std::vector<std::string>
      vm_groups;  // As `apricotwheel_standin cell --group`.
  int failure_domains = 3;
  int base_port = 0;  // 0: derived from the process id.
  std::map<std::string, std::string>
      setting_overrides;  // Overrides of all daemons.
  bool relay_kv = false;  // Each daemon reaches the service through a relay.
  bool relay_vm_list = false;  // The same for the VM list.
};

// One HTTP answer; status 0 if there was none.
struct http_response {
  int status = 0;
  std::string outcome;  // Apricotwheel-Outcome
  std::string reason;
  std::string worker;
  std::string body;
  bool connected = true;  // False if no connection could be opened.
};

struct http_request {
  std::string method = "GET";
  std::string path;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  int timeout_ms = 15'000;
};

http_response SendRequest(const std::string& address, const http_request& call);

// A cell of stand-ins and daemons, each a process of its own on loopback.
// All processes end with the object.
class process_cell {
 public:
  // Starts the stand-ins, stores the document as revision 1 and starts the
  // daemons. Does not wait for readiness.
  static result<std::unique_ptr<process_cell>> Start(
      process_cell_options options);
  ~process_cell();

  std::size_t DaemonCount() const { return daemons_.size(); }
  child_process& Daemon(std::size_t index) { return *daemons_[index]; }
  // Starts the daemon again, as a new process with empty memory.
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

  // Status of one daemon; empty if it does not answer.
  nlohmann::json FetchDaemonStatus(std::size_t index) const;
  // Accepting instances over the given daemons, by service ("" for all).
  std::size_t CountAcceptingInstances(const std::string& service = "") const;

  // Polls until `ready` holds; false after `timeout_ms`.
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

  // Writes the next revision of the document. Returns its revision.
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
