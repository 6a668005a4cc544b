#include "clients/kv_client.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>

#include "clients/http_connection.h"
#include "clients/wire_format.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Interval between reads that determine the outcome of a write whose response
// was lost. It keeps an outage from causing a burst of calls.
constexpr auto kConfirmInterval = milliseconds(50);
constexpr std::size_t kMaxValueBytes = 1 << 20;
// Time that the response to a long poll may take beyond the wait itself.
constexpr auto kWatchResponseMargin = milliseconds(1500);

kv_entry EntryFromJson(const json& body) {
  return {body.at("key").get<std::string>(),
          body.at("value").get<std::string>(),
          body.at("revision").get<std::uint64_t>()};
}

result<void> CheckStatus(const http_response& response) {
  switch (response.status) {
    case 200:
      return {};
    case 404:
      return Fail(error_kind::kNotFound, "the lease does not exist",
                  "grant a new lease; the old one expired or was revoked");
    case 409:
      return Fail(error_kind::kConflict, "the entry has another revision",
                  "read the entry and decide again");
    case 400:
    case 413:
      return Fail(error_kind::kInvalidArgument,
                  "the service rejected the request",
                  "keep values within 1 MB of UTF-8 text");
    case 503:
      return Fail(error_kind::kUnavailable,
                  "the key-value service is unavailable", "retry with backoff");
    default:
      return Fail(
          error_kind::kTimeout,
          "the service returned status " + std::to_string(response.status),
          "read the entry back before repeating the call");
  }
}

// The built-in HTTP protocol. Watches use a connection pool of their own, so
// that waiting watches do not delay other calls.
struct http_kv_service {
  explicit http_kv_service(const ip_endpoint& peer)
      : pool(peer), watch_pool(peer) {}
  duration connect_timeout{};
  duration call_timeout{};
  http_connection_pool pool;
  http_connection_pool watch_pool;

  // Returns the body of the response.
  result<std::string> Call(http_connection_pool& connections,
                           const char* target, const json& body,
                           duration timeout) {
    if (timeout <= duration::zero()) {
      return Fail(error_kind::kUnavailable, "no time is left for the request",
                  "use a longer timeout");
    }
    http_request request;
    request.target = target;
    BOOST_LEAF_ASSIGN(request.body, SerializeBody(body));
    BOOST_LEAF_AUTO(response,
                    connections.Call(request, connect_timeout, timeout));
    BOOST_LEAF_CHECK(CheckStatus(response));
    return std::move(response.body);
  }
  result<std::string> Call(const char* target, const json& body) {
    return Call(pool, target, body, call_timeout);
  }
};

result<std::optional<kv_entry>> Get(http_kv_service& service,
                                    std::string_view key, duration timeout) {
  BOOST_LEAF_AUTO(
      response, service.Call(service.pool, "/v1/get", {{"key", key}}, timeout));
  return ParseResponse(response, [](const json& parsed) {
    std::optional<kv_entry> entry;
    if (!parsed.at("entry").is_null())
      entry = EntryFromJson(parsed.at("entry"));
    return entry;
  });
}

result<kv_listing> List(http_kv_service& service, std::string_view prefix) {
  BOOST_LEAF_AUTO(response, service.Call("/v1/list", {{"prefix", prefix}}));
  return ParseResponse(response, [](const json& parsed) {
    kv_listing listing;
    for (const auto& entry : parsed.at("entries")) {
      listing.entries.push_back(EntryFromJson(entry));
      listing.revision =
          std::max(listing.revision, listing.entries.back().revision);
    }
    return listing;
  });
}

result<std::uint64_t> Commit(http_kv_service& service,
                             const kv_transaction& writes, duration timeout) {
  if (writes.puts.size() + writes.removals.size() != 1 ||
      writes.conditions.size() > 1) {
    return Fail(error_kind::kInvalidArgument,
                "the service accepts one write per transaction",
                "split the transaction or use another service adapter");
  }
  const bool is_put = !writes.puts.empty();
  json body = {{"key", is_put ? writes.puts[0].key : writes.removals[0]}};
  if (!writes.conditions.empty()) {
    body["expected_revision"] = writes.conditions[0].revision;
  }
  if (is_put) body["value"] = writes.puts[0].value;
  if (is_put && !writes.puts[0].lease_id.empty()) {
    body["lease_id"] = writes.puts[0].lease_id;
  }
  BOOST_LEAF_AUTO(response,
                  service.Call(service.pool, is_put ? "/v1/put" : "/v1/remove",
                               body, timeout));
  if (!is_put) return std::uint64_t{0};
  return ParseResponse(response, [](const json& parsed) {
    return parsed.at("revision").get<std::uint64_t>();
  });
}

result<kv_watch_result> Watch(http_kv_service& service, std::string_view prefix,
                              std::uint64_t revision, duration wait) {
  const json body = {
      {"prefix", prefix},
      {"revision", revision},
      {"wait_ms", std::chrono::duration_cast<milliseconds>(wait).count()}};
  BOOST_LEAF_AUTO(response, service.Call(service.watch_pool, "/v1/watch", body,
                                         wait + kWatchResponseMargin));
  return ParseResponse(response, [](const json& parsed) {
    kv_watch_result changes;
    parsed.at("revision").get_to(changes.revision);
    parsed.at("history_lost").get_to(changes.history_lost);
    for (const auto& event : parsed.at("events")) {
      changes.events.push_back(
          {EntryFromJson(event), event.at("deleted").get<bool>()});
    }
    return changes;
  });
}

result<std::string> GrantLease(http_kv_service& service,
                               duration time_to_live) {
  const auto span = std::chrono::duration_cast<milliseconds>(time_to_live);
  BOOST_LEAF_AUTO(response,
                  service.Call("/v1/lease/grant", {{"ttl_ms", span.count()}}));
  return ParseResponse(response, [](const json& parsed) {
    return parsed.at("lease_id").get<std::string>();
  });
}

// The body of a successful response is not read.
result<void> LeaseCall(http_kv_service& service, const char* target,
                       std::string_view lease_id, duration timeout) {
  BOOST_LEAF_CHECK(
      service.Call(service.pool, target, {{"lease_id", lease_id}}, timeout));
  return {};
}

result<void> RenewLease(http_kv_service& service, std::string_view lease_id) {
  return LeaseCall(service, "/v1/lease/renew", lease_id, service.call_timeout);
}

result<void> RevokeLease(http_kv_service& service, std::string_view lease_id,
                         duration timeout) {
  return LeaseCall(service, "/v1/lease/revoke", lease_id, timeout);
}

}  // namespace

struct kv_client::state {
  kv_protocol protocol;
  duration call_timeout{};
  std::atomic<std::uint64_t> calls = 0;

  duration LimitTimeout(std::optional<duration> timeout) const {
    return std::min(timeout.value_or(call_timeout), call_timeout);
  }
};

kv_client::kv_client(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
kv_client::~kv_client() = default;

result<std::unique_ptr<kv_client>> kv_client::Create(
    const kv_client_options& options) {
  BOOST_LEAF_AUTO(peer, ParseEndpoint(options.address));
  const auto service = std::make_shared<http_kv_service>(peer);
  service->connect_timeout = options.connect_timeout;
  service->call_timeout = options.call_timeout;
  return Create(BindProtocol(service), options.call_timeout);
}

std::unique_ptr<kv_client> kv_client::Create(kv_protocol protocol,
                                             duration call_timeout) {
  auto initial = std::make_unique<state>();
  initial->protocol = std::move(protocol);
  initial->call_timeout = call_timeout;
  return std::unique_ptr<kv_client>(new kv_client(std::move(initial)));
}

result<std::optional<kv_entry>> kv_client::Get(
    std::string_view key, std::optional<duration> timeout) {
  ++state_->calls;
  return state_->protocol.get(key, state_->LimitTimeout(timeout));
}

result<std::vector<kv_entry>> kv_client::List(std::string_view prefix) {
  BOOST_LEAF_AUTO(listing, ListWithRevision(prefix));
  return std::move(listing.entries);
}

result<void> kv_client::ForEach(std::string_view prefix,
                                const std::function<void(kv_entry)>& visit) {
  if (!state_->protocol.list_page) {
    BOOST_LEAF_AUTO(entries, List(prefix));
    for (kv_entry& entry : entries) visit(std::move(entry));
    return {};
  }
  std::string after;
  while (true) {
    ++state_->calls;
    BOOST_LEAF_AUTO(page, state_->protocol.list_page(prefix, after));
    if (!page.entries.empty()) after = page.entries.back().key;
    const bool is_last = !page.has_more || page.entries.empty();
    for (kv_entry& entry : page.entries) visit(std::move(entry));
    if (is_last) return {};
  }
}

result<kv_listing> kv_client::ListWithRevision(std::string_view prefix) {
  ++state_->calls;
  return state_->protocol.list(prefix);
}

result<std::uint64_t> kv_client::Commit(const kv_transaction& writes,
                                        std::optional<duration> timeout) {
  ++state_->calls;
  return state_->protocol.commit(writes, state_->LimitTimeout(timeout));
}

result<std::uint64_t> kv_client::Put(std::string_view key,
                                     std::string_view value,
                                     const kv_put_options& options) {
  if (value.size() > kMaxValueBytes) {
    return Fail(error_kind::kInvalidArgument, "the value is over 1 MB",
                "split it over several keys");
  }
  kv_transaction writes;
  writes.puts.push_back(
      {std::string(key), std::string(value), options.lease_id});
  if (options.expected_revision) {
    writes.conditions.push_back({std::string(key), *options.expected_revision});
  }
  return Commit(writes, options.timeout);
}

result<std::uint64_t> kv_client::PutConfirmed(std::string_view key,
                                              std::string_view value,
                                              std::uint64_t expected_revision,
                                              runtime_clock& clock,
                                              time_point deadline) {
  const auto put = [&] {
    return Put(key, value, {expected_revision, {}, deadline - clock.Now()});
  };
  const auto written = Attempt(put);
  if (written) return *written.value;
  // After a truncated or malformed response the effect is as unknown as after a
  // timeout.
  if (written.failure.kind != error_kind::kTimeout &&
      written.failure.kind != error_kind::kCorrupt) {
    return Fail(written.failure);
  }
  while (clock.Now() < deadline) {
    const auto read = Attempt([&] { return Get(key, deadline - clock.Now()); });
    if (read) {
      const auto& entry = *read.value;
      const std::uint64_t current = entry ? entry->revision : 0;
      if (entry && entry->value == value && current != expected_revision) {
        return current;
      }
      if (current != expected_revision) {
        return Fail(error_kind::kConflict, "another writer changed the entry",
                    "read the entry and decide again");
      }
      // The write is not applied yet, but the service may still be processing
      // it. A second write with the same expected revision resolves this,
      // because at most one of the two can succeed.
      const auto retried = Attempt(put);
      if (retried) return *retried.value;
    }
    clock.SleepUntil(std::min(deadline, clock.Now() + kConfirmInterval));
  }
  return Fail(error_kind::kTimeout, "the outcome of the write is unknown",
              "read the entry back when the service is available again");
}

result<void> kv_client::Remove(std::string_view key,
                               std::optional<std::uint64_t> expected_revision,
                               std::optional<duration> timeout) {
  kv_transaction writes;
  writes.removals.emplace_back(key);
  if (expected_revision) {
    writes.conditions.push_back({std::string(key), *expected_revision});
  }
  BOOST_LEAF_CHECK(Commit(writes, timeout));
  return {};
}

result<kv_watch_result> kv_client::Watch(std::string_view prefix,
                                         std::uint64_t revision,
                                         duration wait) {
  ++state_->calls;
  return state_->protocol.watch(prefix, revision, wait);
}

void kv_client::InterruptWatches() { state_->protocol.interrupt_watches(); }

result<std::string> kv_client::GrantLease(duration time_to_live) {
  ++state_->calls;
  return state_->protocol.grant_lease(time_to_live);
}

result<void> kv_client::RenewLease(std::string_view lease_id) {
  ++state_->calls;
  return state_->protocol.renew_lease(lease_id);
}

result<void> kv_client::RevokeLease(std::string_view lease_id,
                                    std::optional<duration> timeout) {
  ++state_->calls;
  return state_->protocol.revoke_lease(lease_id, state_->LimitTimeout(timeout));
}

std::uint64_t kv_client::CallCount() const { return state_->calls.load(); }

}  // namespace apricotwheel
