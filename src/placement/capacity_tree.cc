#include "placement/capacity_tree.h"

#include <algorithm>

#include "kernel/random.h"

namespace apricotwheel {

void capacity_tree::Resize(std::size_t count) {
  while (nodes_.size() < count) {
    random_source random{nodes_.size()};
    node added;
    added.priority = static_cast<std::uint32_t>(NextU64(random));
    nodes_.push_back(added);
  }
}

void capacity_tree::Insert(std::uint32_t& root, std::uint32_t worker,
                           const resource_vector& amount) {
  node& added = nodes_[worker];
  added.cpu = amount.cpu_milli;
  added.memory = amount.memory_mib;
  added.max_memory = amount.memory_mib;
  added.left = kNoNode;
  added.right = kNoNode;
  InsertBelow(root, worker);
}

void capacity_tree::InsertBelow(std::uint32_t& root, std::uint32_t worker) {
  if (root == kNoNode) {
    root = worker;
    return;
  }
  if (nodes_[worker].priority > nodes_[root].priority) {
    std::uint32_t before = kNoNode;
    std::uint32_t after = kNoNode;
    Split(root, worker, before, after);
    nodes_[worker].left = before;
    nodes_[worker].right = after;
    root = worker;
  } else {
    InsertBelow(IsBefore(worker, root) ? nodes_[root].left : nodes_[root].right,
                worker);
  }
  UpdateMaxMemory(root);
}

void capacity_tree::Erase(std::uint32_t& root, std::uint32_t worker) {
  if (root == kNoNode) return;
  if (root == worker) {
    root = Merge(nodes_[worker].left, nodes_[worker].right);
    return;
  }
  Erase(IsBefore(worker, root) ? nodes_[root].left : nodes_[root].right,
        worker);
  UpdateMaxMemory(root);
}

bool capacity_tree::IsBefore(std::uint32_t left, std::uint32_t right) const {
  const node& a = nodes_[left];
  const node& b = nodes_[right];
  if (a.cpu != b.cpu) return a.cpu < b.cpu;
  if (a.memory != b.memory) return a.memory < b.memory;
  return left < right;
}

void capacity_tree::UpdateMaxMemory(std::uint32_t root) {
  node& current = nodes_[root];
  current.max_memory = current.memory;
  if (current.left != kNoNode) {
    current.max_memory =
        std::max(current.max_memory, nodes_[current.left].max_memory);
  }
  if (current.right != kNoNode) {
    current.max_memory =
        std::max(current.max_memory, nodes_[current.right].max_memory);
  }
}

void capacity_tree::Split(std::uint32_t root, std::uint32_t pivot,
                          std::uint32_t& before, std::uint32_t& after) {
  if (root == kNoNode) {
    before = kNoNode;
    after = kNoNode;
    return;
  }
  if (IsBefore(root, pivot)) {
    Split(nodes_[root].right, pivot, nodes_[root].right, after);
    before = root;
  } else {
    Split(nodes_[root].left, pivot, before, nodes_[root].left);
    after = root;
  }
  UpdateMaxMemory(root);
}

std::uint32_t capacity_tree::Merge(std::uint32_t before, std::uint32_t after) {
  if (before == kNoNode) return after;
  if (after == kNoNode) return before;
  if (nodes_[before].priority > nodes_[after].priority) {
    nodes_[before].right = Merge(nodes_[before].right, after);
    UpdateMaxMemory(before);
    return before;
  }
  nodes_[after].left = Merge(before, nodes_[after].left);
  UpdateMaxMemory(after);
  return after;
}

}  // namespace apricotwheel
