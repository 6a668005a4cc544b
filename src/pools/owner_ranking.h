#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel {

// Which member a pool should have as its owner, and when it should move.

// What a member publishes about its VM.
struct member_capacity {
  // Of one core. 0 if it is not known, for example of an older version.
  std::int64_t processor_milli = 0;
  // The member recently gave a pool up for want of processor time.
  bool is_overloaded = false;
  // Bandwidth of the link; 0 if it is not known.
  std::int64_t link_kbps = 0;
  // The version of the member knows partitions. A pool is divided only if all
  // members do.
  bool knows_partitions = false;
  // The version of the member knows tasks that another partition runs. Tasks
  // are lent only if all members do, because others would run them twice.
  bool knows_loans = false;
  // The version of the member confirms owners in an outage of the store.
  bool knows_confirmations = false;
  // What the jobs of all pools may take there; 0 if it is not known.
  std::int64_t job_memory_bytes = 0;

  friend bool operator==(const member_capacity&,
                         const member_capacity&) = default;
};
std::string EncodeCapacity(const member_capacity& capacity);
// Fields that this version does not know are ignored.
result<member_capacity> DecodeCapacity(std::string_view json);

// A member as a possible owner of one pool.
struct owner_candidate {
  std::string id;
  member_capacity capacity;
  std::size_t other_pools = 0;  // That it owns besides the pool.
  std::uint64_t joined_revision = 0;
};

// Returns the processor that the pool can use at the candidate, in thousandths
// of a core. Pools of one member share it evenly. What the link cannot feed
// does not count.
std::int64_t ExpectedProcessorMilli(const owner_candidate& candidate);

// Returns the candidates in the order in which they try to acquire a vacant
// pool.
std::vector<owner_candidate> RankForElection(
    std::string_view pool, std::vector<owner_candidate> candidates);
// Returns the candidates in the order in which an owner requests them to take
// the pool over.
std::vector<owner_candidate> RankSuccessors(
    std::string_view pool, std::vector<owner_candidate> candidates);
// Returns how many of the ranked candidates, at least one, can expect about as
// much processor as the first.
std::size_t CountComparable(std::span<const owner_candidate> ranked);

// Returns how long the candidate of this rank, from 0, leaves a vacant pool to
// those before it.
duration ElectionDelay(std::size_t rank);

// Whether an owner keeps up, by the delay of its decisions in one period after
// the other.
class overload_detector {
 public:
  // Adds the mean delay of the decisions of one period of `kPeriod`. Returns
  // true if enough periods in succession were too slow.
  bool AddPeriod(duration mean_delay);
  static constexpr auto kPeriod = milliseconds(1000);

 private:
  int slow_periods_ = 0;
};

enum class move_cause { kNone, kOverload, kStrongerMember };

struct move_inputs {
  owner_candidate owner;
  std::optional<owner_candidate> best;  // Of the other members.
  // Members whose record says that they were overloaded.
  std::size_t overloaded_members = 0;
  // The member that owned the pool before publishes that it was overloaded.
  bool is_previous_owner_overloaded = false;
  // How long after its takeover the owner was first overloaded, if it was.
  std::optional<duration> first_overload_after;
  duration tenure{};
  bool is_overloaded = false;  // By an `overload_detector`.
  // Every run of an earlier owner is known or has expired. A move before that
  // would start the takeover again, with its waits for silent workers.
  bool is_takeover_complete = true;
};

// Returns true if the owner is overloaded by its load and not by a slow VM: the
// previous owner was overloaded, and so was this one soon after its takeover.
// An equal member would be overloaded as well.
bool IsOverloadedByLoad(const move_inputs& inputs);

// Decides whether the owner requests `best` to take the pool over.
move_cause DecideMove(const move_inputs& inputs);

}  // namespace apricotwheel
