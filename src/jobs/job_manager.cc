#include "jobs/job_manager.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "jobs/job_api_responses.h"
#include "jobs/jobs_events.h"
#include "jobs/shard_owner.h"
#include "jobs/submission.h"

namespace apricotwheel {

namespace {

constexpr auto kReconcileInterval = milliseconds(100);
// The 3 s of kMaxPlaceTime in shard_owner_inventory.cc must stay well above
// this.
constexpr auto kPeerRequestTimeout = milliseconds(1000);
// Longer than the 5 s for which the shard owner waits for a commit.
constexpr auto kJobRequestTimeout = milliseconds(6000);
constexpr auto kMaxLongPoll = milliseconds(60'000);

member_capacity ToMemberCapacity(std::string_view member,
                                 const wire::gossipT& gossip) {
  member_capacity capacity;
  capacity.member_id = member;
  if (gossip.free_total) capacity.free = ToResources(*gossip.free_total);
  for (const auto& free : gossip.largest_free) {
    capacity.largest_free.push_back(ToResources(free));
  }
  if (gossip.worker_capacity_max) {
    capacity.largest_worker = ToResources(*gossip.worker_capacity_max);
  }
  return capacity;
}

}  // namespace

struct job_manager::state {
  explicit state(job_manager_options initial)
      : options(std::move(initial)),
        metrics(std::make_shared<job_metrics>(options.metrics)),
        wake(options.clock) {}

  job_manager_options options;
  std::shared_ptr<job_metrics> metrics;
  mutable std::mutex mutex;
  std::map<std::uint32_t, std::shared_ptr<shard_owner>> shards;
  wake_signal wake;
  thread_group threads;

  std::shared_ptr<shard_owner> FindOwner(std::uint32_t shard) const;
  cell_snapshot TakeSnapshot() const;
  cell_api MakeCellApi();
  void RunReconcileLoop();
  void UpdateShards();
  void TakeOverShard(std::uint32_t shard, std::uint64_t epoch);
  job_api_response HandleRequest(const wire::job_requestT& request);
  job_api_response RouteRequest(wire::job_requestT request);
  std::vector<std::string> OnTaskEvents(
      const std::string& sender, std::span<const wire::running_taskT> events);
  template <class Body, class Request>
  outcome<Body> CallPeer(const std::string& member, const Request& request,
                         Body* (wire::bodyUnion::*as_body)());
};

std::shared_ptr<shard_owner> job_manager::state::FindOwner(
    std::uint32_t shard) const {
  std::lock_guard guard(mutex);
  const auto found = shards.find(shard);
  return found == shards.end() ? nullptr : found->second;
}

cell_snapshot job_manager::state::TakeSnapshot() const {
  cell_snapshot snapshot;
  snapshot.view = options.cluster->View();
  snapshot.vms = options.cluster->Vms();
  if (const auto active = options.cluster->Document()) {
    snapshot.document = active->document;
  }
  if (!snapshot.view) return snapshot;
  std::set<std::string_view> owners;
  for (const auto& [name, owner] : snapshot.view->owners.partitions) {
    owners.insert(owner.owner);
  }
  if (owners.contains(options.member_id)) {
    wire::gossipT own;
    options.workers->FillGossip(own);
    snapshot.capacities.push_back(ToMemberCapacity(options.member_id, own));
  }
  for (const auto& summary : options.cluster->PeerSummaries()) {
    if (!owners.contains(summary.member_id)) continue;
    snapshot.capacities.push_back(
        ToMemberCapacity(summary.member_id, summary.gossip));
  }
  std::sort(snapshot.capacities.begin(), snapshot.capacities.end(),
            [](const auto& left, const auto& right) {
              return left.member_id < right.member_id;
            });
  return snapshot;
}

template <class Body, class Request>
outcome<Body> job_manager::state::CallPeer(
    const std::string& member, const Request& request,
    Body* (wire::bodyUnion::*as_body)()) {
  const auto message = MakeMessage(Request(request));
  auto response = Attempt([&] {
    return options.peers->Call(member, message, kPeerRequestTimeout);
  });
  outcome<Body> call_result;
  call_result.failure = response.failure;
  if (!response) return call_result;
  auto* body = (response->body.*as_body)();
  if (body != nullptr) {
    call_result.value.emplace(std::move(*body));
  } else {
    // The request may have taken effect, so its outcome is unknown.
    call_result.failure = {error_kind::kTimeout,
                           "the peer responded with an unexpected message type",
                           "run the same version on all daemons"};
  }
  return call_result;
}

cell_api job_manager::state::MakeCellApi() {
  cell_api api;
  api.snapshot = [this] { return TakeSnapshot(); };
  api.place = [this](const std::string& member,
                     const wire::place_requestT& request) {
    if (member != options.member_id) {
      return CallPeer(member, request, &wire::bodyUnion::Asplace_response);
    }
    outcome<wire::place_responseT> response;
    response.value.emplace(options.workers->PlaceTasks(request));
    return response;
  };
  api.stop = [this](const std::string& member,
                    const wire::stop_requestT& request) {
    if (member != options.member_id) {
      return CallPeer(member, request, &wire::bodyUnion::Asstop_response);
    }
    outcome<wire::stop_responseT> response;
    response.value.emplace(options.workers->StopTasks(request));
    return response;
  };
  api.inventory = [this](const std::string& member,
                         const wire::inventory_requestT& request) {
    if (member != options.member_id) {
      return CallPeer(member, request, &wire::bodyUnion::Asinventory_response);
    }
    outcome<wire::inventory_responseT> response;
    response.value.emplace(options.workers->BuildInventory(request));
    return response;
  };
  api.explain_placement = [this](const wire::taskT& task) {
    return options.workers->ExplainPlacement(task);
  };
  return api;
}

void job_manager::state::TakeOverShard(std::uint32_t shard,
                                       std::uint64_t epoch) {
  shard_owner_options owner_options;
  owner_options.shard = shard;
  owner_options.epoch = epoch;
  owner_options.member_id = options.member_id;
  owner_options.kv = MakeKvApi(options.kv, options.clock);
  owner_options.cell = MakeCellApi();
  owner_options.commit_interval = options.settings.job_commit_interval;
  owner_options.task_lease = options.settings.task_lease;
  owner_options.clock = options.clock;
  owner_options.log = options.log;
  owner_options.metrics = metrics;
  owner_options.random_seed = SystemRandom().state;
  auto owner = std::make_shared<shard_owner>(std::move(owner_options));
  if (!Attempt([&] { return owner->Start(); })) {
    owner->Stop();
    return;  // The reconcile loop retries.
  }
  std::lock_guard guard(mutex);
  shards[shard] = std::move(owner);
}

void job_manager::state::UpdateShards() {
  const auto view = options.cluster->View();
  if (!view) return;
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    const auto& owner = view->owners.shards[shard];
    const auto current = FindOwner(shard);
    const bool owned_here = owner.owner == options.member_id;
    if (current && (!owned_here || current->Epoch() != owner.epoch)) {
      {
        std::lock_guard guard(mutex);
        shards.erase(shard);
      }
      current->Stop();
      Emit(options.log, kShardLost,
           {Field("shard", shard), Field("epoch", current->Epoch())});
    }
    if (owned_here && !FindOwner(shard)) TakeOverShard(shard, owner.epoch);
  }
  std::size_t pending = 0;
  std::size_t active = 0;
  std::lock_guard guard(mutex);
  for (const auto& [number, owner] : shards) {
    pending += owner->PendingTaskCount();
    active += owner->ActiveTaskCount();
  }
  metrics->pending_tasks.Set(static_cast<double>(pending));
  metrics->active_tasks.Set(static_cast<double>(active));
}

void job_manager::state::RunReconcileLoop() {
  while (!wake.Stopped()) {
    UpdateShards();
    wake.WaitFor(kReconcileInterval);
  }
}

job_api_response job_manager::state::HandleRequest(
    const wire::job_requestT& request) {
  const auto owner = FindOwner(request.shard);
  if (!owner) {
    return MakeNotRunResponse("this daemon does not own the job's shard",
                              "ownership_uncertain");
  }
  switch (request.verb) {
    case wire::job_verb::submit:
      return owner->Submit(request.body);
    case wire::job_verb::get:
      return owner->Get(request.job_id, milliseconds(request.wait_ms));
    case wire::job_verb::cancel:
      return owner->Cancel(request.job_id);
    case wire::job_verb::why:
      return owner->ExplainJob(request.job_id);
    case wire::job_verb::list:
      return owner->List();
  }
  return MakeNotRunResponse("the job request is of an unknown kind",
                            "malformed");
}

job_api_response job_manager::state::RouteRequest(wire::job_requestT request) {
  if (request.shard >= kShardCount)
    return MakeUnknownJobResponse(request.job_id);
  const auto view = options.cluster->View();
  const auto owner = view ? view->owners.shards[request.shard].owner : "";
  if (owner.empty()) {
    return MakeNotRunResponse("the job's shard has no owner",
                              "ownership_uncertain");
  }
  if (owner == options.member_id) return HandleRequest(request);
  const auto timeout = kJobRequestTimeout + milliseconds(request.wait_ms);
  const auto message = MakeMessage(std::move(request));
  auto peer_response =
      Attempt([&] { return options.peers->Call(owner, message, timeout); });
  if (!peer_response) {
    if (peer_response.failure.kind == error_kind::kTimeout) {
      return MakeUnknownOutcomeResponse(peer_response.failure.message,
                                        "owner_lost");
    }
    return MakeNotRunResponse(peer_response.failure.message,
                              "owner_unreachable");
  }
  auto* response = peer_response->body.Asjob_response();
  if (response == nullptr) {
    return MakeUnknownOutcomeResponse(
        "the owner responded with an unexpected message type", "owner_lost");
  }
  return {response->status, std::move(response->body)};
}

std::vector<std::string> job_manager::state::OnTaskEvents(
    const std::string& sender, std::span<const wire::running_taskT> events) {
  std::map<std::uint32_t, std::vector<wire::running_taskT>> by_shard;
  for (const auto& event : events) {
    if (event.spec) by_shard[event.spec->shard].push_back(event);
  }
  std::vector<std::string> accepted;
  for (const auto& [shard, list] : by_shard) {
    const auto owner = FindOwner(shard);
    if (!owner) continue;
    const auto ids = owner->OnTaskEvents(sender, list);
    accepted.insert(accepted.end(), ids.begin(), ids.end());
  }
  return accepted;
}

job_manager::job_manager(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

job_manager::~job_manager() { Stop(); }

result<std::unique_ptr<job_manager>> job_manager::Create(
    job_manager_options options) {
  if (options.kv == nullptr || options.cluster == nullptr ||
      options.workers == nullptr || options.peers == nullptr ||
      !options.clock || !options.metrics) {
    return Fail(error_kind::kInvalidArgument,
                "a required option of the job manager is not set",
                "set kv, cluster, workers, peers, clock and metrics");
  }
  return std::unique_ptr<job_manager>(
      new job_manager(std::make_unique<state>(std::move(options))));
}

result<void> job_manager::Start() {
  auto* manager_state = state_.get();
  manager_state->options.workers->SetTaskEventsHandler(
      [manager_state](std::span<const wire::running_taskT> events) {
        return manager_state->OnTaskEvents(manager_state->options.member_id,
                                           events);
      });
  manager_state->options.peers->SetHandler(
      wire::body::task_events,
      [manager_state](const std::string& sender, const wire_message& request) {
        const auto* body = request.body.Astask_events();
        std::vector<wire::running_taskT> events;
        for (const auto& task : body->tasks) events.push_back(*task);
        wire::task_events_ackT ack;
        ack.accepted = manager_state->OnTaskEvents(sender, events);
        return MakeMessage(std::move(ack));
      });
  manager_state->options.peers->SetHandler(
      wire::body::job_request,
      [manager_state](const std::string&, const wire_message& request) {
        auto api_response =
            manager_state->HandleRequest(*request.body.Asjob_request());
        wire::job_responseT response;
        response.status = api_response.status;
        response.body = std::move(api_response.body);
        return MakeMessage(std::move(response));
      });
  return manager_state->threads.Spawn(
      "jobs", [manager_state] { manager_state->RunReconcileLoop(); });
}

job_api_response job_manager::Submit(std::string_view body) {
  const auto active = state_->options.cluster->Document();
  if (!active || !active->document) {
    return MakeNotRunResponse("the cluster document is not loaded yet",
                              "no_document");
  }
  auto parsed = ParseSubmission(body, *active->document);
  if (auto* error_response = std::get_if<job_api_response>(&parsed)) {
    return std::move(*error_response);
  }
  wire::job_requestT request;
  request.verb = wire::job_verb::submit;
  request.shard = ShardOf(std::get<job_record>(parsed).team);
  request.body = body;
  return state_->RouteRequest(std::move(request));
}

job_api_response job_manager::Get(std::string_view job_id, duration wait) {
  wire::job_requestT request;
  request.verb = wire::job_verb::get;
  request.shard = ShardOfJob(job_id);
  request.job_id = job_id;
  request.wait_ms = std::chrono::duration_cast<milliseconds>(
                        std::clamp<duration>(wait, duration(0), kMaxLongPoll))
                        .count();
  return state_->RouteRequest(std::move(request));
}

job_api_response job_manager::Cancel(std::string_view job_id) {
  wire::job_requestT request;
  request.verb = wire::job_verb::cancel;
  request.shard = ShardOfJob(job_id);
  request.job_id = job_id;
  return state_->RouteRequest(std::move(request));
}

job_api_response job_manager::ExplainJob(std::string_view job_id) {
  wire::job_requestT request;
  request.verb = wire::job_verb::why;
  request.shard = ShardOfJob(job_id);
  request.job_id = job_id;
  return state_->RouteRequest(std::move(request));
}

job_api_response job_manager::List() {
  nlohmann::json jobs = nlohmann::json::array();
  nlohmann::json missing = nlohmann::json::array();
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    wire::job_requestT request;
    request.verb = wire::job_verb::list;
    request.shard = shard;
    const auto response = state_->RouteRequest(std::move(request));
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || !body.is_object()) {
      missing.push_back(shard);
      continue;
    }
    for (const auto& job : body["jobs"]) jobs.push_back(job);
  }
  return {200, nlohmann::json{{"jobs", std::move(jobs)},
                              {"missing_shards", std::move(missing)}}
                   .dump()};
}

std::size_t job_manager::PendingTaskCount() const {
  std::lock_guard guard(state_->mutex);
  std::size_t pending = 0;
  for (const auto& [number, owner] : state_->shards) {
    pending += owner->PendingTaskCount();
  }
  return pending;
}

void job_manager::Stop() {
  state_->wake.Stop();
  state_->threads.JoinAll();
  std::map<std::uint32_t, std::shared_ptr<shard_owner>> shards;
  {
    std::lock_guard guard(state_->mutex);
    shards.swap(state_->shards);
  }
  for (auto& [number, owner] : shards) owner->Stop();
}

}  // namespace apricotwheel
