#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel {

// In all clients of this package an `unavailable` error means that the call
// provably had no effect, and a `timeout` error that it may have had one.

struct kv_entry {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  // Of the last write; rises over all keys.
};

struct kv_event {
  kv_entry entry;
  bool deleted = false;
};

struct kv_watch_result {
  std::uint64_t revision = 0;  // Pass it to the next watch call.
  bool history_lost = false;   // Too old a revision: list again.
  std::vector<kv_event> events;
};

struct kv_client_options {
  std::string address;  // ip:port
  duration connect_timeout = milliseconds(500);
  duration call_timeout = milliseconds(1500);
};

struct kv_put_options {
  // Required revision of the current entry; 0 requires that none exists;
  // absent writes without a check.
  std::optional<std::uint64_t> expected_revision;
  std::string lease_id;  // The entry is deleted when this lease ends.
  // Used instead of `call_timeout` if it is shorter.
  std::optional<duration> timeout = {};
};

// HTTP client of the platform's key-value service, safe for many threads.
// The protocol is in docs/contracts/key-value-service.md.
class kv_client {
 public:
  static result<std::unique_ptr<kv_client>> Create(kv_client_options options);
  ~kv_client();

  // A `timeout` is used instead of `call_timeout` if it is shorter.
  result<std::optional<kv_entry>> Get(std::string_view key,
                                      std::optional<duration> timeout = {});
  result<std::vector<kv_entry>> List(std::string_view prefix);

  // Returns the new revision. Fails with `conflict` if the expected revision
  // is not the current one and with `timeout` if the effect is unknown.
  result<std::uint64_t> Put(std::string_view key, std::string_view value,
                            const kv_put_options& options = {});

  // Like `put` with an expected revision, but settles a lost reply by reading
  // the entry back: success if it holds `value`, `conflict` if it holds other
  // data. Values must differ between writers. Ends by `deadline`, and fails
  // with `timeout` only if the entry cannot be read before it.
  result<std::uint64_t> PutSettled(std::string_view key, std::string_view value,
                                   std::uint64_t expected_revision,
                                   runtime_clock& clock, time_point deadline);

  result<void> Remove(std::string_view key,
                      std::optional<std::uint64_t> expected_revision = {},
                      std::optional<duration> timeout = {});

  // Waits up to `wait` for events on keys with `prefix` after `revision`.
  result<kv_watch_result> Watch(std::string_view prefix, std::uint64_t revision,
                                duration wait);

  // Ends the running watch calls and refuses later ones, so that a stop does
  // not wait for them.
  void InterruptWatches();

  result<std::string> GrantLease(duration time_to_live);
  result<void> RenewLease(std::string_view lease_id);
  result<void> RevokeLease(std::string_view lease_id,
                           std::optional<duration> timeout = {});

  // Calls made so far, by this client.
  std::uint64_t Calls() const;

 private:
  struct state;
  explicit kv_client(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel
