#include "clients/worker_client.h"

#include <mutex>

#include "clients/http_connection.h"
#include "clients/task_list_cache.h"
#include "clients/wire_format.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

result<void> CheckStatus(const http_response& response) {
  switch (response.status) {
    case 200:
      return {};
    case 400:
      return Fail(error_kind::kInvalidArgument,
                  "the worker rejected the request",
                  "check the fields against docs/contracts/worker.md");
    case 404:
      return Fail(error_kind::kNotFound, "no such task on this worker",
                  "read the task list again");
    case 409:
      return Fail(error_kind::kStaleEpoch,
                  "the worker no longer accepts this epoch",
                  "stop using this worker");
    case 410:
      return Fail(
          error_kind::kConflict,
          "the lease had expired when the request arrived; nothing started",
          "start the task again with a new lease");
    case 503:
      return Fail(error_kind::kUnavailable,
                  "the worker accepts no requests at present",
                  "try again later");
    case 507:
      return Fail(error_kind::kCapacity, "the task does not fit on the worker",
                  "place it on another worker");
    default:
      return Fail(
          error_kind::kTimeout,
          "the worker returned status " + std::to_string(response.status),
          "read the task list before repeating the call");
  }
}

}  // namespace

struct worker_client::state {
  explicit state(ip_endpoint peer) : pool(std::move(peer)) {}
  worker_client_options options;
  http_connection_pool pool;
  std::mutex cache_mutex;
  task_list_cache cache;

  result<http_response> Call(const char* target, const json& body) {
    http_request request;
    request.target = target;
    BOOST_LEAF_ASSIGN(request.body, SerializeBody(body));
    const duration timeout = options.call_timeout;
    BOOST_LEAF_AUTO(response, pool.Call(request, timeout, timeout));
    BOOST_LEAF_CHECK(CheckStatus(response));
    return response;
  }
};

worker_client::worker_client(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
worker_client::~worker_client() = default;

result<std::unique_ptr<worker_client>> worker_client::Create(
    worker_client_options options) {
  BOOST_LEAF_AUTO(peer, ParseEndpoint(options.address));
  auto initial = std::make_unique<state>(peer);
  initial->options = std::move(options);
  return std::unique_ptr<worker_client>(new worker_client(std::move(initial)));
}

result<worker_snapshot> worker_client::Claim(std::uint64_t epoch,
                                             std::string_view owner) {
  BOOST_LEAF_AUTO(response, state_->Call("/v1/claim",
                                         {{"epoch", epoch}, {"owner", owner}}));
  BOOST_LEAF_AUTO(snapshot,
                  ParseResponse(response.body, WorkerSnapshotFromJson));
  const std::lock_guard lock(state_->cache_mutex);
  ReplaceTaskList(state_->cache, epoch, snapshot);
  return snapshot;
}

result<worker_snapshot> worker_client::Renew(
    std::uint64_t epoch, std::int64_t expires_at_ms,
    std::span<const std::string> acknowledged) {
  json body = {{"epoch", epoch},
               {"expires_at_ms", expires_at_ms},
               {"acknowledged", json::array()}};
  for (const auto& task : acknowledged) body["acknowledged"].push_back(task);
  const std::lock_guard lock(state_->cache_mutex);
  const auto known_version = CachedVersion(state_->cache, epoch);
  if (known_version) body["after"] = *known_version;
  BOOST_LEAF_AUTO(response, state_->Call("/v1/renew", body));
  BOOST_LEAF_AUTO(snapshot,
                  ParseResponse(response.body, WorkerSnapshotFromJson));
  if (!snapshot.partial) {
    ReplaceTaskList(state_->cache, epoch, snapshot);
    return snapshot;
  }
  if (MergeTaskChanges(state_->cache, snapshot, acknowledged)) return snapshot;
  // The merged list is not complete, for example because the response to an
  // acknowledgement was lost. The complete list is requested.
  body.erase("after");
  BOOST_LEAF_ASSIGN(response, state_->Call("/v1/renew", body));
  BOOST_LEAF_ASSIGN(snapshot,
                    ParseResponse(response.body, WorkerSnapshotFromJson));
  ReplaceTaskList(state_->cache, epoch, snapshot);
  return snapshot;
}

result<task_status> worker_client::Start(std::uint64_t epoch,
                                         const task_spec& spec,
                                         std::int64_t expires_at_ms) {
  const json body = {{"epoch", epoch},
                     {"spec", ToJson(spec)},
                     {"expires_at_ms", expires_at_ms}};
  BOOST_LEAF_AUTO(response, state_->Call("/v1/start", body));
  return ParseResponse(response.body, TaskStatusFromJson);
}

result<void> worker_client::Stop(std::uint64_t epoch, std::string_view task_id,
                                 stop_mode mode) {
  const json body = {
      {"epoch", epoch},
      {"task_id", task_id},
      {"mode", mode == stop_mode::kCheckpoint ? "checkpoint" : "kill"}};
  BOOST_LEAF_CHECK(state_->Call("/v1/stop", body));
  return {};
}

result<void> worker_client::Throttle(std::uint64_t epoch,
                                     std::string_view task_id,
                                     std::int64_t cpu_milli) {
  const json body = {
      {"epoch", epoch}, {"task_id", task_id}, {"cpu_milli", cpu_milli}};
  BOOST_LEAF_CHECK(state_->Call("/v1/throttle", body));
  return {};
}

result<void> worker_client::Release(std::uint64_t epoch) {
  BOOST_LEAF_CHECK(state_->Call("/v1/release", {{"epoch", epoch}}));
  return {};
}

}  // namespace apricotwheel
