#pragma once

#include <memory>
#include <string>

#include "testing/cell/process_cell.h"

namespace apricotwheel::testing {

inline constexpr std::size_t kEchoInstanceCount = 12;

struct fault_cell_options {
  std::string name;  // Name of its folder, inside the tests' build folder.
  int base_port = 0;
  std::size_t daemons = 3;
  bool relay_kv = false;
  int max_recorded_response_bytes = 65'536;
};

// Returns a document with one service `echo` of `kEchoInstanceCount` instances.
// Documents of different `variant` differ only in a comment.
std::string FaultDocument(int variant = 0);

// Starts a cell and waits until all instances accept requests. Throws
// std::runtime_error with the cause if that fails.
std::unique_ptr<process_cell> StartFaultCell(const fault_cell_options& options);

// Posts to an admin path of a stand-in. Returns whether it succeeded.
bool PostAdmin(const std::string& address, const std::string& path,
               const nlohmann::json& body);
// Sets the same faults on all instances that any daemon lists. Returns the
// number of instances that confirmed them.
std::size_t SetInstanceFaults(const process_cell& cell,
                              const nlohmann::json& faults);

// Returns the index of the daemon that lists the most instances.
std::size_t FindDaemonWithMostInstances(const process_cell& cell);

}  // namespace apricotwheel::testing
