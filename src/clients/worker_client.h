#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/resources.h"

namespace apricotwheel {

enum class task_kind { kService, kBatch, kGang };

// What a worker needs to run a task, and what a new owner of the worker needs
// to know about the task. The worker returns it unchanged in its task list.
struct task_spec {
  std::string task_id;  // `<job id>/<index>` or `service/<name>/<index>`
  std::string job_id;   // Empty for a service.
  std::string workload;
  std::string team;
  task_kind kind = task_kind::kBatch;
  priority_class priority = priority_class::kBatch;
  std::uint32_t shard = 0;        // Shard of the team.
  std::uint64_t shard_epoch = 0;  // Epoch of the shard at the start.
  resource_vector resources;
  std::int64_t run_ms = 0;  // Run time for a batch or gang task.
  std::uint32_t slots = 0;  // For a service: concurrent requests.
  std::uint32_t connections = 0;
  std::string checkpoint;  // Opaque state to resume from, or empty.
};

enum class task_state { kRunning, kFinished, kFailed, kCheckpointed, kStopped };

struct task_status {
  task_spec spec;
  task_state state = task_state::kRunning;
  resource_vector used;     // As last reported; lags by seconds.
  std::string address;      // ip:port of a service instance.
  std::string checkpoint;   // Saved state of a checkpointed task.
  std::string message;      // Reason of a failure.
  std::int64_t age_ms = 0;  // Time since the start.
  std::int64_t ran_ms = 0;  // Run time so far, in all attempts.
};

struct worker_snapshot {
  std::int64_t worker_clock_ms = 0;  // The worker's own monotonic clock.
  // Time since the last renewal under an earlier epoch. Absent if its owner
  // released the worker or if the worker was never renewed.
  std::optional<std::int64_t> previous_renewal_age_ms;
  std::uint64_t highest_epoch = 0;
  resource_vector capacity;
  std::vector<task_status> tasks;
  // Version of the task list, which increases with each change of a task.
  // `worker_client` uses this and the next two fields to request only changes;
  // the snapshots that it returns are complete.
  std::uint64_t version = 0;
  bool partial = false;        // Holds only tasks that changed.
  std::size_t task_count = 0;  // Length of the complete list.
};

enum class stop_mode { kKill, kCheckpoint };

struct worker_client_options {
  std::string address;  // ip:port
  duration call_timeout = milliseconds(1000);
};

// Thread-safe HTTP client of one worker agent. Every call carries the epoch of
// the worker's partition and fails with `stale_epoch` if the worker has seen a
// higher one. The protocol is in docs/contracts/worker.md.
class worker_client {
 public:
  static result<std::unique_ptr<worker_client>> Create(
      worker_client_options options);
  ~worker_client();

  // Claims the worker: makes `epoch` the highest that it has seen, and returns
  // its state.
  result<worker_snapshot> Claim(std::uint64_t epoch, std::string_view owner);

  // Extends all task leases to `expires_at_ms` on the worker's clock and
  // removes the finished tasks named in `acknowledged` from its list. The
  // worker sends only the tasks that changed since its last response.
  result<worker_snapshot> Renew(std::uint64_t epoch, std::int64_t expires_at_ms,
                                std::span<const std::string> acknowledged);

  // Starts a task whose lease expires at `expires_at_ms` on the worker's clock.
  // Starting a task again that the worker already has succeeds and has no
  // effect. Fails with `capacity` if the declared resources do not fit.
  result<task_status> Start(std::uint64_t epoch, const task_spec& spec,
                            std::int64_t expires_at_ms);

  result<void> Stop(std::uint64_t epoch, std::string_view task_id,
                    stop_mode mode);

  // Limits the task's processor use to `cpu_milli`.
  result<void> Throttle(std::uint64_t epoch, std::string_view task_id,
                        std::int64_t cpu_milli);

  // Ends this owner's authority over the worker at once. Its tasks run on until
  // their leases expire.
  result<void> Release(std::uint64_t epoch);

 private:
  struct state;
  explicit worker_client(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel
