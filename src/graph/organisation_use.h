#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "kernel/resources.h"

namespace apricotwheel {

inline constexpr std::size_t kResourceCount = 3;
// Processor, memory and accelerators, in the units of `resource_vector`.
using resource_amounts = std::array<std::int64_t, kResourceCount>;
using resource_flags = std::array<bool, kResourceCount>;

// All of a limit, in millionths.
inline constexpr std::int64_t kAllParts = 1'000'000;

resource_amounts AmountsOf(const resource_vector& resources);

// The part of an organisation's limit that one partition may use.
struct limit_portion {
  resource_amounts parts{};  // In millionths of each resource of the limit.
  // Nothing may start that needs the resource, because what other partitions
  // have running is above a lowered limit.
  resource_flags is_closed{};
  // The limit that the parts and `is_closed` refer to. It is not above the one
  // in force; if that is lower, the resource counts as closed.
  resource_amounts limit{};

  friend bool operator==(const limit_portion&, const limit_portion&) = default;
};

// Orders the waiting steps of an organisation in the same way on all daemons.
struct limit_rank {
  int priority = 0;
  std::int64_t submitted_at_ms = 0;
  std::string partition;

  friend bool operator<(const limit_rank& left, const limit_rank& right) {
    return std::tie(left.priority, left.submitted_at_ms, left.partition) <
           std::tie(right.priority, right.submitted_at_ms, right.partition);
  }
};

// What the waiting steps of an organisation need beside its use. Only steps for
// which a worker has room count.
struct limit_demand {
  limit_rank first_rank;          // Of the step with the earliest rank.
  resource_amounts first_need{};  // Of all its waiting tasks.
  resource_amounts all_need{};    // Of all waiting steps.
  // The earliest step that the portion holds up, if there is one.
  std::optional<limit_rank> blocked_rank;
  resource_amounts blocked_need{};  // Of one task of it, or of the whole gang.
};

// What one scheduler knows about an organisation.
struct organisation_state {
  resource_amounts limit{};    // 0 stands for no limit.
  resource_amounts use{};      // Of all known runs.
  resource_amounts unknown{};  // What unknown runs may use at most.
  std::optional<limit_demand> demand;
  bool is_takeover_complete = false;
};

// Returns the amount that `parts` of a limit allow, rounded down.
std::int64_t AmountOfParts(std::int64_t limit, std::int64_t parts);
// Returns the fewest parts that allow `amount`; more than `kAllParts` if the
// limit is below the amount.
std::int64_t PartsForAmount(std::int64_t limit, std::int64_t amount);

// Returns true if a change of the limit from `before` to `after` lowers it; 0
// stands for no limit.
bool IsLowered(std::int64_t before, std::int64_t after);

// Returns how many of `count` tasks may start.
std::uint32_t CountTasksWithin(const resource_amounts& limit,
                               const limit_portion& portion,
                               const resource_amounts& use,
                               const resource_amounts& need,
                               std::uint32_t count);

resource_amounts Sum(const resource_amounts& left,
                     const resource_amounts& right);
// Adds `count` times the amounts.
void AddAmounts(resource_amounts& sum, const resource_amounts& amounts,
                std::int64_t count);

// The use of all organisations in one scheduler, kept with each start and end.
class organisation_use {
 public:
  void Add(const std::string& organisation, const resource_vector& need,
           std::int64_t count);
  resource_amounts Of(const std::string& organisation) const;

 private:
  std::map<std::string, resource_amounts> amounts_;
};

}  // namespace apricotwheel
