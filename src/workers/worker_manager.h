#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "clients/worker_client.h"
#include "cluster/cluster_manager.h"
#include "kernel/clock.h"
#include "kernel/error.h"
#include "placement/cell_state.h"

namespace apricotwheel {

// A running service instance on a worker that this daemon owns.
struct instance_record {
  std::string task_id;
  std::string service;
  std::string address;  // ip:port
  std::string worker;
  std::string partition;
  std::uint64_t epoch = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool accepting = false;  // False while its worker leaves or is unresponsive.
  // Until when requests may be sent to it. Renewed about each second.
  time_point authority_expires_at;
  // False until the predecessor's authority has certainly ended. While false
  // nothing may be sent.
  bool predecessor_authority_ended = false;
  // True if a predecessor may have requests in flight here: its use of slots
  // and connections must be read from the instance and counted as taken.
  bool may_have_predecessor_requests = false;
};

struct worker_status {
  std::string worker;
  std::string partition;
  std::uint64_t epoch = 0;
  std::string state;  // claiming, ready, unresponsive, leaving, quarantined
  resource_vector capacity;
  resource_vector free;
  std::size_t tasks = 0;
};

struct worker_manager_options {
  daemon_settings settings;
  std::string member_id;
  cluster_manager* cluster = nullptr;  // These outlive the manager.
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
  std::uint64_t random_seed = 1;
};

// Owns the claims, leases and tasks of all workers of the partitions that this
// daemon owns: one thread for each worker. Serves the peer messages place,
// stop and inventory, and sends task events to the owners of shards.
// Thread-safe.
class worker_manager {
 public:
  using instances_callback =
      std::function<void(std::span<const instance_record>)>;

  static result<std::unique_ptr<worker_manager>> Create(
      worker_manager_options options);
  ~worker_manager();

  // Called with all instances whenever one appears, goes or changes. Set before
  // `Start`; must not block.
  void SetInstancesCallback(instances_callback callback);

  // Registers the peer handlers and follows the cluster's view.
  result<void> Start();

  // The local forms of the peer messages, also used for this daemon's own
  // shards.
  wire::place_responseT PlaceTasks(const wire::place_requestT& request);
  wire::stop_responseT StopTasks(const wire::stop_requestT& request);
  wire::inventory_responseT BuildInventory(
      const wire::inventory_requestT& request);

  // The authority deadline of one instance at this moment, or absent if
  // nothing may be sent to it. Read directly before each send.
  std::optional<time_point> DispatchAuthorityExpiry(
      std::string_view task_id) const;

  std::vector<instance_record> Instances() const;
  std::vector<worker_status> Workers() const;
  std::vector<std::string> ExplainPlacement(const wire::taskT& task) const;
  void FillGossip(wire::gossipT& gossip) const;

  // Delivers a task event of an own worker to the local job owner. Returns the
  // ids whose end is committed. Set before `Start`.
  using task_events_handler = std::function<std::vector<std::string>(
      std::span<const wire::running_taskT>)>;
  void SetTaskEventsHandler(task_events_handler handler);

  // Planned stop: releases all workers, so that successors need not wait.
  void ReleaseWorkers();
  void Stop();

 private:
  struct state;
  explicit worker_manager(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

// Conversions between the wire form and the platform form of a task.
task_spec ToTaskSpec(const wire::taskT& task);
wire::taskT ToWire(const task_spec& spec);
resource_vector ToResources(const wire::resources& amounts);
wire::resources ToWire(const resource_vector& amounts);

}  // namespace apricotwheel
