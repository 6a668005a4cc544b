#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/cluster_manager.h"

namespace apricotwheel {

// The published room of a daemon that owns workers.
struct member_capacity {
  std::string member_id;
  resource_vector free;
  std::vector<resource_vector> largest_free;  // Free amounts of single workers.
  resource_vector largest_worker;             // Capacity of its largest worker.
};

// What a job owner knows about the cell at one moment.
struct cell_snapshot {
  cluster_view_ptr view;
  std::shared_ptr<const cell_document> document;
  std::shared_ptr<const vm_list> vms;
  std::vector<member_capacity> capacities;  // By member id.
};

// What a job owner asks of the owners of partitions, as plain functions, so
// that tests can answer without a network. `member` may be this daemon.
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
  std::function<std::vector<std::string>(const wire::taskT& task)>
      explain_placement;
};

}  // namespace apricotwheel
