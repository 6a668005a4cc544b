#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel {

inline constexpr std::uint32_t kShardCount = 32;

// The member record of one daemon of the cell.
struct member {
  std::string id;  // `<name>.<incarnation>`
  std::string name;
  std::string failure_domain;
  std::string http_address;
  std::string peer_address;
  bool leaving = false;  // In a planned stop; gets no new ownership.

  friend bool operator==(const member&, const member&) = default;
};

// The owner of a partition or a shard and the epoch of the ownership.
struct ownership {
  std::string owner;        // Member id; empty if there is none.
  std::uint64_t epoch = 0;  // Raised on each change of owner; never decreases.

  friend bool operator==(const ownership&, const ownership&) = default;
};

// The owners of all partitions and shards, as stored in the key-value service.
struct assignment {
  std::map<std::string, ownership, std::less<>> partitions;
  std::array<ownership, kShardCount> shards;

  friend bool operator==(const assignment&, const assignment&) = default;
};

// An immutable snapshot of the members and the assignment.
struct cluster_view {
  std::uint64_t members_revision = 0;
  std::uint64_t assignment_revision = 0;
  std::vector<member> members;  // Sorted by id.
  assignment owners;

  const member* FindMember(std::string_view id) const;
};

using cluster_view_ptr = std::shared_ptr<const cluster_view>;

// Returns the assignment for `members` and `partitions`. Owners are chosen by
// rendezvous hashing, and a change of owner raises the epoch. A partition that
// is no longer listed loses its owner but keeps its epoch, because an epoch
// must never decrease.
assignment PlanAssignment(const assignment& current,
                          std::span<const member> members,
                          std::span<const std::string> partitions);

std::string EncodeAssignment(const assignment& owners);
result<assignment> DecodeAssignment(std::string_view json);
std::string EncodeMember(const member& record);
result<member> DecodeMember(std::string_view json);

// Returns the shard of a team name or an idempotency key.
std::uint32_t ShardOf(std::string_view key);

}  // namespace apricotwheel
