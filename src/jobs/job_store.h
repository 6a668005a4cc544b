#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job_record.h"
#include "jobs/kv_calls.h"
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
  kRejected,     // Provably not stored; the record is forgotten.
  kUncommitted,  // Not stored yet, or its effect is unknown; it is retried.
  kFenced,       // Another owner has taken the shard.
};

// The job records of one shard in segments `apricotwheel/jobs/<shard>/<n>`.
// Changes are staged and written by the next `Flush`, so that the number of
// writes depends on time and not on the number of jobs. Thread-safe.
class job_store {
 public:
  explicit job_store(job_store_options options);

  // Reads all records and fences earlier owners: every segment is written
  // again and the next one is created, so that whatever an earlier owner
  // still writes loses its compare-and-swap.
  result<std::vector<job_record>> Load();

  // Stages a new or changed record and returns its version.
  std::uint64_t Stage(const job_record& job);

  // Waits until the version is committed or rejected, or until `deadline`.
  commit_state WaitCommitted(std::string_view job_id, std::uint64_t version,
                             time_point deadline);
  commit_state CommitStateOf(std::string_view job_id,
                             std::uint64_t version) const;

  // Writes all segments with staged changes. Returns the number of writes.
  // Fails with the error of the first write that failed.
  result<std::size_t> Flush();

  // Removes segments whose jobs all ended longer ago than the retention.
  // Returns the ids of the dropped jobs.
  std::vector<std::string> DropExpiredSegments();

  std::size_t StagedCount() const;
  std::uint64_t LastVersion() const;
  bool IsFenced() const;

 private:
  struct stored_record {
    std::uint64_t segment = 0;
    std::string encoded;
    std::size_t reserved_bytes = 0;  // For the growth of the record.
    std::uint64_t version = 0;
    std::uint64_t committed_version = 0;
    bool may_be_stored = false;  // A write of it may have taken effect.
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
  std::string EncodeSegment(const std::vector<std::string>& records);
  segment_content ComposeSegment(const segment& source);
  outcome<std::uint64_t> WriteSegment(std::uint64_t number,
                                      std::string_view text,
                                      std::uint64_t revision);
  void ApplyWriteResult(std::uint64_t number, const segment_content& written,
                        const outcome<std::uint64_t>& response);
  commit_state CommitStateLocked(std::string_view job_id,
                                 std::uint64_t version) const;

  const job_store_options options_;
  std::mutex write_mutex_;  // One `Flush`, `Load` or `DropOld` at a time.
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
