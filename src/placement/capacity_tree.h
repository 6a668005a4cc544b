#pragma once

#include <cstdint>
#include <vector>

#include "kernel/resources.h"

namespace apricotwheel {

inline constexpr std::uint32_t kNoNode = UINT32_MAX;

// Search trees (treaps) over workers, ordered by free processors and augmented
// with the largest free memory in each subtree. All trees share one array with
// one node for each worker, so that updates do not allocate memory. Callers
// keep one tree for each number of accelerators; a search for a minimum of
// processors and memory then visits O(log n) nodes.
class capacity_tree {
 public:
  // Adds nodes until there is one for each of `count` workers.
  void Resize(std::size_t count);

  void Insert(std::uint32_t& root, std::uint32_t worker,
              const resource_vector& amount);
  void Erase(std::uint32_t& root, std::uint32_t worker);

  // Calls `visit(worker)` for the workers with at least `need` processors and
  // memory, from the smallest processor amount up, until it returns true.
  // Returns true if a call did.
  template <class Visit>
  bool VisitAscending(std::uint32_t root, const resource_vector& need,
                      Visit& visit) const {
    if (root == kNoNode) return false;
    const node& current = nodes_[root];
    if (current.max_memory < need.memory_mib) return false;
    if (current.cpu >= need.cpu_milli) {
      if (VisitAscending(current.left, need, visit)) return true;
      if (current.memory >= need.memory_mib && visit(root)) return true;
    }
    return VisitAscending(current.right, need, visit);
  }

  // Like `VisitAscending`, from the largest processor amount down.
  template <class Visit>
  bool VisitDescending(std::uint32_t root, const resource_vector& need,
                       Visit& visit) const {
    if (root == kNoNode) return false;
    const node& current = nodes_[root];
    if (current.max_memory < need.memory_mib) return false;
    if (VisitDescending(current.right, need, visit)) return true;
    if (current.cpu < need.cpu_milli) return false;
    if (current.memory >= need.memory_mib && visit(root)) return true;
    return VisitDescending(current.left, need, visit);
  }

 private:
  struct node {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t max_memory = 0;
    std::uint32_t left = kNoNode;
    std::uint32_t right = kNoNode;
    std::uint32_t priority = 0;
  };

  // Orders workers by processors, then by memory, then by number.
  bool IsBefore(std::uint32_t left, std::uint32_t right) const;
  // Recomputes the largest memory amount of a node from its children.
  void UpdateMaxMemory(std::uint32_t root);
  // Divides a tree into the nodes before `pivot` and those after it.
  void Split(std::uint32_t root, std::uint32_t pivot, std::uint32_t& before,
             std::uint32_t& after);
  // Joins two trees; all nodes of the first come before those of the second.
  std::uint32_t Merge(std::uint32_t before, std::uint32_t after);
  void InsertBelow(std::uint32_t& root, std::uint32_t worker);

  std::vector<node> nodes_;
};

}  // namespace apricotwheel
