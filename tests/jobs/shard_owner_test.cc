#include "jobs/shard_owner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

namespace apricotwheel {
namespace {

using nlohmann::json;

// Runs a shard owner in a simulated cell, in which the members m1 and m2 own
// one partition each. The key-value service is a map.
struct fixture {
  clock_ptr clock = runtime_clock::Paused();
  cell_snapshot cell;
  std::map<std::string, kv_entry> stored;
  std::uint64_t revision = 0;
  std::map<std::string, bool> complete{{"m1", true}, {"m2", true}};
  std::map<std::string, std::string> running;  // Task to member.
  std::map<std::string, std::string> reserved;
  std::map<std::string, std::size_t> room{{"m1", 8}, {"m2", 8}};
  std::vector<std::string> started;
  std::set<std::string> stopped;
  std::size_t stop_calls = 0;
  std::string member_refusing_commits;
  bool lose_place_replies = false;
  std::uint64_t inventory_epoch = 0;  // As of an earlier build.
  std::set<std::string>
      without_inventory;  // Members whose inventory requests fail.
  std::mutex mutex;       // Members are called in several threads.
  std::unique_ptr<shard_owner> owner;

  fixture() {
    auto view = std::make_shared<cluster_view>();
    auto document = std::make_shared<cell_document>();
    team_config team;
    team.name = "red";
    team.quota = {10'000, 100'000, 0};
    document->teams.push_back(team);
    for (const auto kind : {workload_kind::kBatch, workload_kind::kGang}) {
      workload_config workload;
      workload.name = ToString(kind);
      workload.kind = kind;
      workload.team = "red";
      workload.resources = {1000, 100, 0};
      workload.run_ms = 1000;
      document->workloads.push_back(workload);
    }
    for (const std::string name : {"m1", "m2"}) {
      view->members.push_back({name, name, "a", "", "", false});
      view->owners.partitions["a/" + name] = {name, 1};
      cell.capacities.push_back(
          {name, {8000, 8000, 0}, {{8000, 8000, 0}}, {8000, 8000, 0}});
    }
    cell.view = view;
    cell.document = document;
    TakeOver(1);
  }

  void TakeOver(std::uint64_t epoch) {
    shard_owner_options options;
    options.shard = ShardOf("red");
    options.epoch = epoch;
    options.member_id = "m" + std::to_string(epoch);
    options.clock = clock;
    options.metrics =
        std::make_shared<job_metrics>(std::make_shared<prometheus::Registry>());
    options.kv = MakeFakeKv();
    options.cell.snapshot = [this] { return cell; };
    options.cell.place = [this](const auto& member, const auto& request) {
      return Place(member, request);
    };
    options.cell.stop = [this](const auto&, const auto& request) {
      ++stop_calls;
      stopped.insert(request.task_ids.begin(), request.task_ids.end());
      return outcome<wire::stop_responseT>{wire::stop_responseT{}, {}};
    };
    options.cell.inventory = [this](const auto& member, const auto&) {
      return Inventory(member);
    };
    owner = std::make_unique<shard_owner>(std::move(options));
    owner->RunRound();
  }

  kv_api MakeFakeKv() {
    kv_api api;
    api.list = [this](std::string_view prefix) {
      std::vector<kv_entry> found;
      for (const auto& [key, entry] : stored) {
        if (key.starts_with(prefix)) found.push_back(entry);
      }
      return outcome<std::vector<kv_entry>>{found, {}};
    };
    api.put_confirmed = [this](std::string_view key, std::string_view value,
                               std::uint64_t expected) {
      outcome<std::uint64_t> response;
      auto& entry = stored[std::string(key)];
      if (entry.revision != expected) {
        response.failure.kind = error_kind::kConflict;
        return response;
      }
      entry = {std::string(key), std::string(value), ++revision};
      response.value = revision;
      return response;
    };
    api.get = [this](std::string_view key) {
      return outcome<std::optional<kv_entry>>{
          std::optional(stored[std::string(key)]), {}};
    };
    return api;
  }

  outcome<wire::place_responseT> Place(const std::string& member,
                                       const wire::place_requestT& request) {
    std::lock_guard guard(mutex);
    outcome<wire::place_responseT> response;
    response.value.emplace();
    for (const auto& task : request.tasks) {
      auto placement = std::make_unique<wire::task_placementT>();
      placement->task_id = task->task_id;
      placement->worker = member + "-w";
      placement->partition = "a/" + member;
      placement->status = wire::place_status::wait;
      const bool reserves = request.mode == wire::place_mode::reserve;
      if (request.mode == wire::place_mode::release) {
        reserved.erase(task->task_id);
      } else if (request.mode == wire::place_mode::commit &&
                 member_refusing_commits == member) {
        placement->status = wire::place_status::refused;
      } else if (request.mode == wire::place_mode::commit || room[member] > 0) {
        if (request.mode != wire::place_mode::commit) --room[member];
        placement->status = reserves ? wire::place_status::reserved
                                     : wire::place_status::placed;
        (reserves ? reserved : running)[task->task_id] = member;
        if (!reserves) started.push_back(task->task_id);
      }
      response->placements.push_back(std::move(placement));
    }
    if (lose_place_replies) {
      response.value.reset();
      response.failure.kind = error_kind::kTimeout;
    }
    return response;
  }

  outcome<wire::inventory_responseT> Inventory(const std::string& member) {
    std::lock_guard guard(mutex);
    outcome<wire::inventory_responseT> response;
    response.failure.kind = error_kind::kTimeout;
    if (without_inventory.contains(member)) return response;
    response.value.emplace();
    auto line = std::make_unique<wire::partition_inventoryT>();
    line->partition = "a/" + member;
    line->complete = complete[member];
    line->epoch = inventory_epoch;
    response->partitions.push_back(std::move(line));
    for (const auto& [id, running_member] : running) {
      if (running_member != member) continue;
      response->tasks.push_back(std::make_unique<wire::running_taskT>(
          Event(id, task_state::kRunning)));
    }
    return response;
  }

  wire::running_taskT Event(const std::string& id, task_state state,
                            const std::string& message = "") {
    wire::running_taskT event;
    event.spec = std::make_unique<wire::taskT>();
    event.spec->task_id = id;
    if (id.starts_with(kServiceTaskIdPrefix)) {
      event.spec->workload = "service";
      event.spec->team = "red";
    }
    event.spec->need = std::make_unique<wire::resources>(1000, 100, 0);
    event.state = static_cast<std::uint8_t>(state);
    event.worker = running[id] + "-w";
    event.partition = "a/" + running[id];
    event.message = message;
    return event;
  }
  template <class Function>
  auto RunWithCommits(Function function) {
    std::atomic<bool> done = false;
    std::thread committer([&] {
      while (!done) {
        owner->CommitStagedRecords();
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
    auto response = function();
    done = true;
    committer.join();
    return response;
  }
  // Delivers an event while another thread commits. Returns whether it was
  // accepted.
  bool DeliverEvent(const std::string& id, task_state state,
                    const std::string& message = "") {
    const std::vector events{Event(id, state, message)};
    const auto member = running[id];
    if (state != task_state::kRunning) running.erase(id);
    return RunWithCommits([&] {
             return owner->OnTaskEvents(member, events);
           }).size() == 1;
  }
  std::string Submit(const std::string& workload, int count,
                     const std::string& request_id = "") {
    const json body{
        {"workload", workload}, {"count", count}, {"request_id", request_id}};
    const auto reply =
        RunWithCommits([&] { return owner->Submit(body.dump()); });
    BOOST_REQUIRE(reply.status / 100 == 2);
    return json::parse(reply.body)["job_id"];
  }
  std::string StateOf(const std::string& job) {
    return json::parse(owner->Get(job, duration(0)).body)["state"];
  }
  void RunRounds(int count, duration step = milliseconds(300)) {
    for (int i = 0; i < count; ++i) {
      clock->Advance(step);
      owner->RunRound();
    }
  }
};

// A batch job runs to its end. The final state must be stored when the event is
// accepted, so that the next owner knows it.
BOOST_FIXTURE_TEST_CASE(batch_job_finishes, fixture) {
  const auto job = Submit("batch", 2);
  RunRounds(1);
  BOOST_TEST(started.size() == 2u);
  BOOST_TEST(DeliverEvent(job + "/0", task_state::kRunning));
  BOOST_TEST(StateOf(job) == "running");
  BOOST_TEST(DeliverEvent(job + "/0", task_state::kFinished));
  BOOST_TEST(DeliverEvent(job + "/1", task_state::kFinished));
  BOOST_TEST(StateOf(job) == "finished");
  TakeOver(2);
  BOOST_TEST(StateOf(job) == "finished");
}

// A submission that is repeated with the same request id must not create a
// second job.
BOOST_FIXTURE_TEST_CASE(request_id_gives_one_job, fixture) {
  BOOST_TEST(Submit("batch", 1, "x") == Submit("batch", 1, "x"));
  RunRounds(2);
  BOOST_TEST(started.size() == 1u);
}

// Tasks that are being started count against the quota, which holds 10 here.
BOOST_FIXTURE_TEST_CASE(quota_is_exact, fixture) {
  Submit("batch", 14);
  RunRounds(3);
  BOOST_TEST(started.size() == 10u);
}

// A task that does not fit must not block the smaller tasks behind it, and
// urgent tasks must start before batch tasks.
BOOST_FIXTURE_TEST_CASE(order_by_class_and_without_blocking, fixture) {
  auto document = std::make_shared<cell_document>(*cell.document);
  workload_config large = document->workloads.front();
  large.name = "large";
  large.resources = {9000, 100, 0};
  document->workloads.push_back(large);
  workload_config urgent = document->workloads.front();
  urgent.name = "urgent";
  urgent.priority = priority_class::kUrgent;
  document->workloads.push_back(urgent);
  cell.document = document;
  // With one member, tasks start in queue order.
  cell.capacities.pop_back();
  room = {{"m1", 0}, {"m2", 0}};
  Submit("large", 1);
  const auto batch = Submit("batch", 3);
  const auto first = Submit("urgent", 1);
  RunRounds(2);
  BOOST_TEST(started.empty());
  room = {{"m1", 8}, {"m2", 8}};
  // The large task does not fit into any published capacity.
  for (auto& one : cell.capacities) {
    one.largest_free = {{8000, 8000, 0}};
    one.largest_worker = {8000, 8000, 0};
  }
  RunRounds(4, milliseconds(1000));
  BOOST_REQUIRE(started.size() == 4u);
  BOOST_TEST(started.front() == first + "/0");
  BOOST_TEST(StateOf(batch) == "pending");
  const auto why = json::parse(owner->ExplainJob(batch).body);
  BOOST_TEST(why["reasons"].size() >= 1u);
}

// The explanation of a job that waits for its team's quota must name the quota.
BOOST_FIXTURE_TEST_CASE(why_names_the_quota, fixture) {
  room = {{"m1", 20}, {"m2", 20}};
  Submit("batch", 10);
  RunRounds(2);
  const auto waiting = Submit("batch", 1);
  RunRounds(1);
  const std::string why = owner->ExplainJob(waiting).body;
  BOOST_TEST(why.find("quota: cpu_milli: need 1000, team red uses 10000 of "
                      "10000") != std::string::npos);
}

// A job fails after three failed attempts. An attempt that ended because the
// worker's lease expired must not count.
BOOST_FIXTURE_TEST_CASE(job_fails_after_three_attempts, fixture) {
  const auto job = Submit("batch", 1);
  const auto task = job + "/0";
  for (const auto* message : {"lease expired", "bad", "bad", "bad"}) {
    BOOST_TEST(StateOf(job) == "pending");
    RunRounds(4, milliseconds(3000));
    DeliverEvent(task, task_state::kRunning);
    BOOST_TEST(DeliverEvent(task, task_state::kFailed, message));
  }
  BOOST_TEST(StateOf(job) == "failed");
  BOOST_TEST(started.size() == 4u);
}

// A gang must run as a whole or not at all. Reservations of a part are
// released, and a refused commit of one part stops the rest.
BOOST_FIXTURE_TEST_CASE(gang_is_all_or_nothing, fixture) {
  room = {{"m1", 3}, {"m2", 2}};
  const auto job = Submit("gang", 6);
  RunRounds(1);
  BOOST_TEST(started.empty());
  BOOST_TEST(reserved.empty());
  room = {{"m1", 3}, {"m2", 3}};
  member_refusing_commits = "m2";
  RunRounds(1, milliseconds(3000));
  BOOST_TEST(started.size() == 3u);
  RunRounds(1);
  BOOST_TEST(stopped.size() == 3u);
  for (const auto& id : std::vector(started)) {
    DeliverEvent(id, task_state::kCheckpointed);
  }
  BOOST_TEST(StateOf(job) == "pending");
  member_refusing_commits.clear();
  started.clear();
  room = {{"m1", 3}, {"m2", 3}};
  RunRounds(1, milliseconds(3000));
  BOOST_TEST(started.size() == 6u);
}

// A new owner must not place a task again while the inventory of a partition is
// missing, since the task may run there.
BOOST_FIXTURE_TEST_CASE(take_over_waits_for_inventories, fixture) {
  const auto job = Submit("batch", 2);
  RunRounds(1);
  running.erase(job + "/1");  // Its worker is lost.
  started.clear();
  complete["m2"] = false;
  TakeOver(2);
  RunRounds(20, milliseconds(1000));
  BOOST_TEST(started.empty());
  complete["m2"] = true;
  RunRounds(2, milliseconds(1000));
  BOOST_REQUIRE(started.size() == 1u);
  BOOST_TEST(started[0] == job + "/1");
  BOOST_TEST(StateOf(job) == "running");
}

// The response to a place request is lost, but the task was started. It must
// not be placed again.
BOOST_FIXTURE_TEST_CASE(lost_place_reply_is_settled, fixture) {
  const auto job = Submit("batch", 1);
  lose_place_replies = true;
  RunRounds(1);
  lose_place_replies = false;
  RunRounds(20, milliseconds(1000));
  BOOST_TEST(started.size() == 1u);
  BOOST_TEST(StateOf(job) == "running");
}

// The end of an earlier attempt is sent again after another member took the
// shard. The new owner must not take it for the end of the running attempt and
// place the task again.
BOOST_FIXTURE_TEST_CASE(old_end_after_take_over_places_nothing, fixture) {
  const auto job = Submit("batch", 1);
  const auto task = job + "/0";
  RunRounds(1);
  const auto running_member = running[task];
  without_inventory = {running_member};
  TakeOver(2);
  auto old_end = Event(task, task_state::kCheckpointed);
  old_end.worker = "old-w";
  const std::vector events{old_end};
  const auto send_old_end = [&] {
    return RunWithCommits([&] { return owner->OnTaskEvents("m2", events); });
  };
  BOOST_TEST(send_old_end().empty());
  RunRounds(3, milliseconds(1000));
  BOOST_TEST(started.size() == 1u);
  without_inventory.clear();
  RunRounds(3, milliseconds(1000));
  BOOST_TEST(send_old_end().size() == 1u);
  RunRounds(3, milliseconds(1000));
  BOOST_TEST(started.size() == 1u);
  BOOST_TEST(StateOf(job) == "running");
}

// The end of an earlier attempt arrives while a place request to another member
// is in flight. It must not be taken for the end of the new attempt.
BOOST_FIXTURE_TEST_CASE(old_end_during_a_place_call_is_not_accepted, fixture) {
  const auto job = Submit("batch", 1);
  const auto task = job + "/0";
  lose_place_replies = true;
  RunRounds(1);
  lose_place_replies = false;
  auto old_end = Event(task, task_state::kFailed, "bad");
  old_end.worker = "old-w";
  const std::vector events{old_end};
  const std::string other = running[task] == "m1" ? "m2" : "m1";
  BOOST_TEST(RunWithCommits([&] {
               return owner->OnTaskEvents(other, events);
             }).empty());
  RunRounds(20, milliseconds(1000));
  BOOST_TEST(started.size() == 1u);
  BOOST_TEST(StateOf(job) == "running");
}

// A failure event is sent again because its acknowledgement was lost. It must
// count as one failed attempt, or the job fails too early.
BOOST_FIXTURE_TEST_CASE(repeated_failure_counts_once, fixture) {
  const auto job = Submit("batch", 1);
  const auto task = job + "/0";
  RunRounds(1);
  const std::vector events{Event(task, task_state::kFailed, "bad")};
  const auto member = running[task];
  running.erase(task);
  RunWithCommits([&] { return owner->OnTaskEvents(member, events); });
  room = {{member, 8}};
  cell.capacities.erase(
      std::remove_if(cell.capacities.begin(), cell.capacities.end(),
                     [&](const auto& one) { return one.member_id != member; }),
      cell.capacities.end());
  lose_place_replies = true;
  RunRounds(1, milliseconds(3000));
  BOOST_TEST(started.size() == 2u);
  for (int i = 0; i < 3; ++i) {
    RunWithCommits([&] { return owner->OnTaskEvents(member, events); });
    RunRounds(1, milliseconds(1000));
  }
  BOOST_TEST(started.size() == 2u);
  BOOST_TEST(StateOf(job) != "failed");
}

// Guards against a task that runs twice because an owner of its worker's
// partition that has been succeeded, and was cut off from the worker, reports
// its own lease as expired while the successor renews the task.
BOOST_FIXTURE_TEST_CASE(an_earlier_owners_expired_lease_ends_nothing, fixture) {
  const auto job = Submit("batch", 1);
  const auto task = job + "/0";
  RunRounds(1);
  BOOST_TEST(DeliverEvent(task, task_state::kRunning));
  const auto earlier = running[task];
  const std::string later = earlier == "m1" ? "m2" : "m1";
  const auto set_owner = [&](const std::string& member, std::uint64_t epoch) {
    auto view = std::make_shared<cluster_view>(*cell.view);
    view->owners.partitions["a/" + earlier] = {member, epoch};
    cell.view = view;
    RunRounds(1);
  };
  auto expired = Event(task, task_state::kFailed, "lease expired");
  expired.partition_epoch = 1;
  const auto is_accepted = [&] {
    const std::vector events{expired};
    return RunWithCommits([&] {
             return owner->OnTaskEvents(earlier, events);
           }).size() == 1;
  };
  set_owner(later, 2);
  BOOST_TEST(!is_accepted());
  // The earlier owner gets the partition back and does not know it yet.
  set_owner(earlier, 3);
  BOOST_TEST(!is_accepted());
  RunRounds(20, milliseconds(1000));
  BOOST_TEST(started.size() == 1u);
  BOOST_TEST(StateOf(job) == "running");
  expired.partition_epoch = 3;
  running.erase(task);
  BOOST_TEST(is_accepted());
  RunRounds(20, milliseconds(1000));
  BOOST_TEST(started.size() == 2u);
}

// Guards against a task that runs twice because a member that lost a partition
// and got it back reports the inventory of its earlier ownership.
BOOST_FIXTURE_TEST_CASE(inventory_of_an_earlier_ownership_is_ignored, fixture) {
  const auto job = Submit("batch", 1);
  const auto task = job + "/0";
  RunRounds(1);
  BOOST_TEST(DeliverEvent(task, task_state::kRunning));
  RunRounds(5, milliseconds(1000));
  const auto member = running[task];
  running.erase(task);
  inventory_epoch = 1;
  auto view = std::make_shared<cluster_view>(*cell.view);
  for (auto& [name, partition] : view->owners.partitions) partition.epoch = 3;
  cell.view = view;
  RunRounds(20, milliseconds(1000));
  BOOST_TEST(started.size() == 1u);
  inventory_epoch = 3;
  running[task] = member;
  RunRounds(20, milliseconds(1000));
  BOOST_TEST(started.size() == 1u);
  BOOST_TEST(StateOf(job) == "running");
}

// A new owner does not know yet which service instances run. The declared ones
// must count against the quota, or the team exceeds it.
BOOST_FIXTURE_TEST_CASE(unknown_instances_count_against_quota, fixture) {
  auto document = std::make_shared<cell_document>(*cell.document);
  workload_config service;
  service.name = "service";
  service.kind = workload_kind::kService;
  service.team = "red";
  service.instances = 8;
  service.resources = {1000, 100, 0};
  document->workloads.push_back(service);
  cell.document = document;
  without_inventory = {"m2"};
  TakeOver(2);
  Submit("batch", 4);
  RunRounds(3);
  BOOST_TEST(started.size() == 2u);
}

// A running service instance sends an event to a new owner before an inventory
// has shown the instance. The new owner must not stop it as unknown.
BOOST_FIXTURE_TEST_CASE(early_report_of_an_instance_stops_nothing, fixture) {
  auto document = std::make_shared<cell_document>(*cell.document);
  workload_config service;
  service.name = "service";
  service.kind = workload_kind::kService;
  service.team = "red";
  service.resources = {1000, 100, 0};
  document->workloads.push_back(service);
  cell.document = document;
  running["service/service/0"] = "m1";
  without_inventory = {"m1", "m2"};
  TakeOver(2);
  BOOST_TEST(!DeliverEvent("service/service/0", task_state::kRunning));
  RunRounds(1);
  BOOST_TEST(stopped.empty());
  without_inventory.clear();
  RunRounds(3);
  BOOST_TEST(DeliverEvent("service/service/0", task_state::kRunning));
  RunRounds(1);
  BOOST_TEST(stopped.empty());
  BOOST_TEST(started.empty());
}

// An owner that does not know yet that it was superseded gets the end of a task
// that its successor started. Accepting the event would lose the result.
BOOST_FIXTURE_TEST_CASE(end_of_a_later_owners_task_is_not_accepted, fixture) {
  std::vector events{Event("job/0", task_state::kFinished)};
  BOOST_TEST(owner->OnTaskEvents("m1", events).size() == 1u);
  events[0].spec->shard_epoch = 2;
  BOOST_TEST(owner->OnTaskEvents("m1", events).empty());
}

// A job's record must be encoded and staged once for all events of a message.
// Staging it per event costs time that grows with the square of the job's size.
BOOST_FIXTURE_TEST_CASE(events_of_a_job_are_staged_once, fixture) {
  const auto job = Submit("batch", 8);
  RunRounds(1);
  BOOST_REQUIRE(started.size() == 8u);
  std::map<std::string, std::vector<wire::running_taskT>> ends;
  for (const auto& id : started) {
    ends[running[id]].push_back(Event(id, task_state::kFinished));
  }
  const auto before = owner->StagedRecordCount();
  for (const auto& [member, events] : ends) {
    const auto accepted =
        RunWithCommits([&] { return owner->OnTaskEvents(member, events); });
    BOOST_TEST(accepted.size() == events.size());
  }
  BOOST_TEST(owner->StagedRecordCount() - before <= ends.size());
  BOOST_TEST(StateOf(job) == "finished");
}

// Cancelling a job twice must give the same response. No task may start
// afterwards, and the stop requests must be sent in batches.
BOOST_FIXTURE_TEST_CASE(cancel_is_repeatable_and_batched, fixture) {
  const auto job = Submit("batch", 5);
  RunRounds(1);
  DeliverEvent(job + "/0", task_state::kRunning);
  for (int i = 0; i < 2; ++i) {
    const auto reply = RunWithCommits([&] { return owner->Cancel(job); });
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(json::parse(reply.body)["state"] == "cancelled");
    BOOST_TEST(json::parse(reply.body)["had_run"] == true);
  }
  RunRounds(1);
  BOOST_TEST(stopped.size() == 5u);
  BOOST_TEST(stop_calls <= 2u);
  for (const auto& id : std::vector(started)) {
    BOOST_TEST(DeliverEvent(id, task_state::kStopped));
  }
  RunRounds(3, milliseconds(3000));
  BOOST_TEST(started.size() == 5u);
}

}  // namespace
}  // namespace apricotwheel
