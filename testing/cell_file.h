#pragma once

#include <string>
#include <vector>

#include "clients/vm_list_client.h"
#include "kernel/error.h"

namespace apricotwheel::standins {

// A group of identical VMs of a cell, as one `--group` flag describes it.
struct cell_group {
  std::string name;
  int count = 0;
  resource_vector capacity;
  int per_rack = 1;
};

// Parses NAME:COUNT:CPU_MILLI:MEMORY_MIB:ACCELERATORS:PER_RACK.
result<cell_group> ParseGroup(const std::string& text);

// Builds the VM list of a cell. Each rack holds `per_rack` VMs of one group;
// racks are assigned to the failure domains round-robin. Agents listen on
// 127.0.0.1 on consecutive ports from `base_port`.
vm_list BuildCell(const std::vector<cell_group>& groups, int failure_domains,
                  int base_port);

// A cell file holds a JSON VM list as docs/contracts/vm-list.md defines it.
result<vm_list> ReadCellFile(const std::string& path);
result<void> WriteCellFile(const std::string& path, const vm_list& cell);

}  // namespace apricotwheel::standins
