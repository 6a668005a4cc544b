#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/cell/process_cell.h"

namespace apricotwheel::testing {

// How a caller may retry: with an idempotency key, with a ticket and a key,
// only after `not_run` (plain), or freely (repeatable, sent as GET).
enum class request_kind { kKeyed, kTicket, kPlain, kRepeatable };

// The daemon that receives a caller's first attempt.
enum class entry_choice { kAny, kVictim, kOthers };

// Result of one attempt as the caller received it.
struct request_attempt {
  std::string outcome;  // Empty if no complete response arrived.
  std::string reason;
  bool digest_matches = false;
};

// One request of a caller with all its attempts.
struct request_record {
  std::string id;  // Part of the path; links the journal to it.
  std::string case_name;
  request_kind kind = request_kind::kPlain;
  std::vector<request_attempt> attempts;
};

struct request_load_options {
  std::string case_name;
  std::uint64_t seed = 0;
  std::size_t callers = 200;
  std::vector<request_kind> kinds = {
      request_kind::kKeyed,  request_kind::kKeyed, request_kind::kTicket,
      request_kind::kTicket, request_kind::kPlain, request_kind::kRepeatable};
  entry_choice entry = entry_choice::kAny;
  std::size_t victim = 0;
  bool tickets_of_victim = false;  // The victim issues all tickets and so owns
                                   // their keys.
  std::size_t max_requests_per_caller = 200;
};

// Sends requests to all daemons by concurrent callers. Each caller has one
// request in flight at a time.
class request_load {
 public:
  request_load(const process_cell& cell, request_load_options options);
  ~request_load();

  std::uint64_t FinishedRequestCount() const { return finished_; }
  // Stops the callers after their current requests and returns all records.
  std::vector<request_record> Stop();

 private:
  void RunCaller(std::size_t caller);
  request_record RunRequest(std::size_t caller, std::size_t number,
                            std::uint64_t random);
  std::string RequestTicket(std::size_t first) const;
  std::size_t ChooseFirstDaemon(std::uint64_t random) const;

  const request_load_options options_;
  std::vector<std::string> addresses_;
  std::atomic<bool> stop_ = false;
  std::atomic<std::uint64_t> finished_ = 0;
  std::mutex mutex_;
  std::vector<request_record> records_;
  std::vector<std::thread> threads_;
};

}  // namespace apricotwheel::testing
