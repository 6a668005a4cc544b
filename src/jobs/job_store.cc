#include "jobs/job_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "jobs/jobs_events.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

constexpr int kLoadAttempts = 5;
// What the states of a task add to a record until its job has ended. A segment
// that grew over the 1 MB of a value could never be written again.
constexpr std::size_t kTaskGrowth = 160;

std::string Digits(std::uint64_t number, std::size_t width) {
  auto text = std::to_string(number);
  return text.size() < width ? std::string(width - text.size(), '0') + text
                             : text;
}

error FencedError() {
  return {error_kind::kConflict, "another owner has taken the shard",
          "repeat the call; it is sent to the new owner"};
}

}  // namespace

job_store::job_store(job_store_options options)
    : options_(std::move(options)) {}

std::string job_store::KeyOf(std::uint64_t number) const {
  return "apricotwheel/jobs/" + Digits(options_.shard, 2) + "/" +
         Digits(number, 8);
}

std::string job_store::Frame(const std::vector<std::string>& records) {
  std::string text = R"({"writer":)" + json(options_.member_id).dump() +
                     R"(,"epoch":)" + std::to_string(options_.epoch) +
                     R"(,"sequence":)" + std::to_string(++sequence_) +
                     R"(,"jobs":[)";
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i > 0) text += ",\n";
    text += records[i];
  }
  return text + "]}";
}

job_store::written_segment job_store::Compose(const segment& source) {
  written_segment written;
  std::vector<std::string> records;
  for (const auto& id : source.jobs) {
    const auto found = slots_.find(id);
    if (found == slots_.end()) continue;
    records.push_back(found->second.encoded);
    written.versions[id] = found->second.version;
  }
  written.text = Frame(records);
  return written;
}

outcome<std::uint64_t> job_store::Write(std::uint64_t number,
                                        std::string_view text,
                                        std::uint64_t revision) {
  const auto key = KeyOf(number);
  auto answer = options_.kv.put_settled(key, text, revision);
  if (answer || answer.failure.kind != error_kind::kConflict) return answer;
  // An earlier write of this owner, whose effect was unknown, may be what is
  // stored.
  const auto current = options_.kv.get(key);
  if (!current) {
    answer.failure = {error_kind::kTimeout, current.failure.message,
                      current.failure.remedy};
    return answer;
  }
  if (!*current) return answer;
  const auto stored = json::parse((*current)->value, nullptr, false);
  if (!stored.is_object() || stored.value("writer", "") != options_.member_id ||
      stored.value("epoch", std::uint64_t{0}) != options_.epoch) {
    return answer;
  }
  return options_.kv.put_settled(key, text, (*current)->revision);
}

result<std::vector<job_record>> job_store::Load() {
  std::lock_guard writing(write_mutex_);
  const std::string prefix =
      "apricotwheel/jobs/" + Digits(options_.shard, 2) + "/";
  for (int attempt = 0; attempt < kLoadAttempts; ++attempt) {
    auto listed = options_.kv.list(prefix);
    if (!listed) return Fail(listed.failure);
    std::map<std::uint64_t, segment> segments;
    std::map<std::string, slot, std::less<>> slots;
    std::vector<job_record> jobs;
    bool conflict = false;
    std::uint64_t last = 0;
    for (const auto& entry : *listed) {
      const auto number = std::stoull(entry.key.substr(prefix.size()));
      last = std::max<std::uint64_t>(last, number);
      const auto stored = json::parse(entry.value, nullptr, false);
      if (!stored.is_object() || !stored.contains("jobs")) {
        Emit(options_.log, kJobRecordCorrupt, {Field("key", entry.key)});
        continue;  // Kept as it is for a person to look at.
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
        slot loaded;
        loaded.segment = number;
        loaded.encoded = records.back();
        loaded.ended = HasEnded(*job);
        loaded.ended_at = options_.clock->Now();
        target.bytes += loaded.encoded.size();
        target.jobs.push_back(job->job_id);
        slots[job->job_id] = std::move(loaded);
        jobs.push_back(std::move(*job));
      }
      const auto rewritten = Write(number, Frame(records), entry.revision);
      if (!rewritten && rewritten.failure.kind != error_kind::kConflict) {
        return Fail(rewritten.failure);
      }
      conflict = conflict || !rewritten;
      if (rewritten) target.revision = *rewritten;
    }
    if (!conflict) {
      const auto created = Write(last + 1, Frame({}), 0);
      if (!created && created.failure.kind != error_kind::kConflict) {
        return Fail(created.failure);
      }
      conflict = !created;
      if (created) segments[last + 1].revision = *created;
    }
    if (conflict) continue;  // The earlier owner wrote in between.
    std::lock_guard guard(mutex_);
    segments_ = std::move(segments);
    slots_ = std::move(slots);
    open_segment_ = last + 1;
    return jobs;
  }
  return Fail(error_kind::kTimeout, "the shard's segments keep changing",
              "wait; the load is repeated");
}

std::uint64_t job_store::Stage(const job_record& job) {
  std::lock_guard guard(mutex_);
  auto encoded = EncodeRecord(job);
  auto& entry = slots_[job.job_id];
  const auto version = ++last_version_;
  if (entry.segment == 0) {
    // The fixed part of a record is larger than the growth by one task.
    entry.reserved =
        (std::max<std::size_t>(job.tasks.size(), 1) - 1) * kTaskGrowth;
    if (segments_[open_segment_].bytes + segments_[open_segment_].reserved +
                encoded.size() + entry.reserved >
            options_.segment_bytes &&
        !segments_[open_segment_].jobs.empty()) {
      // Written before the new segment is created: if another owner took the
      // shard and dropped old segments, this write loses and the other is not
      // made.
      segments_[open_segment_].dirty = true;
      ++open_segment_;
    }
    entry.segment = open_segment_;
    segments_[open_segment_].jobs.push_back(job.job_id);
    segments_[open_segment_].reserved += entry.reserved;
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
  ++staged_;
  return version;
}

result<std::size_t> job_store::Flush() {
  std::lock_guard writing(write_mutex_);
  std::vector<std::uint64_t> dirty;
  {
    std::lock_guard guard(mutex_);
    if (fenced_) return Fail(FencedError());
    staged_ = 0;
    for (const auto& [number, source] : segments_) {
      if (source.dirty) dirty.push_back(number);
    }
  }
  std::size_t writes = 0;
  std::optional<error> failure;
  for (const auto number : dirty) {
    written_segment written;
    std::uint64_t revision = 0;
    {
      std::lock_guard guard(mutex_);
      auto& source = segments_[number];
      source.dirty = false;
      revision = source.revision;
      written = Compose(source);
    }
    outcome<std::uint64_t> answer;
    if (failure) {
      // Not tried after a failure: waiting callers get their answer at once.
      answer.failure = *failure;
      if (failure->kind != error_kind::kConflict) {
        answer.failure.kind = error_kind::kUnavailable;
      }
    } else {
      answer = Write(number, written.text, revision);
      ++writes;
    }
    Settle(number, written, answer);
    if (!answer && !failure) failure = answer.failure;
  }
  changed_.notify_all();
  if (failure) return Fail(*failure);
  return writes;
}

void job_store::Settle(std::uint64_t number, const written_segment& written,
                       const outcome<std::uint64_t>& answer) {
  std::lock_guard guard(mutex_);
  auto& target = segments_[number];
  if (answer) {
    target.revision = *answer;
    for (const auto& [id, version] : written.versions) {
      const auto found = slots_.find(id);
      if (found != slots_.end()) found->second.committed = version;
    }
    return;
  }
  target.dirty = true;
  const bool fenced = answer.failure.kind == error_kind::kConflict;
  fenced_ = fenced_ || fenced;
  const bool no_effect =
      fenced || answer.failure.kind == error_kind::kUnavailable;
  for (const auto& [id, version] : written.versions) {
    const auto found = slots_.find(id);
    if (found == slots_.end()) continue;
    auto& entry = found->second;
    if (!no_effect) entry.attempted = true;
    // A submission that provably was not stored is refused; everything else
    // waits for the service.
    if (no_effect && !entry.attempted && entry.committed == 0 &&
        entry.version == version) {
      target.bytes -= entry.encoded.size();
      target.reserved -= entry.reserved;
      std::erase(target.jobs, id);
      slots_.erase(found);
    }
  }
}

commit_state job_store::StateLocked(std::string_view job_id,
                                    std::uint64_t version) const {
  const auto found = slots_.find(job_id);
  if (found == slots_.end()) return commit_state::kRejected;
  if (found->second.committed >= version) return commit_state::kCommitted;
  return fenced_ ? commit_state::kFenced : commit_state::kWaiting;
}

commit_state job_store::StateOf(std::string_view job_id,
                                std::uint64_t version) const {
  std::lock_guard guard(mutex_);
  return StateLocked(job_id, version);
}

commit_state job_store::WaitCommitted(std::string_view job_id,
                                      std::uint64_t version,
                                      time_point deadline) {
  std::unique_lock lock(mutex_);
  options_.clock->WaitUntil(lock, changed_, deadline, [&] {
    return StateLocked(job_id, version) != commit_state::kWaiting;
  });
  return StateLocked(job_id, version);
}

std::vector<std::string> job_store::DropOld() {
  std::lock_guard writing(write_mutex_);
  const auto now = options_.clock->Now();
  std::map<std::uint64_t, std::uint64_t> old;
  {
    std::lock_guard guard(mutex_);
    for (const auto& [number, source] : segments_) {
      // The newest segment stays: its number fences earlier owners.
      if (number == open_segment_ || source.dirty) continue;
      const bool all_old = std::all_of(
          source.jobs.begin(), source.jobs.end(), [&](const auto& id) {
            const auto found = slots_.find(id);
            return found == slots_.end() ||
                   (found->second.ended &&
                    found->second.committed == found->second.version &&
                    now - found->second.ended_at >= options_.retention);
          });
      if (all_old) old[number] = source.revision;
    }
  }
  std::vector<std::string> dropped;
  for (const auto& [number, revision] : old) {
    const auto removed = options_.kv.remove(KeyOf(number), revision);
    // Absent already: the reply to an earlier removal was lost.
    if (!removed && removed.failure.kind != error_kind::kNotFound) continue;
    std::lock_guard guard(mutex_);
    for (const auto& id : segments_[number].jobs) {
      slots_.erase(id);
      dropped.push_back(id);
    }
    segments_.erase(number);
  }
  return dropped;
}

std::uint64_t job_store::LastVersion() const {
  std::lock_guard guard(mutex_);
  return last_version_;
}

std::size_t job_store::StagedCount() const {
  std::lock_guard guard(mutex_);
  return staged_;
}

bool job_store::Fenced() const {
  std::lock_guard guard(mutex_);
  return fenced_;
}

}  // namespace apricotwheel
