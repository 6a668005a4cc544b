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
  // False while it is being stopped and while its worker is leaving or
  // unresponsive.
  bool accepting = false;
  // Until when requests may be sent to it. Extended about every second.
  time_point authority_expires_at;
  // False while the previous owner of the worker may still send requests. No
  // requests may be sent then.
  bool predecessor_authority_ended = false;
  // True if the previous owner may have requests in flight here. The slots and
  // connections in use must then be read from the instance.
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
  // The pointers must outlive the manager.
  cluster_manager* cluster = nullptr;
  peer_node* peers = nullptr;
  clock_ptr clock;
  log_sink log;
  metrics_ptr metrics;
  std::uint64_t random_seed = 1;
};

// Manages the workers of the partitions that this daemon owns, with one thread
// per worker: claims them, renews their leases and runs tasks on them. Handles
// the peer requests place, stop and inventory, and sends task events to the
// shard owners. Thread-safe.
class worker_manager {
 public:
  using instances_callback =
      std::function<void(std::span<const instance_record>)>;

  static result<std::unique_ptr<worker_manager>> Create(
      worker_manager_options options);
  ~worker_manager();

  // Sets a callback that gets all instances whenever one is added, removed or
  // changed. Must be called before `Start`; the callback must not block.
  void SetInstancesCallback(instances_callback callback);

  // Registers the peer handlers and starts to follow the cluster view.
  result<void> Start();

  // Handle the peer requests. The job manager calls them directly for shards
  // that this daemon owns itself.
  wire::place_responseT PlaceTasks(const wire::place_requestT& request);
  wire::stop_responseT StopTasks(const wire::stop_requestT& request);
  wire::inventory_responseT BuildInventory(
      const wire::inventory_requestT& request);

  // Returns until when requests may be sent to an instance, or nothing if none
  // may be sent now. Must be read directly before each send.
  std::optional<time_point> DispatchAuthorityExpiry(
      std::string_view task_id) const;

  std::vector<instance_record> Instances() const;
  std::vector<worker_status> Workers() const;
  // Returns the reasons why the task cannot be placed on an owned worker.
  std::vector<std::string> ExplainPlacement(const wire::taskT& task) const;
  // Sets the free capacity of the owned workers and whether all are claimed.
  void FillGossip(wire::gossipT& gossip) const;

  // Handles task events of shards that this daemon owns itself. Returns the ids
  // of the tasks whose event was accepted. Must be set before `Start`.
  using task_events_handler = std::function<std::vector<std::string>(
      std::span<const wire::running_taskT>)>;
  void SetTaskEventsHandler(task_events_handler handler);

  // For a planned stop: releases all workers, so that their next owners need
  // not wait until this daemon's authority expires.
  void ReleaseWorkers();
  void Stop();

 private:
  struct state;
  explicit worker_manager(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

// Conversions between the peer messages and the types of `worker_client`.
task_spec ToTaskSpec(const wire::taskT& task);
wire::taskT ToWire(const task_spec& spec);
resource_vector ToResources(const wire::resources& amounts);
wire::resources ToWire(const resource_vector& amounts);

}  // namespace apricotwheel
