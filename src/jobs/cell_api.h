#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/cluster_manager.h"

namespace apricotwheel {

// The capacity of one member's workers, as the member publishes it.
struct member_capacity {
  std::string member_id;
  resource_vector free;
  // Free amounts of the workers with the most free capacity.
  std::vector<resource_vector> largest_free;
  resource_vector largest_worker;  // Capacity of its largest worker.
};

// The state of the cell as a shard owner sees it at one moment.
struct cell_snapshot {
  cluster_view_ptr view;
  std::shared_ptr<const cell_document> document;
  std::shared_ptr<const vm_list> vms;
  std::vector<member_capacity> capacities;  // Sorted by member id.
};

// The requests of a shard owner to the owners of partitions, as functions, so
// that tests can replace the network. `member` may be this daemon.
struct cell_api {
  std::function<cell_snapshot()> snapshot;
  std::function<outcome<wire::place_responseT>(
      const std::string& member, const wire::place_requestT& request)>
      place;
  std::function<outcome<wire::stop_responseT>(
      const std::string& member, const wire::stop_requestT& request)>
      stop;
  std::function<outcome<wire::inventory_responseT>(
      const std::string& member, const wire::inventory_requestT& request)>
      inventory;
  // Returns the reasons why the task cannot be placed on this daemon's workers.
  std::function<std::vector<std::string>(const wire::taskT& task)>
      explain_placement;
};

}  // namespace apricotwheel
