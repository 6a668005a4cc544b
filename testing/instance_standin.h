#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "kernel/clock.h"
#include "testing/journal.h"

namespace apricotwheel::standins {

struct instance_standin_options {
  std::string listen = "127.0.0.1:0";
  std::string worker_id;
  std::string task_id;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  // Highest epoch that the worker or any of its instances has seen. May be
  // null.
  std::shared_ptr<std::atomic<std::uint64_t>> epoch;
  bool ignore_epochs = false;
  bool refuse_over_limit = false;
  std::shared_ptr<journal> event_journal;  // May be null.
  clock_ptr clock = runtime_clock::Running();
};

// Injected faults. Each count is the number of further requests that the fault
// applies to; -1 applies it to all.
struct instance_faults {
  std::int64_t service_ms = 0;
  std::int64_t delay_ms = 0;  // From the end of the work to the response.
  std::int64_t close_mid_reply = 0;
  std::int64_t answer_twice = 0;
  std::int64_t wrong_correlation = 0;
  std::int64_t truncate_body = 0;
  std::int64_t omit_last_chunk = 0;
};

// Returns the FNV-1a hash of path, newline and body as 16 hex digits. Clients
// compare it to detect a response to another request.
std::string RequestDigest(std::string_view path, std::string_view body);

// Stand-in of an upstream instance, as docs/contracts/instance.md describes it.
class instance_standin {
 public:
  static result<std::unique_ptr<instance_standin>> Start(
      instance_standin_options options);
  ~instance_standin();

  const std::string& Address() const;
  void SetFaults(const instance_faults& faults);
  // Drops the connections of all requests, as if the process had ended.
  void Kill();

  std::uint64_t SlotBreachCount() const;
  std::uint64_t ConnectionBreachCount() const;
  // Returns how often the request with this correlation id or idempotency key
  // ran.
  std::uint64_t RequestRunCount(const std::string& id) const;

 private:
  struct state;
  explicit instance_standin(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel::standins
