#include "testing/cell/process_cell.h"

#include <httplib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "clients/http_listener.h"
#include "clients/kv_client.h"
#include "config/document.h"
#include "kernel/random.h"

namespace apricotwheel::testing {

namespace {

// Each cell uses a range of ports. All ranges lie below 32768, because Linux
// assigns no port below it to outgoing connections by default.
constexpr int kPortsPerCell = 400;
constexpr int kFirstPort = 10'000;
constexpr int kPortRanges = 55;
// Offsets within the range, with consecutive ports for daemons, relays and
// workers. Offset 0 is the key-value service, 1 the VM list.
constexpr int kHttpPortOffset = 2;
constexpr int kPeerPortOffset = 20;
constexpr int kKvRelayPortOffset = 40;
constexpr int kVmListRelayPortOffset = 50;
constexpr int kWorkerPortOffset = 60;
constexpr int kStandinStartTimeoutMs = 10'000;
constexpr std::size_t kPeerKeyBytes = 32;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
}

}  // namespace

http_response SendRequest(const std::string& address,
                          const http_request& call) {
  const auto endpoint = Attempt([&] { return ParseEndpoint(address); });
  if (!endpoint) return {};
  httplib::Client client(endpoint->ip, endpoint->port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(1);
  client.set_read_timeout(call.timeout_ms / 1000,
                          (call.timeout_ms % 1000) * 1000);
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  for (const auto& [name, value] : call.headers) {
    request.set_header(name, value);
  }
  const auto response = client.send(request);
  if (!response) {
    http_response failed;
    failed.connected = response.error() != httplib::Error::Connection;
    return failed;
  }
  return {response->status,
          response->get_header_value("Apricotwheel-Outcome"),
          response->get_header_value("Apricotwheel-Reason"),
          response->get_header_value("Apricotwheel-Worker"),
          response->body,
          true};
}

process_cell::process_cell(process_cell_options options)
    : options_(std::move(options)) {
  if (options_.base_port == 0) {
    options_.base_port = kFirstPort + (getpid() % kPortRanges) * kPortsPerCell;
  }
  kv_address_ = LoopbackAddress(0);
  vm_list_address_ = LoopbackAddress(1);
}

process_cell::~process_cell() {
  // Daemons end first; otherwise they log errors about lost stand-ins.
  daemons_.clear();
  kv_relays_.clear();
  vm_list_relays_.clear();
}

std::string process_cell::LoopbackAddress(int offset) const {
  return "127.0.0.1:" + std::to_string(options_.base_port + offset);
}

std::string process_cell::DaemonAddress(std::size_t index) const {
  return LoopbackAddress(kHttpPortOffset + static_cast<int>(index));
}

std::string process_cell::JournalPath() const {
  return options_.work_folder + "/journal.jsonl";
}

result<std::unique_ptr<process_cell>> process_cell::Start(
    process_cell_options options) {
  std::filesystem::create_directories(options.work_folder);
  std::unique_ptr<process_cell> cell(new process_cell(std::move(options)));
  WriteFile(cell->options_.work_folder + "/peer.key", RandomHex(kPeerKeyBytes));
  BOOST_LEAF_CHECK(cell->StartStandins());
  BOOST_LEAF_CHECK(cell->ApplyDocument(cell->options_.document_text, "test"));
  cell->daemons_.resize(cell->options_.daemon_count);
  for (std::size_t index = 0; index < cell->daemons_.size(); ++index) {
    if (cell->options_.relay_kv) {
      BOOST_LEAF_AUTO(relay, tcp_relay::Start(
                                 cell->LoopbackAddress(kKvRelayPortOffset +
                                                       static_cast<int>(index)),
                                 cell->kv_address_));
      cell->kv_relays_.push_back(std::move(relay));
    }
    if (cell->options_.relay_vm_list) {
      BOOST_LEAF_AUTO(relay, tcp_relay::Start(
                                 cell->LoopbackAddress(kVmListRelayPortOffset +
                                                       static_cast<int>(index)),
                                 cell->vm_list_address_));
      cell->vm_list_relays_.push_back(std::move(relay));
    }
    BOOST_LEAF_CHECK(cell->StartDaemon(index));
  }
  return cell;
}

result<std::unique_ptr<child_process>> process_cell::LaunchProcess(
    const std::string& name, std::vector<std::string> arguments) const {
  return child_process::Start(
      {std::move(arguments), options_.work_folder + "/" + name + ".log"});
}

result<void> process_cell::StartStandins() {
  const std::string cell_file = options_.work_folder + "/cell.json";
  std::vector<std::string> generate = {options_.standin_path, "cell"};
  for (const std::string& group : options_.vm_groups) {
    generate.insert(generate.end(), {"--group", group});
  }
  generate.insert(
      generate.end(),
      {"--failure-domains", std::to_string(options_.failure_domains),
       "--base-port", std::to_string(options_.base_port + kWorkerPortOffset)});
  {
    BOOST_LEAF_AUTO(generator, child_process::Start({generate, cell_file}));
    if (generator->WaitForExit(kStandinStartTimeoutMs) != 0) {
      return Fail(error_kind::kIo, "generating the cell file failed",
                  "read " + cell_file);
    }
  }
  cell_file_ = nlohmann::json::parse(ReadFile(cell_file));
  BOOST_LEAF_ASSIGN(kv_, LaunchProcess("kv", {options_.standin_path, "kv",
                                              "--listen", kv_address_}));
  BOOST_LEAF_ASSIGN(
      vm_list_,
      LaunchProcess("vmlist", {options_.standin_path, "vmlist", "--listen",
                               vm_list_address_, "--cell", cell_file}));
  BOOST_LEAF_ASSIGN(
      workers_,
      LaunchProcess("workers", {options_.standin_path, "worker", "--cell",
                                cell_file, "--journal", JournalPath()}));
  const auto is_ready = [&](const std::string& name) {
    return ReadFile(options_.work_folder + "/" + name + ".log").find("ready") !=
           std::string::npos;
  };
  for (const char* name : {"kv", "vmlist", "workers"}) {
    if (!WaitUntil(kStandinStartTimeoutMs, [&] { return is_ready(name); })) {
      return Fail(error_kind::kTimeout,
                  "the stand-in " + std::string(name) + " did not become ready",
                  "read its log in " + options_.work_folder);
    }
  }
  return {};
}

std::string process_cell::WriteSettings(std::size_t index) const {
  const std::string name = "daemon-" + std::to_string(index + 1);
  std::map<std::string, std::string> values = {
      {"name", name},
      {"failure_domain",
       "fd-" +
           std::to_string(
               index % static_cast<std::size_t>(options_.failure_domains) + 1)},
      {"http_address", DaemonAddress(index)},
      {"peer_address",
       LoopbackAddress(kPeerPortOffset + static_cast<int>(index))},
      {"kv_address",
       options_.relay_kv ? kv_relays_.at(index)->Address() : kv_address_},
      {"vm_list_address", options_.relay_vm_list
                              ? vm_list_relays_.at(index)->Address()
                              : vm_list_address_},
      {"peer_key_file", options_.work_folder + "/peer.key"}};
  for (const auto& [key, value] : options_.setting_overrides)
    values[key] = value;
  std::string text;
  for (const auto& [key, value] : values) {
    text += key;
    text += ": ";
    text += value;
    text += "\n";
  }
  std::string path = options_.work_folder + "/" + name + ".yaml";
  WriteFile(path, text);
  return path;
}

result<void> process_cell::StartDaemon(std::size_t index) {
  BOOST_LEAF_ASSIGN(daemons_[index],
                    LaunchProcess("daemon-" + std::to_string(index + 1),
                                  {options_.daemon_path, "--settings",
                                   WriteSettings(index)}));
  return {};
}

result<void> process_cell::RestartDaemon(std::size_t index) {
  daemons_[index].reset();
  return StartDaemon(index);
}

nlohmann::json process_cell::FetchDaemonStatus(std::size_t index) const {
  const http_response response =
      SendRequest(DaemonAddress(index), {"GET", "/v1/status", "", {}, 2000});
  if (response.status != 200) return nlohmann::json::object();
  return nlohmann::json::parse(response.body, nullptr, false);
}

std::size_t process_cell::CountAcceptingInstances(
    const std::string& service) const {
  std::size_t total = 0;
  for (std::size_t index = 0; index < daemons_.size(); ++index) {
    const nlohmann::json status = FetchDaemonStatus(index);
    if (!status.contains("instances")) continue;
    for (const auto& instance : status["instances"]) {
      const bool wanted = service.empty() || instance["service"] == service;
      if (wanted && instance["accepting"] == true) ++total;
    }
  }
  return total;
}

bool process_cell::WaitForInstances(std::size_t count, int timeout_ms) const {
  return WaitUntil(timeout_ms,
                   [&] { return CountAcceptingInstances() == count; });
}

result<std::uint64_t> process_cell::ApplyDocument(const std::string& text,
                                                  const std::string& author) {
  BOOST_LEAF_AUTO(kv, kv_client::Create({kv_address_}));
  BOOST_LEAF_AUTO(stored, kv->Get(kDocumentKey));
  document_envelope next;
  if (stored) {
    BOOST_LEAF_AUTO(current, DecodeEnvelope(stored->value));
    next.previous_revision = current.revision;
  }
  next.revision = next.previous_revision + 1;
  next.author = author;
  next.written_at_ms = WallClockMs();
  next.change_id = RandomHex(8);
  next.text = text;
  kv_put_options options;
  options.expected_revision = stored ? stored->revision : 0;
  BOOST_LEAF_CHECK(kv->Put(kDocumentKey, EncodeEnvelope(next), options));
  return next.revision;
}

}  // namespace apricotwheel::testing
