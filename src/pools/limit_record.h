#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "graph/organisation_use.h"
#include "kernel/error.h"

namespace apricotwheel {

// The stored record of how the limit of an organisation is divided. Only the
// owner of a partition changes its row; any owner removes the row of a
// partition that no longer exists.
struct limit_record {
  struct row {
    resource_amounts parts{};     // Held by the partition, in millionths.
    resource_amounts capacity{};  // Of its workers, when the row was written.
    resource_amounts limit{};     // In force at the owner; 0: none.
    resource_flags is_over{};     // Its use is above its parts of that limit.

    friend bool operator==(const row&, const row&) = default;
  };
  std::map<std::string, row, std::less<>> rows;  // By partition.

  friend bool operator==(const limit_record&, const limit_record&) = default;
};

// Returns the parts of a resource that no partition holds.
std::int64_t FreeParts(const limit_record& record, std::size_t resource);

std::string EncodeLimitRecord(const limit_record& record);
// Fails with `corrupt` if the parts add up to more than `kAllParts`.
result<limit_record> DecodeLimitRecord(std::string_view json);

// What the owner of a partition knows when it decides on its row.
struct limit_inputs {
  organisation_state state;
  resource_amounts capacity{};
  std::span<const std::string> partitions;  // All that exist.
  // The record has not changed for a while, so that what is free stays unused.
  bool is_calm = false;
};

// Returns the row that the owner wants to have: the first one, or the one it
// has with parts that are free and the owner needs, and with its present limit
// and use. `held` are the parts that the owner relies on, which may be fewer
// than those of its row.
limit_record::row PlanRow(const limit_record& record,
                          std::string_view partition,
                          const resource_amounts& held,
                          const limit_inputs& inputs);

// A request for parts of other partitions.
struct limit_request {
  std::string organisation;
  std::string target;  // The partition whose owner is asked.
  limit_rank rank;
  // For the step with this rank, and for all waiting steps together.
  resource_amounts least{};
  resource_amounts wanted{};
};
std::string EncodeLimitRequest(const limit_request& request);
result<limit_request> DecodeLimitRequest(std::string_view json);

// Returns what the owner asks the others for beside the parts it holds and
// those that are free, or nothing.
std::optional<limit_request> PlanRequest(const limit_record& record,
                                         std::string_view partition,
                                         const resource_amounts& held,
                                         const limit_inputs& inputs);

// Returns the parts that an owner keeps that is asked.
resource_amounts PlanRelease(std::string_view partition,
                             const resource_amounts& held,
                             const limit_inputs& inputs,
                             const limit_request& request);

// The parts of one organisation that the owner of one epoch relies on. They
// never exceed those of its row, whatever the outcome of its writes.
class limit_share {
 public:
  const resource_amounts& Held() const { return held_; }
  // The limit that the others know this owner to keep; 0 stands for none.
  const resource_amounts& KnownLimit() const { return known_limit_; }
  // Returns true once the row was read since the owner has its epoch.
  bool IsKnown() const { return is_known_; }
  // Revision of the record as read last; 0 if it does not exist.
  std::uint64_t Revision() const { return revision_; }
  const limit_record& Record() const { return record_; }

  // The record was read, by a call that was sent after the owner got its epoch.
  // Returns false if it is older than what is known.
  bool OnRead(std::string_view partition, const limit_record& record,
              std::uint64_t revision);
  // Relies on at most these parts from now on.
  void Lower(const resource_amounts& parts);
  // A write on condition of `Revision()` begins.
  void BeginWrite(std::string_view partition, const limit_record& record);
  void OnWritten(std::uint64_t revision);
  // The write had no effect. The record has to be read again.
  void OnNotWritten();
  // The write may take effect later, until the record changes.
  void OnUnknown();

 private:
  // Writes with unknown outcomes.
  struct open_write {
    std::uint64_t condition = 0;  // The highest of their revisions.
    resource_amounts parts{};     // The least of their parts.
    resource_amounts limit{};     // The lowest of their limits.
  };

  bool is_known_ = false;
  std::uint64_t revision_ = 0;
  limit_record record_;
  resource_amounts held_{};
  resource_amounts known_limit_{};
  limit_record::row written_row_;  // Of the write that has begun.
  limit_record written_record_;
  std::optional<open_write> open_;
};

// Returns the portion that the owner may use now. `may_be_outdated` is set
// while other owners may not know the limit yet.
limit_portion MakePortion(const limit_share& share, std::string_view partition,
                          const resource_amounts& limit, bool may_be_outdated);

}  // namespace apricotwheel
