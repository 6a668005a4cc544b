#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "workers/worker_api.h"
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

// Manages one owned worker: claims it, renews its leases and executes the
// fleet's commands until it is stopped or the worker has seen a higher epoch.
class worker_session {
 public:
  explicit worker_session(worker_session_options options)
      : options_(std::move(options)) {}

  // Runs the session in the calling thread until it ends.
  void Run();

  // Ends the session. With `release` it also releases the worker, so that the
  // next owner need not wait until the dispatch authority expires.
  void Stop(bool release);

  std::uint64_t Epoch() const { return options_.epoch; }
  bool Ended() const { return ended_.load(); }
  const std::shared_ptr<wake_signal>& Wake() const { return options_.wake; }

 private:
  // These return false if the worker has seen a higher epoch.
  bool ClaimWorker();
  bool RenewLease();
  bool ExecuteCommands();
  // Calls the worker. Returns the error, or nothing on success.
  std::optional<error> SendCommand(const worker_command& command);
  // Returns false if the worker has seen a higher epoch.
  bool ExecuteCommand(const worker_command& command);
  bool IsRenewalDue() const;

  worker_session_options options_;
  time_point next_renewal_;
  bool worker_responded_ = true;  // The last call got a response.
  std::atomic<bool> release_on_stop_ = false;
  std::atomic<bool> ended_ = false;
};

}  // namespace apricotwheel
