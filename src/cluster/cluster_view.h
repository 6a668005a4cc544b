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

// One daemon of the cell, as its member record says.
struct member {
  std::string id;  // `<name>.<incarnation>`
  std::string name;
  std::string failure_domain;
  std::string http_address;
  std::string peer_address;
  bool leaving = false;  // It is stopping and takes no new ownership.

  friend bool operator==(const member&, const member&) = default;
};

// Who decides on a partition or a shard, and since which change of owner.
struct ownership {
  std::string owner;        // Member id; empty if there is none.
  std::uint64_t epoch = 0;  // Rises with each change of owner, never falls.

  friend bool operator==(const ownership&, const ownership&) = default;
};

// The map of owners, as the key-value service holds it.
struct assignment {
  std::map<std::string, ownership, std::less<>> partitions;
  std::array<ownership, kShardCount> shards;

  friend bool operator==(const assignment&, const assignment&) = default;
};

// An immutable picture of the cell at one moment.
struct cluster_view {
  std::uint64_t members_revision = 0;
  std::uint64_t assignment_revision = 0;
  std::vector<member> members;  // Sorted by id.
  assignment owners;

  const member* FindMember(std::string_view id) const;
};

using cluster_view_ptr = std::shared_ptr<const cluster_view>;

// Returns the assignment that `members` should have: rendezvous hashing, epoch
// raised where the owner changes, partitions that are no longer listed kept
// with their epoch and without an owner, so that an epoch never falls.
assignment PlanAssignment(const assignment& current,
                          std::span<const member> members,
                          std::span<const std::string> partitions);

std::string EncodeAssignment(const assignment& owners);
result<assignment> DecodeAssignment(std::string_view json);
std::string EncodeMember(const member& record);
result<member> DecodeMember(std::string_view json);

// The shard of a team name or of an idempotency key.
std::uint32_t ShardOf(std::string_view key);

}  // namespace apricotwheel
