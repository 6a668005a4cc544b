#include "testing/instance_standin.h"

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <map>
#include <mutex>

#include "testing/json_route.h"

namespace apricotwheel::standins {

namespace {

using nlohmann::json;

constexpr const char* kCorrelationHeader = "Apricotwheel-Correlation-Id";
// Accepted connections above the limit, so that violations can be counted.
constexpr std::size_t kConnectionsAboveLimit = 64;
constexpr std::size_t kMaxBodyBytes = 8 << 20;

std::uint64_t ParseU64(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Returns whether the fault applies to this request, and counts it down.
bool ConsumeFault(std::int64_t& count) {
  if (count == 0) return false;
  if (count > 0) --count;
  return true;
}

void SendRaw(std::string_view data) {
  send(http_listener::CurrentSocket(), data.data(), data.size(), MSG_NOSIGNAL);
}

}  // namespace

std::string RequestDigest(std::string_view path, std::string_view body) {
  std::uint64_t hash = 14695981039346656037ULL;
  const auto add = [&hash](std::string_view text) {
    for (const char byte : text) {
      hash ^= static_cast<unsigned char>(byte);
      hash *= 1099511628211ULL;
    }
  };
  add(path);
  add("\n");
  add(body);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; hash >>= 4) text[i] = kDigits[hash & 15];
  return text;
}

struct instance_standin::state {
  instance_standin_options options;
  mutable std::mutex mutex;
  std::condition_variable state_changed;
  instance_faults faults;
  bool killed = false;
  std::uint32_t slots_in_use = 0;
  std::uint32_t max_slots_in_use = 0;
  std::size_t max_connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t slot_breaches = 0;
  std::uint64_t connection_breaches = 0;
  std::uint64_t stale_refused = 0;
  std::map<std::string, std::uint64_t> runs;
  std::unique_ptr<http_listener> listener;

  void LogBreach(const char* kind, std::size_t count, std::size_t limit) {
    if (!options.event_journal) return;
    options.event_journal->Append({{"event", kind},
                                   {"worker", options.worker_id},
                                   {"task", options.task_id},
                                   {"count", count},
                                   {"limit", limit}});
  }

  // Updates the highest epoch. Returns false if the request's epoch is older.
  bool AdmitEpoch(const httplib::Request& request) {
    if (options.ignore_epochs || !request.has_header("Apricotwheel-Epoch")) {
      return true;
    }
    const auto epoch = ParseU64(request.get_header_value("Apricotwheel-Epoch"));
    auto highest = options.epoch->load();
    while (epoch > highest &&
           !options.epoch->compare_exchange_weak(highest, epoch)) {
    }
    return epoch >= highest;
  }

  void RejectRequest(httplib::Response& response, int status,
                     const char* reason) {
    response.status = status;
    response.set_header("Apricotwheel-Outcome", "not_run");
    response.set_content(json{{"error", reason}}.dump(), "application/json");
  }

  void HandleRequest(const httplib::Request& request,
                     httplib::Response& response) {
    const auto id = request.get_header_value(kCorrelationHeader);
    const auto key = request.get_header_value("Idempotency-Key");
    response.set_header(kCorrelationHeader, id);
    std::unique_lock lock(mutex);
    if (killed) return DropConnection();
    if (!AdmitEpoch(request)) {
      ++stale_refused;
      return RejectRequest(response, 412, "stale epoch");
    }
    const auto open_connections = listener->OpenConnections();
    max_connections = std::max(max_connections, open_connections);
    if (open_connections > options.connections) {
      ++connection_breaches;
      LogBreach("connection_breach", open_connections, options.connections);
    }
    if (slots_in_use >= options.slots) {
      ++slot_breaches;
      LogBreach("slot_breach", slots_in_use + 1, options.slots);
      if (options.refuse_over_limit)
        return RejectRequest(response, 503, "no slot");
    }
    ++requests;
    ++slots_in_use;
    max_slots_in_use = std::max(max_slots_in_use, slots_in_use);
    if (!id.empty()) ++runs[id];
    if (!key.empty()) ++runs[key];
    if (options.event_journal) {
      // The journal outlives the instance, so that tests can count all runs of
      // a request.
      options.event_journal->Append({{"event", "request_run"},
                                     {"worker", options.worker_id},
                                     {"task", options.task_id},
                                     {"correlation_id", id},
                                     {"key", key},
                                     {"target", request.target}});
    }
    const auto requested_ms = request.get_param_value("service_ms");
    const auto service =
        milliseconds(requested_ms.empty()
                         ? faults.service_ms
                         : static_cast<std::int64_t>(ParseU64(requested_ms)));
    const auto response_delay = service + milliseconds(faults.delay_ms);
    if (response_delay > milliseconds(0)) {
      options.clock->WaitFor(lock, state_changed, response_delay,
                             [&] { return killed; });
    }
    --slots_in_use;
    if (killed) return DropConnection();
    response.status = 200;
    response.set_content(
        json{{"worker", options.worker_id},
             {"task", options.task_id},
             {"correlation_id", id},
             {"digest", RequestDigest(request.target, request.body)}}
            .dump(),
        "application/json");
    ApplyResponseFaults(response, id);
  }

  // Applies the injected faults to the response.
  void ApplyResponseFaults(httplib::Response& response, const std::string& id) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
        std::string(kCorrelationHeader) + ": " + id + "\r\n";
    if (ConsumeFault(faults.wrong_correlation)) {
      // The body is also that of another request, so that callers can detect
      // it.
      response.set_content(json{{"correlation_id", "other-" + id},
                                {"digest", RequestDigest("other", "")}}
                               .dump(),
                           "application/json");
      response.headers.erase(kCorrelationHeader);
      response.set_header(kCorrelationHeader, "other-" + id);
    }
    const std::string& body = response.body;
    const auto half = std::string_view{body}.substr(0, body.size() / 2);
    if (ConsumeFault(faults.answer_twice)) {
      SendRaw(head + "Content-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body);
    }
    if (ConsumeFault(faults.close_mid_reply)) {
      SendRaw(head);
      DropConnection();
    }
    if (ConsumeFault(faults.truncate_body)) {
      SendRaw(head + "Content-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + std::string(half));
      DropConnection();
    }
    if (ConsumeFault(faults.omit_last_chunk)) {
      // The data chunk is complete; only the final empty chunk is missing.
      SendRaw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n");
      DropConnection();
    }
  }

  void ReplaceFaults(const instance_faults& next) {
    const std::lock_guard lock(mutex);
    faults = next;
  }

  void AddRoutes() {
    auto& server = listener->Server();
    server.Get("/apricotwheel/usage", [this](const httplib::Request&,
                                             httplib::Response& response) {
      const std::lock_guard lock(mutex);
      if (killed) return DropConnection();
      WriteJsonResponse(response,
                        {200,
                         {{"slots_in_use", slots_in_use},
                          {"connections", listener->OpenConnections() - 1}}});
    });
    server.Get("/admin/stats",
               [this](const httplib::Request&, httplib::Response& response) {
                 const std::lock_guard lock(mutex);
                 WriteJsonResponse(
                     response, {200,
                                {{"requests", requests},
                                 {"runs", runs},
                                 {"slots_in_use", slots_in_use},
                                 {"max_slots", max_slots_in_use},
                                 {"max_connections", max_connections},
                                 {"slot_breaches", slot_breaches},
                                 {"connection_breaches", connection_breaches},
                                 {"stale_refused", stale_refused}}});
               });
    RouteJson(server, "/admin/faults", [this](const json& call) {
      const auto number = [&call](const char* name) {
        return call.value(name, std::int64_t{0});
      };
      ReplaceFaults({number("service_ms"), number("delay_ms"),
                     number("close_mid_reply"), number("answer_twice"),
                     number("wrong_correlation"), number("truncate_body"),
                     number("omit_last_chunk")});
      return json_response{};
    });
    const auto handler = [this](const httplib::Request& request,
                                httplib::Response& response) {
      HandleRequest(request, response);
    };
    server.Get(".*", handler);
    server.Post(".*", httplib::Server::Handler(handler));
    server.Put(".*", httplib::Server::Handler(handler));
    server.Patch(".*", httplib::Server::Handler(handler));
    server.Delete(".*", httplib::Server::Handler(handler));
    server.Options(".*", handler);
  }
};

instance_standin::instance_standin(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

instance_standin::~instance_standin() {
  Kill();
  state_->listener->Stop();
}

result<std::unique_ptr<instance_standin>> instance_standin::Start(
    instance_standin_options options) {
  auto initial = std::make_unique<state>();
  initial->options = std::move(options);
  if (!initial->options.epoch) {
    initial->options.epoch = std::make_shared<std::atomic<std::uint64_t>>(0);
  }
  http_listener_options listen;
  listen.address = initial->options.listen;
  listen.max_connections =
      initial->options.connections + kConnectionsAboveLimit;
  listen.limits.max_body_bytes = kMaxBodyBytes;
  BOOST_LEAF_ASSIGN(initial->listener, http_listener::Bind(listen));
  initial->AddRoutes();
  BOOST_LEAF_CHECK(initial->listener->Start());
  return std::unique_ptr<instance_standin>(
      new instance_standin(std::move(initial)));
}

const std::string& instance_standin::Address() const {
  return state_->listener->Address();
}

void instance_standin::SetFaults(const instance_faults& faults) {
  state_->ReplaceFaults(faults);
}

void instance_standin::Kill() {
  const std::lock_guard lock(state_->mutex);
  state_->killed = true;
  state_->state_changed.notify_all();
}

std::uint64_t instance_standin::SlotBreachCount() const {
  const std::lock_guard lock(state_->mutex);
  return state_->slot_breaches;
}

std::uint64_t instance_standin::ConnectionBreachCount() const {
  const std::lock_guard lock(state_->mutex);
  return state_->connection_breaches;
}

std::uint64_t instance_standin::RequestRunCount(const std::string& id) const {
  const std::lock_guard lock(state_->mutex);
  const auto it = state_->runs.find(id);
  return it == state_->runs.end() ? 0 : it->second;
}

}  // namespace apricotwheel::standins
