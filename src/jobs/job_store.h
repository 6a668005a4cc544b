#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job_record.h"
#include "jobs/kv_api.h"
#include "kernel/log.h"

namespace apricotwheel {

struct job_store_options {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::string member_id;
  kv_api kv;
  clock_ptr clock;
  log_sink log;
  std::size_t segment_bytes = 64 << 10;
  duration retention = std::chrono::minutes(10);
};

enum class commit_state {
  kCommitted,
  kRejected,     // Certainly not stored; the record was dropped.
  kUncommitted,  // Not stored yet, or unknown; the write is retried.
  kFenced,       // Another member now owns the shard.
};

// Stores the job records of one shard in the key-value service, in segments
// named `apricotwheel/jobs/<shard>/<n>`. Changes are staged and written
// together by `Flush`, so that the number of writes does not grow with the
// number of jobs. Thread-safe.
class job_store {
 public:
  explicit job_store(job_store_options options);

  // Reads all records and fences earlier owners: rewrites every segment and
  // creates the next one, so that any later write of an earlier owner fails its
  // compare-and-swap.
  result<std::vector<job_record>> Load();

  // Stages a new or changed record and returns its version.
  std::uint64_t Stage(const job_record& job);

  // Waits until the version is committed or rejected, or until `deadline`.
  commit_state WaitCommitted(std::string_view job_id, std::uint64_t version,
                             time_point deadline);
  commit_state CommitStateOf(std::string_view job_id,
                             std::uint64_t version) const;

  // Writes all segments with staged changes and returns the number of writes.
  // Fails with the error of the first failed write.
  result<std::size_t> Flush();

  // Removes segments in which every job ended longer than the retention ago.
  // Returns the ids of the removed jobs.
  std::vector<std::string> DropExpiredSegments();

  // Returns how many records were staged since the last `Flush`.
  std::size_t StagedCount() const;
  std::uint64_t LastVersion() const;
  // Returns true if another member was found to own the shard.
  bool IsFenced() const;

 private:
  struct stored_record {
    std::uint64_t segment = 0;
    std::string encoded;
    std::size_t reserved_bytes = 0;  // Bytes for the growth of the record.
    std::uint64_t version = 0;
    std::uint64_t committed_version = 0;
    bool may_be_stored = false;  // Some write of it may have been stored.
    bool ended = false;
    time_point ended_at;
  };
  struct segment {
    std::uint64_t revision = 0;
    std::size_t bytes = 0;
    std::size_t reserved_bytes = 0;
    bool dirty = false;
    std::vector<std::string> jobs;
  };
  struct segment_content {
    std::string text;
    std::map<std::string, std::uint64_t> versions;
  };

  std::string SegmentKey(std::uint64_t number) const;
  // Returns a segment's value with these encoded records. Each value has a new
  // sequence number, so that no two writes of a segment are equal.
  std::string EncodeSegment(const std::vector<std::string>& records);
  segment_content ComposeSegment(const segment& source);
  outcome<std::uint64_t> WriteSegment(std::uint64_t number,
                                      std::string_view text,
                                      std::uint64_t revision);
  // Updates the records of a segment with the result of its write.
  void ApplyWriteResult(std::uint64_t number, const segment_content& written,
                        const outcome<std::uint64_t>& response);
  commit_state CommitStateLocked(std::string_view job_id,
                                 std::uint64_t version) const;

  const job_store_options options_;
  std::mutex
      write_mutex_;  // Serialises `Flush`, `Load` and `DropExpiredSegments`.
  mutable std::mutex mutex_;
  std::condition_variable commit_changed_;
  std::map<std::uint64_t, segment> segments_;
  std::uint64_t open_segment_ = 0;
  std::map<std::string, stored_record, std::less<>> records_;
  std::uint64_t write_sequence_ = 0;
  std::uint64_t last_version_ = 0;
  std::size_t staged_count_ = 0;
  bool fenced_ = false;
};

}  // namespace apricotwheel
