#pragma once

#include <memory>
#include <string>

#include "testing/cell/process_cell.h"

namespace apricotwheel::testing {

inline constexpr std::size_t kEchoInstanceCount = 12;

struct fault_cell_options {
  std::string name;  // Folder below the build folder of these tests.
  int base_port = 0;
  std::size_t daemons = 3;
  bool relay_kv = false;
  int max_recorded_response_bytes = 65'536;
};

// Document with one service `echo` of `kFaultInstances` instances; `mark` makes
// texts differ.
std::string FaultDocument(int variant = 0);

// Starts a cell and waits until all instances accept requests. Throws with the
// cause if it does not get there.
std::unique_ptr<process_cell> StartFaultCell(const fault_cell_options& options);

// Posts to an admin path of a stand-in.
bool PostAdmin(const std::string& address, const std::string& path,
               const nlohmann::json& body);
// Posts the same faults to all instances that a daemon knows.
std::size_t SetInstanceFaults(const process_cell& cell,
                              const nlohmann::json& faults);

// Index of the daemon that owns the most accepting instances.
std::size_t FindDaemonWithMostInstances(const process_cell& cell);

}  // namespace apricotwheel::testing
