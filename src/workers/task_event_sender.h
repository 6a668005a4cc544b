#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cluster/cluster_manager.h"
#include "workers/worker_fleet.h"

namespace apricotwheel {

// The pointers must outlive the call.
struct task_event_sender_options {
  std::string member_id;
  cluster_manager* cluster = nullptr;
  peer_node* peers = nullptr;
  worker_fleet* fleet = nullptr;
};

// Sends the fleet's pending events once to the owners of their shards and
// passes the acknowledged task ids to the fleet. Events that were not accepted
// stay pending. Returns true if any event stays pending.
bool SendPendingEvents(
    const task_event_sender_options& options,
    const worker_manager::task_events_handler& local_handler);

}  // namespace apricotwheel
