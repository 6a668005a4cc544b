#include "jobs/job_manager.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "jobs/job_replies.h"
#include "jobs/jobs_events.h"
#include "jobs/shard_owner.h"
#include "jobs/submission.h"

namespace apricotwheel {

namespace {

constexpr auto kFollowInterval = milliseconds(100);
constexpr auto kPlaceTimeout = milliseconds(1000);
// Longer than the commit limit of the receiving owner.
constexpr auto kJobCallTimeout = milliseconds(6000);
constexpr auto kLongestWait = milliseconds(60'000);

member_room RoomOf(std::string_view member, const wire::gossipT& gossip) {
  member_room room;
  room.member_id = member;
  if (gossip.free_total) room.free = ToResources(*gossip.free_total);
  for (const auto& hole : gossip.largest_free) {
    room.holes.push_back(ToResources(hole));
  }
  if (gossip.worker_capacity_max) {
    room.largest = ToResources(*gossip.worker_capacity_max);
  }
  return room;
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

  std::shared_ptr<shard_owner> Own(std::uint32_t shard) const;
  cell_picture Picture() const;
  cell_calls Calls();
  void Follow();
  void FollowShards();
  void TakeShard(std::uint32_t shard, std::uint64_t epoch);
  job_reply Answer(const wire::job_requestT& request);
  job_reply Route(wire::job_requestT request);
  std::vector<std::string> OnEvents(
      const std::string& sender, std::span<const wire::running_taskT> events);
  template <class Body, class Request>
  outcome<Body> Call(const std::string& member, const Request& request,
                     Body* (wire::bodyUnion::*member_of)());
};

std::shared_ptr<shard_owner> job_manager::state::Own(
    std::uint32_t shard) const {
  std::lock_guard guard(mutex);
  const auto found = shards.find(shard);
  return found == shards.end() ? nullptr : found->second;
}

cell_picture job_manager::state::Picture() const {
  cell_picture picture;
  picture.view = options.cluster->View();
  picture.vms = options.cluster->Vms();
  if (const auto active = options.cluster->Document()) {
    picture.document = active->document;
  }
  if (!picture.view) return picture;
  std::set<std::string_view> owners;
  for (const auto& [name, owner] : picture.view->owners.partitions) {
    owners.insert(owner.owner);
  }
  if (owners.contains(options.member_id)) {
    wire::gossipT own;
    options.workers->FillGossip(own);
    picture.rooms.push_back(RoomOf(options.member_id, own));
  }
  for (const auto& summary : options.cluster->Summaries()) {
    if (!owners.contains(summary.member_id)) continue;
    picture.rooms.push_back(RoomOf(summary.member_id, summary.gossip));
  }
  std::sort(picture.rooms.begin(), picture.rooms.end(),
            [](const auto& left, const auto& right) {
              return left.member_id < right.member_id;
            });
  return picture;
}

template <class Body, class Request>
outcome<Body> job_manager::state::Call(const std::string& member,
                                       const Request& request,
                                       Body* (wire::bodyUnion::*member_of)()) {
  const auto message = MakeMessage(Request(request));
  auto reply = Attempt(
      [&] { return options.peers->Call(member, message, kPlaceTimeout); });
  outcome<Body> answer;
  answer.failure = reply.failure;
  if (!reply) return answer;
  auto* body = (reply->body.*member_of)();
  if (body != nullptr) {
    answer.value.emplace(std::move(*body));
  } else {
    // The peer may have acted before it answered something else.
    answer.failure = {error_kind::kTimeout,
                      "the peer answered with another message type",
                      "run the same version on all daemons"};
  }
  return answer;
}

cell_calls job_manager::state::Calls() {
  cell_calls calls;
  calls.picture = [this] { return Picture(); };
  calls.place = [this](const std::string& member,
                       const wire::place_requestT& request) {
    if (member != options.member_id) {
      return Call(member, request, &wire::bodyUnion::Asplace_response);
    }
    outcome<wire::place_responseT> answer;
    answer.value.emplace(options.workers->Place(request));
    return answer;
  };
  calls.stop = [this](const std::string& member,
                      const wire::stop_requestT& request) {
    if (member != options.member_id) {
      return Call(member, request, &wire::bodyUnion::Asstop_response);
    }
    outcome<wire::stop_responseT> answer;
    answer.value.emplace(options.workers->StopTasks(request));
    return answer;
  };
  calls.inventory = [this](const std::string& member,
                           const wire::inventory_requestT& request) {
    if (member != options.member_id) {
      return Call(member, request, &wire::bodyUnion::Asinventory_response);
    }
    outcome<wire::inventory_responseT> answer;
    answer.value.emplace(options.workers->Inventory(request));
    return answer;
  };
  calls.explain = [this](const wire::taskT& task) {
    return options.workers->Explain(task);
  };
  return calls;
}

void job_manager::state::TakeShard(std::uint32_t shard, std::uint64_t epoch) {
  shard_owner_options made;
  made.shard = shard;
  made.epoch = epoch;
  made.member_id = options.member_id;
  made.kv = CallsOf(options.kv, options.clock);
  made.cell = Calls();
  made.commit_interval = options.settings.job_commit_interval;
  made.task_lease = options.settings.task_lease;
  made.clock = options.clock;
  made.log = options.log;
  made.metrics = metrics;
  made.random_seed = SystemRandom().state;
  auto owner = std::make_shared<shard_owner>(std::move(made));
  if (!Attempt([&] { return owner->Start(); })) {
    owner->Stop();
    return;  // Tried again in the next round.
  }
  std::lock_guard guard(mutex);
  shards[shard] = std::move(owner);
}

void job_manager::state::FollowShards() {
  const auto view = options.cluster->View();
  if (!view) return;
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    const auto& owner = view->owners.shards[shard];
    const auto current = Own(shard);
    const bool mine = owner.owner == options.member_id;
    if (current && (!mine || current->Epoch() != owner.epoch)) {
      {
        std::lock_guard guard(mutex);
        shards.erase(shard);
      }
      current->Stop();
      Emit(options.log, kShardLost,
           {Field("shard", shard), Field("epoch", current->Epoch())});
    }
    if (mine && !Own(shard)) TakeShard(shard, owner.epoch);
  }
  std::size_t pending = 0;
  std::size_t active = 0;
  std::lock_guard guard(mutex);
  for (const auto& [number, owner] : shards) {
    pending += owner->PendingTasks();
    active += owner->ActiveTasks();
  }
  metrics->pending.Set(static_cast<double>(pending));
  metrics->running.Set(static_cast<double>(active));
}

void job_manager::state::Follow() {
  while (!wake.Stopped()) {
    FollowShards();
    wake.WaitFor(kFollowInterval);
  }
}

job_reply job_manager::state::Answer(const wire::job_requestT& request) {
  const auto owner = Own(request.shard);
  if (!owner) {
    return NotRun("this daemon does not own the job's shard",
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
      return owner->Why(request.job_id);
    case wire::job_verb::list:
      return owner->List();
  }
  return NotRun("the job call is unknown", "malformed");
}

job_reply job_manager::state::Route(wire::job_requestT request) {
  if (request.shard >= kShardCount) return NoSuchJob(request.job_id);
  const auto view = options.cluster->View();
  const auto owner = view ? view->owners.shards[request.shard].owner : "";
  if (owner.empty()) {
    return NotRun("the job's shard has no owner", "ownership_uncertain");
  }
  if (owner == options.member_id) return Answer(request);
  const auto timeout = kJobCallTimeout + milliseconds(request.wait_ms);
  const auto message = MakeMessage(std::move(request));
  auto reply =
      Attempt([&] { return options.peers->Call(owner, message, timeout); });
  if (!reply) {
    if (reply.failure.kind == error_kind::kTimeout) {
      return UnknownEffect(reply.failure.message, "owner_lost");
    }
    return NotRun(reply.failure.message, "owner_unreachable");
  }
  auto* response = reply->body.Asjob_response();
  if (response == nullptr) {
    return UnknownEffect("the owner answered with another message type",
                         "owner_lost");
  }
  return {response->status, std::move(response->body)};
}

std::vector<std::string> job_manager::state::OnEvents(
    const std::string& sender, std::span<const wire::running_taskT> events) {
  std::map<std::uint32_t, std::vector<wire::running_taskT>> by_shard;
  for (const auto& event : events) {
    if (event.spec) by_shard[event.spec->shard].push_back(event);
  }
  std::vector<std::string> accepted;
  for (const auto& [shard, list] : by_shard) {
    const auto owner = Own(shard);
    if (!owner) continue;
    const auto ids = owner->OnEvents(sender, list);
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
                "the job manager lacks a collaborator",
                "set kv, cluster, workers, peers, clock and metrics");
  }
  return std::unique_ptr<job_manager>(
      new job_manager(std::make_unique<state>(std::move(options))));
}

result<void> job_manager::Start() {
  auto* shared = state_.get();
  shared->options.workers->SetTaskEventSink(
      [shared](std::span<const wire::running_taskT> events) {
        return shared->OnEvents(shared->options.member_id, events);
      });
  shared->options.peers->Handle(
      wire::body::task_events,
      [shared](const std::string& sender, const wire_message& request) {
        const auto* body = request.body.Astask_events();
        std::vector<wire::running_taskT> events;
        for (const auto& task : body->tasks) events.push_back(*task);
        wire::task_events_ackT ack;
        ack.accepted = shared->OnEvents(sender, events);
        return MakeMessage(std::move(ack));
      });
  shared->options.peers->Handle(
      wire::body::job_request,
      [shared](const std::string&, const wire_message& request) {
        auto reply = shared->Answer(*request.body.Asjob_request());
        wire::job_responseT response;
        response.status = reply.status;
        response.body = std::move(reply.body);
        return MakeMessage(std::move(response));
      });
  return shared->threads.Spawn("jobs", [shared] { shared->Follow(); });
}

job_reply job_manager::Submit(std::string_view body) {
  const auto active = state_->options.cluster->Document();
  if (!active || !active->document) {
    return NotRun("no document is known yet", "no_document");
  }
  auto parsed = ParseSubmission(body, *active->document);
  if (auto* refusal = std::get_if<job_reply>(&parsed)) {
    return std::move(*refusal);
  }
  wire::job_requestT request;
  request.verb = wire::job_verb::submit;
  request.shard = ShardOf(std::get<job_record>(parsed).team);
  request.body = body;
  return state_->Route(std::move(request));
}

job_reply job_manager::Get(std::string_view job_id, duration wait) {
  wire::job_requestT request;
  request.verb = wire::job_verb::get;
  request.shard = ShardOfJob(job_id);
  request.job_id = job_id;
  request.wait_ms = std::chrono::duration_cast<milliseconds>(
                        std::clamp<duration>(wait, duration(0), kLongestWait))
                        .count();
  return state_->Route(std::move(request));
}

job_reply job_manager::Cancel(std::string_view job_id) {
  wire::job_requestT request;
  request.verb = wire::job_verb::cancel;
  request.shard = ShardOfJob(job_id);
  request.job_id = job_id;
  return state_->Route(std::move(request));
}

job_reply job_manager::Why(std::string_view job_id) {
  wire::job_requestT request;
  request.verb = wire::job_verb::why;
  request.shard = ShardOfJob(job_id);
  request.job_id = job_id;
  return state_->Route(std::move(request));
}

job_reply job_manager::List() {
  nlohmann::json jobs = nlohmann::json::array();
  nlohmann::json missing = nlohmann::json::array();
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    wire::job_requestT request;
    request.verb = wire::job_verb::list;
    request.shard = shard;
    const auto reply = state_->Route(std::move(request));
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !body.is_object()) {
      missing.push_back(shard);
      continue;
    }
    for (const auto& job : body["jobs"]) jobs.push_back(job);
  }
  return {200, nlohmann::json{{"jobs", std::move(jobs)},
                              {"missing_shards", std::move(missing)}}
                   .dump()};
}

std::size_t job_manager::PendingTasks() const {
  std::lock_guard guard(state_->mutex);
  std::size_t pending = 0;
  for (const auto& [number, owner] : state_->shards) {
    pending += owner->PendingTasks();
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
