#include "platform/kv_client.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>

#include "platform/http_connection.h"
#include "platform/wire_format.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

// Pause between two reads that settle a lost reply, so that an outage does not
// turn into a burst of calls.
constexpr auto kSettlePause = milliseconds(50);
constexpr std::size_t kMaxValueBytes = 1 << 20;
// Time that an answer to a long poll may take beyond the wait itself.
constexpr auto kWatchGrace = milliseconds(1500);

kv_entry EntryFromJson(const json& body) {
  return {body.at("key").get<std::string>(),
          body.at("value").get<std::string>(),
          body.at("revision").get<std::uint64_t>()};
}

result<void> CheckStatus(const http_reply& reply) {
  switch (reply.status) {
    case 200:
      return {};
    case 404:
      return Fail(error_kind::kNotFound, "no such lease",
                  "grant a new lease; the old one expired");
    case 409:
      return Fail(error_kind::kConflict, "the entry has another revision",
                  "read the entry and decide again");
    case 400:
    case 413:
      return Fail(error_kind::kInvalidArgument, "the service refused the call",
                  "keep values within 1 MB of UTF-8 text");
    case 503:
      return Fail(error_kind::kUnavailable, "the key-value service is down",
                  "try again with a back-off");
    default:
      return Fail(error_kind::kTimeout,
                  "the service answered " + std::to_string(reply.status),
                  "read the entry back before repeating the call");
  }
}

}  // namespace

struct kv_client::state {
  explicit state(const ip_endpoint& peer) : pool(peer), watch_pool(peer) {}
  kv_client_options options;
  http_pool pool;
  http_pool watch_pool;
  std::atomic<std::uint64_t> calls = 0;

  // Returns the body of the reply.
  result<std::string> Call(http_pool& connections, const char* target,
                           const json& body, duration timeout) {
    if (timeout <= duration::zero()) {
      return Fail(error_kind::kUnavailable, "no time is left for the call",
                  "allow more time");
    }
    http_call call;
    call.target = target;
    BOOST_LEAF_ASSIGN(call.body, ToBody(body));
    ++calls;
    BOOST_LEAF_AUTO(reply,
                    connections.Call(call, options.connect_timeout, timeout));
    BOOST_LEAF_CHECK(CheckStatus(reply));
    return std::move(reply.body);
  }
  result<std::string> Call(const char* target, const json& body,
                           std::optional<duration> timeout = {}) {
    return Call(
        pool, target, body,
        std::min(timeout.value_or(options.call_timeout), options.call_timeout));
  }
};

kv_client::kv_client(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
kv_client::~kv_client() = default;

result<std::unique_ptr<kv_client>> kv_client::Create(
    kv_client_options options) {
  BOOST_LEAF_AUTO(peer, ParseEndpoint(options.address));
  auto initial = std::make_unique<state>(peer);
  initial->options = std::move(options);
  return std::unique_ptr<kv_client>(new kv_client(std::move(initial)));
}

result<std::optional<kv_entry>> kv_client::Get(
    std::string_view key, std::optional<duration> timeout) {
  BOOST_LEAF_AUTO(reply, state_->Call("/v1/get", {{"key", key}}, timeout));
  return ParseReply(reply, [](const json& answer) {
    std::optional<kv_entry> entry;
    if (!answer.at("entry").is_null())
      entry = EntryFromJson(answer.at("entry"));
    return entry;
  });
}

result<std::vector<kv_entry>> kv_client::List(std::string_view prefix) {
  BOOST_LEAF_AUTO(reply, state_->Call("/v1/list", {{"prefix", prefix}}));
  return ParseReply(reply, [](const json& answer) {
    std::vector<kv_entry> entries;
    for (const auto& entry : answer.at("entries")) {
      entries.push_back(EntryFromJson(entry));
    }
    return entries;
  });
}

result<std::uint64_t> kv_client::Put(std::string_view key,
                                     std::string_view value,
                                     const kv_put_options& options) {
  if (value.size() > kMaxValueBytes) {
    return Fail(error_kind::kInvalidArgument, "the value is over 1 MB",
                "split it over several keys");
  }
  json body = {{"key", key}, {"value", value}};
  if (options.expected_revision) {
    body["expected_revision"] = *options.expected_revision;
  }
  if (!options.lease_id.empty()) body["lease_id"] = options.lease_id;
  BOOST_LEAF_AUTO(reply, state_->Call("/v1/put", body, options.timeout));
  return ParseReply(reply, [](const json& answer) {
    return answer.at("revision").get<std::uint64_t>();
  });
}

result<std::uint64_t> kv_client::PutSettled(std::string_view key,
                                            std::string_view value,
                                            std::uint64_t expected_revision,
                                            runtime_clock& clock,
                                            time_point deadline) {
  const auto put = [&] {
    return Put(key, value, {expected_revision, {}, deadline - clock.Now()});
  };
  const auto written = Attempt(put);
  if (written) return *written.value;
  // A cut-short or malformed reply leaves the effect as unknown as none does.
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
        return Fail(error_kind::kConflict, "another writer won",
                    "read the entry and decide again");
      }
      // Not applied yet, but the service may still hold the write. Any second
      // write with the same expected revision settles it: at most one wins.
      const auto again = Attempt(put);
      if (again) return *again.value;
    }
    clock.SleepUntil(std::min(deadline, clock.Now() + kSettlePause));
  }
  return Fail(error_kind::kTimeout, "the write could not be settled",
              "read the entry back when the service answers again");
}

result<void> kv_client::Remove(std::string_view key,
                               std::optional<std::uint64_t> expected_revision,
                               std::optional<duration> timeout) {
  json body = {{"key", key}};
  if (expected_revision) body["expected_revision"] = *expected_revision;
  BOOST_LEAF_CHECK(state_->Call("/v1/remove", body, timeout));
  return {};
}

result<kv_watch_result> kv_client::Watch(std::string_view prefix,
                                         std::uint64_t revision,
                                         duration wait) {
  const json body = {
      {"prefix", prefix},
      {"revision", revision},
      {"wait_ms", std::chrono::duration_cast<milliseconds>(wait).count()}};
  BOOST_LEAF_AUTO(reply, state_->Call(state_->watch_pool, "/v1/watch", body,
                                      wait + kWatchGrace));
  return ParseReply(reply, [](const json& answer) {
    kv_watch_result seen;
    answer.at("revision").get_to(seen.revision);
    answer.at("history_lost").get_to(seen.history_lost);
    for (const auto& event : answer.at("events")) {
      seen.events.push_back(
          {EntryFromJson(event), event.at("deleted").get<bool>()});
    }
    return seen;
  });
}

void kv_client::InterruptWatches() { state_->watch_pool.Interrupt(); }

result<std::string> kv_client::GrantLease(duration time_to_live) {
  const auto span = std::chrono::duration_cast<milliseconds>(time_to_live);
  BOOST_LEAF_AUTO(reply,
                  state_->Call("/v1/lease/grant", {{"ttl_ms", span.count()}}));
  return ParseReply(reply, [](const json& answer) {
    return answer.at("lease_id").get<std::string>();
  });
}

result<void> kv_client::RenewLease(std::string_view lease_id) {
  BOOST_LEAF_CHECK(state_->Call("/v1/lease/renew", {{"lease_id", lease_id}}));
  return {};
}

result<void> kv_client::RevokeLease(std::string_view lease_id,
                                    std::optional<duration> timeout) {
  BOOST_LEAF_CHECK(
      state_->Call("/v1/lease/revoke", {{"lease_id", lease_id}}, timeout));
  return {};
}

std::uint64_t kv_client::Calls() const { return state_->calls.load(); }

}  // namespace apricotwheel
