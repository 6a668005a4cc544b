#include "jobs/job_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "jobs/jobs_events.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

constexpr int kMaxLoadAttempts = 5;
// Space reserved in a segment for the fields that each task adds to its record
// until the job has ended. A segment that outgrew the 1 MB limit of a value
// could no longer be written.
constexpr std::size_t kReservedBytesPerTask = 160;

std::string ZeroPadded(std::uint64_t number, std::size_t width) {
  auto text = std::to_string(number);
  return text.size() < width ? std::string(width - text.size(), '0') + text
                             : text;
}

error FencedError() {
  return {error_kind::kConflict, "another member now owns the shard",
          "retry; the request goes to the new owner"};
}

}  // namespace

job_store::job_store(job_store_options options)
    : options_(std::move(options)) {}

std::string job_store::SegmentKey(std::uint64_t number) const {
  return "apricotwheel/jobs/" + ZeroPadded(options_.shard, 2) + "/" +
         ZeroPadded(number, 8);
}

std::string job_store::EncodeSegment(const std::vector<std::string>& records) {
  std::string text = R"({"writer":)" + json(options_.member_id).dump() +
                     R"(,"epoch":)" + std::to_string(options_.epoch) +
                     R"(,"sequence":)" + std::to_string(++write_sequence_) +
                     R"(,"jobs":[)";
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i > 0) text += ",\n";
    text += records[i];
  }
  return text + "]}";
}

job_store::segment_content job_store::ComposeSegment(const segment& source) {
  segment_content written;
  std::vector<std::string> records;
  for (const auto& id : source.jobs) {
    const auto found = records_.find(id);
    if (found == records_.end()) continue;
    records.push_back(found->second.encoded);
    written.versions[id] = found->second.version;
  }
  written.text = EncodeSegment(records);
  return written;
}

outcome<std::uint64_t> job_store::WriteSegment(std::uint64_t number,
                                               std::string_view text,
                                               std::uint64_t revision) {
  const auto key = SegmentKey(number);
  auto response = options_.kv.put_confirmed(key, text, revision);
  if (response || response.failure.kind != error_kind::kConflict)
    return response;
  // The conflict may be with an earlier write of this owner whose effect was
  // unknown. Such a segment is overwritten.
  const auto current = options_.kv.get(key);
  if (!current) {
    response.failure = {error_kind::kTimeout, current.failure.message,
                        current.failure.remedy};
    return response;
  }
  if (!*current) return response;
  const auto stored = json::parse((*current)->value, nullptr, false);
  if (!stored.is_object() || stored.value("writer", "") != options_.member_id ||
      stored.value("epoch", std::uint64_t{0}) != options_.epoch) {
    return response;
  }
  return options_.kv.put_confirmed(key, text, (*current)->revision);
}

result<std::vector<job_record>> job_store::Load() {
  std::lock_guard write_guard(write_mutex_);
  const std::string prefix =
      "apricotwheel/jobs/" + ZeroPadded(options_.shard, 2) + "/";
  for (int attempt = 0; attempt < kMaxLoadAttempts; ++attempt) {
    auto listed = options_.kv.list(prefix);
    if (!listed) return Fail(listed.failure);
    std::map<std::uint64_t, segment> segments;
    std::map<std::string, stored_record, std::less<>> slots;
    std::vector<job_record> jobs;
    bool conflict = false;
    std::uint64_t last = 0;
    for (const auto& entry : *listed) {
      const auto number = std::stoull(entry.key.substr(prefix.size()));
      last = std::max<std::uint64_t>(last, number);
      const auto stored = json::parse(entry.value, nullptr, false);
      if (!stored.is_object() || !stored.contains("jobs")) {
        Emit(options_.log, kJobRecordCorrupt, {Field("key", entry.key)});
        continue;  // Left unchanged, so that an operator can repair it.
      }
      if (stored.value("epoch", std::uint64_t{0}) > options_.epoch) {
        return Fail(FencedError());
      }
      auto& target = segments[number];
      std::vector<std::string> records;
      for (const auto& record : stored["jobs"]) {
        auto job = Attempt([&] { return DecodeRecord(record); });
        records.push_back(record.dump());
        if (!job) {
          Emit(options_.log, kJobRecordCorrupt, {Field("key", entry.key)});
          continue;
        }
        stored_record loaded;
        loaded.segment = number;
        loaded.encoded = records.back();
        loaded.ended = HasEnded(*job);
        loaded.ended_at = options_.clock->Now();
        target.bytes += loaded.encoded.size();
        target.jobs.push_back(job->job_id);
        slots[job->job_id] = std::move(loaded);
        jobs.push_back(std::move(*job));
      }
      const auto rewritten =
          WriteSegment(number, EncodeSegment(records), entry.revision);
      if (!rewritten && rewritten.failure.kind != error_kind::kConflict) {
        return Fail(rewritten.failure);
      }
      conflict = conflict || !rewritten;
      if (rewritten) target.revision = *rewritten;
    }
    if (!conflict) {
      const auto created = WriteSegment(last + 1, EncodeSegment({}), 0);
      if (!created && created.failure.kind != error_kind::kConflict) {
        return Fail(created.failure);
      }
      conflict = !created;
      if (created) segments[last + 1].revision = *created;
    }
    if (conflict) continue;  // The previous owner wrote in the meantime.
    std::lock_guard guard(mutex_);
    segments_ = std::move(segments);
    records_ = std::move(slots);
    open_segment_ = last + 1;
    return jobs;
  }
  return Fail(error_kind::kTimeout,
              "the shard's segments changed during every attempt to load them",
              "wait; the load is retried");
}

std::uint64_t job_store::Stage(const job_record& job) {
  std::lock_guard guard(mutex_);
  auto encoded = EncodeRecord(job);
  auto& entry = records_[job.job_id];
  const auto version = ++last_version_;
  if (entry.segment == 0) {
    // The fixed part of a record covers the growth by its first task.
    entry.reserved_bytes = (std::max<std::size_t>(job.tasks.size(), 1) - 1) *
                           kReservedBytesPerTask;
    if (segments_[open_segment_].bytes +
                segments_[open_segment_].reserved_bytes + encoded.size() +
                entry.reserved_bytes >
            options_.segment_bytes &&
        !segments_[open_segment_].jobs.empty()) {
      // Rewrites the full segment before the new one is created. If a new owner
      // of the shard has removed it, this write conflicts and the new segment
      // is not created.
      segments_[open_segment_].dirty = true;
      ++open_segment_;
    }
    entry.segment = open_segment_;
    segments_[open_segment_].jobs.push_back(job.job_id);
    segments_[open_segment_].reserved_bytes += entry.reserved_bytes;
  }
  auto& target = segments_[entry.segment];
  target.bytes += encoded.size() - entry.encoded.size();
  target.dirty = true;
  entry.encoded = std::move(encoded);
  entry.version = version;
  if (HasEnded(job) && !entry.ended) {
    entry.ended = true;
    entry.ended_at = options_.clock->Now();
  }
  ++staged_count_;
  return version;
}

result<std::size_t> job_store::Flush() {
  std::lock_guard write_guard(write_mutex_);
  std::vector<std::uint64_t> dirty;
  {
    std::lock_guard guard(mutex_);
    if (fenced_) return Fail(FencedError());
    staged_count_ = 0;
    for (const auto& [number, source] : segments_) {
      if (source.dirty) dirty.push_back(number);
    }
  }
  std::size_t writes = 0;
  std::optional<error> failure;
  for (const auto number : dirty) {
    segment_content written;
    std::uint64_t revision = 0;
    {
      std::lock_guard guard(mutex_);
      auto& source = segments_[number];
      source.dirty = false;
      revision = source.revision;
      written = ComposeSegment(source);
    }
    outcome<std::uint64_t> response;
    if (failure) {
      // After a failed write the others are not tried, so that waiting callers
      // get their response at once.
      response.failure = *failure;
      if (failure->kind != error_kind::kConflict) {
        response.failure.kind = error_kind::kUnavailable;
      }
    } else {
      response = WriteSegment(number, written.text, revision);
      ++writes;
    }
    ApplyWriteResult(number, written, response);
    if (!response && !failure) failure = response.failure;
  }
  commit_changed_.notify_all();
  if (failure) return Fail(*failure);
  return writes;
}

void job_store::ApplyWriteResult(std::uint64_t number,
                                 const segment_content& written,
                                 const outcome<std::uint64_t>& response) {
  std::lock_guard guard(mutex_);
  auto& target = segments_[number];
  if (response) {
    target.revision = *response;
    for (const auto& [id, version] : written.versions) {
      const auto found = records_.find(id);
      if (found != records_.end()) found->second.committed_version = version;
    }
    return;
  }
  target.dirty = true;
  const bool fenced = response.failure.kind == error_kind::kConflict;
  fenced_ = fenced_ || fenced;
  const bool no_effect =
      fenced || response.failure.kind == error_kind::kUnavailable;
  for (const auto& [id, version] : written.versions) {
    const auto found = records_.find(id);
    if (found == records_.end()) continue;
    auto& entry = found->second;
    if (!no_effect) entry.may_be_stored = true;
    // A new record that was certainly not stored is rejected. All others stay
    // staged until the key-value service responds.
    if (no_effect && !entry.may_be_stored && entry.committed_version == 0 &&
        entry.version == version) {
      target.bytes -= entry.encoded.size();
      target.reserved_bytes -= entry.reserved_bytes;
      std::erase(target.jobs, id);
      records_.erase(found);
    }
  }
}

commit_state job_store::CommitStateLocked(std::string_view job_id,
                                          std::uint64_t version) const {
  const auto found = records_.find(job_id);
  if (found == records_.end()) return commit_state::kRejected;
  if (found->second.committed_version >= version)
    return commit_state::kCommitted;
  return fenced_ ? commit_state::kFenced : commit_state::kUncommitted;
}

commit_state job_store::CommitStateOf(std::string_view job_id,
                                      std::uint64_t version) const {
  std::lock_guard guard(mutex_);
  return CommitStateLocked(job_id, version);
}

commit_state job_store::WaitCommitted(std::string_view job_id,
                                      std::uint64_t version,
                                      time_point deadline) {
  std::unique_lock lock(mutex_);
  options_.clock->WaitUntil(lock, commit_changed_, deadline, [&] {
    return CommitStateLocked(job_id, version) != commit_state::kUncommitted;
  });
  return CommitStateLocked(job_id, version);
}

std::vector<std::string> job_store::DropExpiredSegments() {
  std::lock_guard write_guard(write_mutex_);
  const auto now = options_.clock->Now();
  std::map<std::uint64_t, std::uint64_t> expired_segments;
  {
    std::lock_guard guard(mutex_);
    for (const auto& [number, source] : segments_) {
      // The newest segment is kept: earlier owners conflict with its number.
      if (number == open_segment_ || source.dirty) continue;
      const bool all_expired = std::all_of(
          source.jobs.begin(), source.jobs.end(), [&](const auto& id) {
            const auto found = records_.find(id);
            return found == records_.end() ||
                   (found->second.ended &&
                    found->second.committed_version == found->second.version &&
                    now - found->second.ended_at >= options_.retention);
          });
      if (all_expired) expired_segments[number] = source.revision;
    }
  }
  std::vector<std::string> dropped_jobs;
  for (const auto& [number, revision] : expired_segments) {
    const auto removed = options_.kv.remove(SegmentKey(number), revision);
    // `kNotFound`: the response to an earlier removal was lost.
    if (!removed && removed.failure.kind != error_kind::kNotFound) continue;
    std::lock_guard guard(mutex_);
    for (const auto& id : segments_[number].jobs) {
      records_.erase(id);
      dropped_jobs.push_back(id);
    }
    segments_.erase(number);
  }
  return dropped_jobs;
}

std::uint64_t job_store::LastVersion() const {
  std::lock_guard guard(mutex_);
  return last_version_;
}

std::size_t job_store::StagedCount() const {
  std::lock_guard guard(mutex_);
  return staged_count_;
}

bool job_store::IsFenced() const {
  std::lock_guard guard(mutex_);
  return fenced_;
}

}  // namespace apricotwheel
