#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "workers/worker_calls.h"
#include "workers/worker_fleet.h"

namespace apricotwheel {

struct worker_session_options {
  std::string worker;
  std::string member_id;
  std::uint64_t epoch = 0;
  duration renew_interval = milliseconds(1000);
  clock_ptr clock;
  log_sink log;
  worker_api api;
  worker_fleet* fleet = nullptr;  // Outlives the session.
  std::shared_ptr<wake_signal> wake;
};

// Serves one owned worker: claims it, renews its leases and carries out the
// fleet's orders until it is stopped or the worker has seen a higher epoch.
class worker_session {
 public:
  explicit worker_session(worker_session_options options)
      : options_(std::move(options)) {}

  // Body of the session's thread.
  void Run();

  // Ends the session; with `release` the worker is told that the successor
  // need not wait.
  void Stop(bool release);

  std::uint64_t Epoch() const { return options_.epoch; }
  bool Ended() const { return ended_.load(); }
  const std::shared_ptr<wake_signal>& Wake() const { return options_.wake; }

 private:
  bool ClaimWorker();
  bool RenewLease();
  bool ExecuteCommands();
  // Makes one call; returns its error, or nothing if it succeeded.
  std::optional<error> SendCommand(const worker_command& command);
  bool ExecuteCommand(const worker_command& command);
  bool IsRenewalDue() const;

  worker_session_options options_;
  time_point next_renewal_;
  bool worker_responded_ = true;  // The latest call got an answer.
  std::atomic<bool> release_on_stop_ = false;
  std::atomic<bool> ended_ = false;
};

}  // namespace apricotwheel
