#include "testing/kv_standin.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <limits>
#include <map>
#include <mutex>
#include <optional>

#include "kernel/random.h"
#include "testing/json_route.h"

namespace apricotwheel::standins {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1 << 20;
// Higher than kMaxValueBytes, because JSON escapes make values longer.
constexpr std::size_t kMaxBodyBytes = 8 << 20;
constexpr auto kMaxWatchWait = std::chrono::seconds(60);

struct stored_entry {
  std::string value;
  std::uint64_t revision = 0;
  std::string lease_id;
};

struct stored_event {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool deleted = false;
};

struct stored_lease {
  duration time_to_live{};
  time_point expires;
};

json EntryJson(const std::string& key, const stored_entry& entry) {
  return {{"key", key}, {"value", entry.value}, {"revision", entry.revision}};
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

struct kv_standin::state {
  kv_standin_options options;
  mutable std::mutex mutex;
  std::condition_variable state_changed;
  std::map<std::string, stored_entry> entries;
  std::map<std::string, stored_lease> leases;
  std::deque<stored_event> event_history;
  std::uint64_t revision = 0;
  std::uint64_t newest_dropped_revision = 0;  // 0: none dropped.
  std::map<std::string, std::uint64_t> calls;
  kv_faults faults;
  bool stopping = false;
  std::unique_ptr<http_listener> listener;

  using lock = std::unique_lock<std::mutex>;

  void AppendEvent(const std::string& key, const std::string& value,
                   bool deleted) {
    event_history.push_back({key, value, ++revision, deleted});
    if (event_history.size() > options.max_history_events) {
      newest_dropped_revision = event_history.front().revision;
      event_history.pop_front();
    }
    state_changed.notify_all();
  }

  // Deletes the lease and all entries attached to it.
  void DeleteLease(const std::string& lease_id) {
    leases.erase(lease_id);
    for (auto it = entries.begin(); it != entries.end();) {
      if (it->second.lease_id != lease_id) {
        ++it;
        continue;
      }
      AppendEvent(it->first, "", true);
      it = entries.erase(it);
    }
  }

  void ExpireLeases() {
    const auto now = options.clock->Now();
    std::vector<std::string> expired;
    for (const auto& [id, lease] : leases) {
      if (lease.expires <= now) expired.push_back(id);
    }
    for (const auto& id : expired) DeleteLease(id);
  }

  time_point NextExpiry() const {
    time_point next = time_point::max();
    for (const auto& [id, lease] : leases) next = std::min(next, lease.expires);
    return next;
  }

  json_response Get(const json& call) {
    const auto it = entries.find(call.at("key").get<std::string>());
    json entry;
    if (it != entries.end()) entry = EntryJson(it->first, it->second);
    return {200, {{"entry", entry}}};
  }

  json_response List(const json& call) {
    const auto prefix = call.at("prefix").get<std::string>();
    json found = json::array();
    for (auto it = entries.lower_bound(prefix);
         it != entries.end() && HasPrefix(it->first, prefix); ++it) {
      found.push_back(EntryJson(it->first, it->second));
    }
    return {200, {{"entries", found}, {"revision", revision}}};
  }

  bool RevisionDiffers(const json& call, const std::string& key) const {
    if (!call.contains("expected_revision")) return false;
    const auto it = entries.find(key);
    const std::uint64_t current = it == entries.end() ? 0 : it->second.revision;
    return current != call.at("expected_revision").get<std::uint64_t>();
  }

  json_response Put(const json& call) {
    const auto key = call.at("key").get<std::string>();
    const auto value = call.at("value").get<std::string>();
    const auto lease_id = call.value("lease_id", std::string());
    if (value.size() > kMaxValueBytes) return {413};
    if (!lease_id.empty() && !leases.contains(lease_id)) return {404};
    if (RevisionDiffers(call, key)) return {409};
    AppendEvent(key, value, false);
    entries[key] = {value, revision, lease_id};
    return {200, {{"revision", revision}}};
  }

  json_response Remove(const json& call) {
    const auto key = call.at("key").get<std::string>();
    if (RevisionDiffers(call, key)) return {409};
    if (entries.erase(key) > 0) AppendEvent(key, "", true);
    return {};
  }

  json_response Watch(const json& call, lock& held) {
    const auto prefix = call.at("prefix").get<std::string>();
    const auto since = call.at("revision").get<std::uint64_t>();
    const auto timeout = std::min<duration>(
        milliseconds(call.at("wait_ms").get<std::int64_t>()), kMaxWatchWait);
    const auto deadline = options.clock->Now() + timeout;
    json events = json::array();
    while (true) {
      ExpireLeases();
      if (since < newest_dropped_revision) {
        return {200,
                {{"revision", revision},
                 {"history_lost", true},
                 {"events", json::array()}}};
      }
      for (const auto& event : event_history) {
        if (event.revision <= since || !HasPrefix(event.key, prefix)) continue;
        events.push_back({{"key", event.key},
                          {"value", event.value},
                          {"revision", event.revision},
                          {"deleted", event.deleted}});
      }
      if (!events.empty() || stopping || options.clock->Now() >= deadline) {
        break;
      }
      if (faults.outage != kv_outage::kNone) return {503};
      const auto checked_revision = revision;
      options.clock->WaitUntil(
          held, state_changed, std::min(deadline, NextExpiry()), [&] {
            return revision != checked_revision || stopping ||
                   faults.outage != kv_outage::kNone;
          });
    }
    return {200,
            {{"revision", std::max(revision, since)},
             {"history_lost", false},
             {"events", events}}};
  }

  json_response GrantLease(const json& call) {
    const auto ttl = milliseconds(call.at("ttl_ms").get<std::int64_t>());
    if (ttl <= milliseconds(0)) return {400};
    const auto id = RandomHex(8);
    leases[id] = {ttl, options.clock->Now() + ttl};
    state_changed.notify_all();
    return {200, {{"lease_id", id}}};
  }

  json_response RenewLease(const json& call) {
    const auto it = leases.find(call.at("lease_id").get<std::string>());
    if (it == leases.end()) return {404};
    it->second.expires = options.clock->Now() + it->second.time_to_live;
    return {};
  }

  json_response RevokeLease(const json& call) {
    DeleteLease(call.at("lease_id").get<std::string>());
    return {};
  }

  // Counts the call, applies the injected faults, and otherwise executes
  // `apply`.
  template <class Apply>
  json_response ServeCall(const char* kind, bool is_write, Apply apply) {
    lock held(mutex);
    ++calls[kind];
    if (faults.slow_ms > 0) {
      options.clock->WaitFor(held, state_changed, milliseconds(faults.slow_ms),
                             [&] { return stopping; });
    }
    if (faults.outage == kv_outage::kHang) {
      options.clock->WaitUntil(held, state_changed, time_point::max(), [&] {
        return stopping || faults.outage != kv_outage::kHang;
      });
    }
    if (faults.outage == kv_outage::kClose) DropConnection();
    if (faults.outage != kv_outage::kNone) return {503};
    ExpireLeases();
    json_response response = apply(held);
    if (is_write && response.status == 200 && faults.lose_replies > 0) {
      --faults.lose_replies;
      DropConnection();
    }
    return response;
  }

  void AddCallRoute(const char* kind, bool is_write,
                    json_response (state::*apply)(const json&)) {
    RouteJson(listener->Server(), std::string("/v1/") + kind,
              [this, kind, is_write, apply](const json& call) {
                return ServeCall(kind, is_write,
                                 [&](lock&) { return (this->*apply)(call); });
              });
  }

  void ReplaceFaults(const kv_faults& next) {
    const std::lock_guard held(mutex);
    faults = next;
    state_changed.notify_all();
  }

  void AddRoutes() {
    AddCallRoute("get", false, &state::Get);
    AddCallRoute("list", false, &state::List);
    AddCallRoute("put", true, &state::Put);
    AddCallRoute("remove", true, &state::Remove);
    AddCallRoute("lease/grant", true, &state::GrantLease);
    AddCallRoute("lease/renew", true, &state::RenewLease);
    AddCallRoute("lease/revoke", true, &state::RevokeLease);
    auto& server = listener->Server();
    RouteJson(server, "/v1/watch", [this](const json& call) {
      return ServeCall("watch", false,
                       [&](lock& held) { return Watch(call, held); });
    });
    RouteJson(server, "/admin/faults", [this](const json& call) {
      static const std::map<std::string, kv_outage> names = {
          {"none", kv_outage::kNone},
          {"refuse", kv_outage::kRefuse},
          {"close", kv_outage::kClose},
          {"hang", kv_outage::kHang}};
      const auto name = names.find(call.value("outage", "none"));
      if (name == names.end()) return json_response{400};
      ReplaceFaults({name->second, call.value("slow_ms", std::int64_t{0}),
                     call.value("lose_replies", std::int64_t{0})});
      return json_response{};
    });
    server.Get("/admin/stats", [this](const httplib::Request&,
                                      httplib::Response& response) {
      const std::lock_guard held(mutex);
      WriteJsonResponse(response, {200,
                                   {{"calls", calls},
                                    {"revision", revision},
                                    {"entries", entries.size()},
                                    {"leases", leases.size()},
                                    {"lose_replies", faults.lose_replies}}});
    });
  }
};

kv_standin::kv_standin(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

kv_standin::~kv_standin() {
  {
    const std::lock_guard held(state_->mutex);
    state_->stopping = true;
    state_->state_changed.notify_all();
  }
  state_->listener->Stop();
}

result<std::unique_ptr<kv_standin>> kv_standin::Start(
    kv_standin_options options) {
  auto initial = std::make_unique<state>();
  initial->options = std::move(options);
  http_listener_options listen;
  listen.address = initial->options.listen;
  listen.limits.max_body_bytes = kMaxBodyBytes;
  BOOST_LEAF_ASSIGN(initial->listener, http_listener::Bind(listen));
  initial->AddRoutes();
  BOOST_LEAF_CHECK(initial->listener->Start());
  return std::unique_ptr<kv_standin>(new kv_standin(std::move(initial)));
}

const std::string& kv_standin::Address() const {
  return state_->listener->Address();
}

void kv_standin::SetFaults(const kv_faults& faults) {
  state_->ReplaceFaults(faults);
}

std::uint64_t kv_standin::CallCount(const std::string& kind) const {
  const std::lock_guard held(state_->mutex);
  const auto it = state_->calls.find(kind);
  return it == state_->calls.end() ? 0 : it->second;
}

}  // namespace apricotwheel::standins
