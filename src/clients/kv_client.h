#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel {

// In all clients of this package, an `unavailable` error means that the request
// had no effect, and a `timeout` error that it may have had one.

struct kv_entry {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  // Of the last write; increases across all keys.
};

struct kv_event {
  kv_entry entry;
  bool deleted = false;
};

struct kv_watch_result {
  std::uint64_t revision = 0;  // To pass to the next watch call.
  bool history_lost = false;   // The revision was too old: list again.
  std::vector<kv_event> events;
};

struct kv_listing {
  std::vector<kv_entry> entries;
  // A watch that starts at this revision reports every change that `entries`
  // lacks.
  std::uint64_t revision = 0;
};

struct kv_page {
  std::vector<kv_entry> entries;
  bool has_more = false;  // Entries with later keys.
};

struct kv_condition {
  std::string key;
  std::uint64_t revision = 0;  // 0 requires that the key does not exist.
};

struct kv_write {
  std::string key;
  std::string value;
  std::string lease_id;  // The entry is deleted when this lease ends.
};

// Writes that are applied atomically, or not at all if a condition does not
// hold.
struct kv_transaction {
  std::vector<kv_condition> conditions;
  std::vector<kv_write> puts;
  std::vector<std::string> removals;
};

// The operations of one kind of key-value service, implemented by its adapter.
// All are thread-safe.
struct kv_protocol {
  std::function<result<std::optional<kv_entry>>(std::string_view key,
                                                duration timeout)>
      get;
  std::function<result<kv_listing>(std::string_view prefix)> list;
  // Returns entries with keys after `after`, in their order. Without this
  // operation, all entries are one page.
  std::function<result<kv_page>(std::string_view prefix,
                                std::string_view after)>
      list_page = {};
  // Returns the revision of the writes. Fails with `conflict` if a condition
  // does not hold, and with `not_found` if a lease has expired or was revoked.
  std::function<result<std::uint64_t>(const kv_transaction& writes,
                                      duration timeout)>
      commit;
  std::function<result<kv_watch_result>(std::string_view prefix,
                                        std::uint64_t revision, duration wait)>
      watch;
  std::function<void()> interrupt_watches;
  std::function<result<std::string>(duration time_to_live)> grant_lease;
  std::function<result<void>(std::string_view lease_id)> renew_lease;
  std::function<result<void>(std::string_view lease_id, duration timeout)>
      revoke_lease;
};

// Builds a protocol from the free functions `Get`, `List`, `Commit`, `Watch`,
// `GrantLease`, `RenewLease` and `RevokeLease`, which are declared in the
// namespace of `Service`, and from its member `watch_pool`, the connection pool
// of the watches.
template <class Service>
kv_protocol BindProtocol(const std::shared_ptr<Service>& service) {
  kv_protocol protocol;
  protocol.get = [service](std::string_view key, duration timeout) {
    return Get(*service, key, timeout);
  };
  protocol.list = [service](std::string_view prefix) {
    return List(*service, prefix);
  };
  if constexpr (requires { ListPage(*service, "", ""); }) {
    protocol.list_page = [service](std::string_view prefix,
                                   std::string_view after) {
      return ListPage(*service, prefix, after);
    };
  }
  protocol.commit = [service](const kv_transaction& writes, duration timeout) {
    return Commit(*service, writes, timeout);
  };
  protocol.watch = [service](std::string_view prefix, std::uint64_t revision,
                             duration wait) {
    return Watch(*service, prefix, revision, wait);
  };
  protocol.interrupt_watches = [service] { service->watch_pool.Interrupt(); };
  protocol.grant_lease = [service](duration time_to_live) {
    return GrantLease(*service, time_to_live);
  };
  protocol.renew_lease = [service](std::string_view lease_id) {
    return RenewLease(*service, lease_id);
  };
  protocol.revoke_lease = [service](std::string_view lease_id,
                                    duration timeout) {
    return RevokeLease(*service, lease_id, timeout);
  };
  return protocol;
}

struct kv_client_options {
  std::string address;  // ip:port
  duration connect_timeout = milliseconds(500);
  duration call_timeout = milliseconds(1500);
};

struct kv_put_options {
  // Revision that the current entry must have; 0 requires that the key does not
  // exist. Without a value the write is unconditional.
  std::optional<std::uint64_t> expected_revision;
  std::string lease_id;  // The entry is deleted when this lease ends.
  // Replaces `call_timeout` if it is shorter.
  std::optional<duration> timeout = {};
};

// Thread-safe client of the platform's key-value service. A client that is
// created with an address uses the protocol in
// docs/contracts/key-value-service.md, which allows one write per transaction.
class kv_client {
 public:
  static result<std::unique_ptr<kv_client>> Create(
      const kv_client_options& options);
  static std::unique_ptr<kv_client> Create(kv_protocol protocol,
                                           duration call_timeout);
  ~kv_client();

  // A `timeout` replaces `call_timeout` if it is shorter.
  result<std::optional<kv_entry>> Get(std::string_view key,
                                      std::optional<duration> timeout = {});
  result<std::vector<kv_entry>> List(std::string_view prefix);
  // Calls `visit` with each entry, without holding all of them at once. Pages
  // are not a snapshot.
  result<void> ForEach(std::string_view prefix,
                       const std::function<void(kv_entry)>& visit);
  // Also returns the revision at which to start a watch.
  result<kv_listing> ListWithRevision(std::string_view prefix);

  // See `kv_protocol::commit`. Fails with `timeout` if the effect is unknown.
  result<std::uint64_t> Commit(const kv_transaction& writes,
                               std::optional<duration> timeout = {});

  // Returns the new revision. Fails with `conflict` if the expected revision is
  // not the current one, and with `timeout` if the effect is unknown.
  result<std::uint64_t> Put(std::string_view key, std::string_view value,
                            const kv_put_options& options = {});

  // Like `Put` with an expected revision, but if the response is lost, reads
  // the entry back to determine the outcome: succeeds if the entry holds
  // `value` and fails with `conflict` if it holds another value. Writers must
  // write different values. Returns by `deadline`, and fails with `timeout`
  // only if the outcome is still unknown then.
  result<std::uint64_t> PutConfirmed(std::string_view key,
                                     std::string_view value,
                                     std::uint64_t expected_revision,
                                     runtime_clock& clock, time_point deadline);

  result<void> Remove(std::string_view key,
                      std::optional<std::uint64_t> expected_revision = {},
                      std::optional<duration> timeout = {});

  // Waits up to `wait` for events after `revision` on keys with `prefix`.
  result<kv_watch_result> Watch(std::string_view prefix, std::uint64_t revision,
                                duration wait);

  // Aborts the watch calls in flight and rejects later ones, so that a stop
  // does not wait for them.
  void InterruptWatches();

  result<std::string> GrantLease(duration time_to_live);
  result<void> RenewLease(std::string_view lease_id);
  result<void> RevokeLease(std::string_view lease_id,
                           std::optional<duration> timeout = {});

  // Returns the number of calls that this client has made.
  std::uint64_t CallCount() const;

 private:
  struct state;
  explicit kv_client(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel
