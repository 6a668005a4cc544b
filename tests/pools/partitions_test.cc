// Divided pools: several owners carry the workers and jobs of one pool.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/pools/daemon_parts.h"
#include "tests/pools/fake_agent.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_agent;
using testing::fake_store;
using testing::kPool;
using testing::MakeJob;

constexpr std::int64_t kPartitionWorkers = 4;

// A cell whose workers are entries "workers/ID" with the rack as the value.
struct cell {
  fake_store store;
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<fake_agent>> agents;  // By worker.
  std::map<std::string, std::set<std::string>> owners_by_worker;
  std::vector<std::unique_ptr<daemon_parts>> daemons;

  // Stops the daemons, which use the agents.
  ~cell() { daemons.clear(); }

  void AddRacks(int first, int count) {
    for (int rack = first; rack < first + count; ++rack) {
      for (int i = 0; i < 2; ++i) {
        const std::string name = "r" + std::to_string(rack);
        store.Put("workers/" + name + "-" + std::to_string(i), name);
      }
    }
  }
  daemon_parts& AddDaemon(const std::string& id) {
    daemons.push_back(std::make_unique<daemon_parts>(
        store, id, 1, nullptr,
        [&](daemon_settings& settings, platform_services& platform) {
          settings.partition_workers = kPartitionWorkers;
          platform.decode_worker = [](std::string_view key,
                                      std::string_view value) {
            if (value == "odd") return std::optional<pool_worker>();
            pool_worker worker;
            worker.id = key.substr(std::string_view("workers/").size());
            worker.pool = kPool;
            worker.rack = value;
            worker.address = "127.0.0.1:1";
            worker.capacity = {8000, 8192, 0};
            return std::optional<pool_worker>(worker);
          };
          platform.connect_agent = [&, id](const pool_worker& worker) {
            const std::lock_guard lock(mutex);
            owners_by_worker[worker.id].insert(id);
            auto& agent = agents[worker.id];
            if (!agent)
              agent = std::make_unique<fake_agent>(runtime_clock::Running());
            return agent->Link();
          };
        }));
    return *daemons.back();
  }
  std::size_t CountPartitions() const {
    return daemons.front()->directory->Partitions().PartitionsOf(kPool).size();
  }
  // Returns true if each partition has an owner that is known everywhere.
  bool IsServed() const {
    for (const auto& daemon : daemons) {
      for (const std::string& partition :
           daemon->directory->Partitions().PartitionsOf(kPool)) {
        const auto owner = daemon->directory->OwnerOf(partition);
        if (!owner) return false;
        bool is_running = false;
        for (const auto& other : daemons) {
          is_running =
              is_running || (other->directory->SelfId() == owner->member_id &&
                             other->host->OwnerOf(partition));
        }
        if (!is_running) return false;
      }
    }
    return true;
  }
  bool HasClaimedAll(std::size_t workers) {
    const std::lock_guard lock(mutex);
    return owners_by_worker.size() == workers;
  }
  // Counts the runs on all workers, and the most on one.
  std::pair<std::size_t, std::size_t> CountRuns() {
    const std::lock_guard lock(mutex);
    std::pair<std::size_t, std::size_t> runs;
    for (const auto& [id, agent] : agents) {
      runs.first += agent->RunCount();
      runs.second = std::max(runs.second, agent->RunCount());
    }
    return runs;
  }
  job_call_response State(daemon_parts& daemon, const std::string& id) {
    return daemon.gateway.State(daemon_parts::Queue(), id, milliseconds(3000));
  }
};

// Pattern: 12 workers with an owner's limit of 4, as 389 workers with one of
// 128. One owner had to carry all starts of a pool while the others idled.
BOOST_FIXTURE_TEST_CASE(a_large_pool_is_carried_by_several_owners, cell) {
  AddRacks(0, 6);
  for (const char* id : {"a", "b", "c"}) AddDaemon(id);
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 3; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(12); }));
  std::set<std::string> owners;
  for (const auto& [worker, claimed_by] : owners_by_worker) {
    BOOST_TEST(claimed_by.size() == 1U);
    owners.insert(claimed_by.begin(), claimed_by.end());
  }
  BOOST_TEST(owners.size() == 3U);

  constexpr int kJobs = 24;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const auto& by = daemons[static_cast<std::size_t>(i) % 3];
    BOOST_TEST((by->Submit(id).status == job_call_status::kAccepted));
    // A copy through another daemon is the same job.
    BOOST_TEST((daemons[0]->Submit(id).status == job_call_status::kAccepted));
    int records = 0;
    for (const std::string& partition : PartitionNames(kPool, 3)) {
      records += store.Has(JobKey(partition, id)) ? 1 : 0;
    }
    BOOST_TEST(records == 1);
    BOOST_TEST((State(*daemons[2], id).status == job_call_status::kState));
  }
  std::size_t running = 0;
  BOOST_TEST(Eventually([&] {
    const std::lock_guard lock(mutex);
    running = 0;
    for (const auto& [id, agent] : agents) running += agent->RunCount();
    return running == kJobs;
  }));
  BOOST_TEST(running == kJobs);
  const auto pending =
      daemons[1]->gateway.Pending(daemon_parts::Queue(), milliseconds(3000));
  BOOST_TEST((pending.status == job_call_status::kCount));
  BOOST_TEST(pending.count == 0U);
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const auto cancelled = daemons[1]->gateway.Cancel(daemon_parts::Queue(), id,
                                                      milliseconds(3000));
    BOOST_TEST((cancelled.status == job_call_status::kCancelled));
  }
  BOOST_TEST(
      (State(*daemons[0], "unknown").status == job_call_status::kAbsent));
}

// Pattern: a platform starts, and its workers register over some seconds, after
// the owner of the pool. The owner claimed almost all of them one by one.
BOOST_FIXTURE_TEST_CASE(workers_that_register_slowly_are_divided_evenly, cell) {
  AddDaemon("a");
  AddDaemon("b");
  BOOST_REQUIRE(Eventually([&] { return IsServed(); }));
  runtime_clock::Running()->SleepFor(milliseconds(1500));
  for (int i = 0; i < 12; ++i) {
    const std::string rack = "r" + std::to_string(i % 6);
    store.Put("workers/" + rack + "-" + std::to_string(i / 6), rack);
    runtime_clock::Running()->SleepFor(milliseconds(150));
  }
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 3; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(12); }));
  const auto table = daemons.front()->directory->Partitions().TableOf(kPool);
  std::map<std::uint32_t, int> racks;
  for (const auto& [rack, partition] : table->racks) ++racks[partition];
  for (const auto& [partition, count] : racks) BOOST_TEST(count == 2);
}

// Pattern: a pool grows while it runs. Jobs and workers of the time before stay
// with the first partition and are found there; a copy of such a job that comes
// after the division is not a second job.
BOOST_FIXTURE_TEST_CASE(a_job_from_before_the_division_is_not_doubled, cell) {
  AddRacks(0, 2);
  daemon_parts& first = AddDaemon("a");
  daemon_parts& second = AddDaemon("b");
  constexpr int kJobs = 12;
  BOOST_REQUIRE(Eventually([&] {
    return first.Submit("job-0").status == job_call_status::kAccepted;
  }));
  for (int i = 1; i < kJobs; ++i) {
    BOOST_TEST((second.Submit("job-" + std::to_string(i)).status ==
                job_call_status::kAccepted));
  }
  AddRacks(2, 6);
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 4; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(16); }));
  for (const auto& [worker, claimed_by] : owners_by_worker) {
    BOOST_TEST(claimed_by.size() == 1U);
  }
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    BOOST_TEST((second.Submit(id).status == job_call_status::kAccepted));
    for (const std::string& partition : PartitionNames(kPool, 4)) {
      BOOST_TEST(store.Has(JobKey(partition, id)) == (partition == kPool));
    }
    BOOST_TEST((State(second, id).status == job_call_status::kState));
    const auto cancelled =
        second.gateway.Cancel(daemon_parts::Queue(), id, milliseconds(3000));
    BOOST_TEST((cancelled.status == job_call_status::kCancelled));
  }
}

// Guards against an owner that does not know of the division yet: by the
// store's conditions it cannot accept a job of another partition.
BOOST_FIXTURE_TEST_CASE(the_store_rejects_jobs_of_other_partitions, cell) {
  AddRacks(0, 2);
  daemon_parts& daemon = AddDaemon("a");
  BOOST_REQUIRE(Eventually([&] {
    return daemon.Submit("first").status == job_call_status::kAccepted;
  }));
  std::vector<std::string> foreign;
  std::vector<std::string> own;
  for (int i = 0; foreign.size() < 4 || own.size() < 4; ++i) {
    const std::string id = "job-" + std::to_string(i);
    (HomePartition(id, 2) == 0 ? own : foreign).push_back(id);
  }
  const auto owner = daemon.host->OwnerOf(kPool);
  // The table is stored, and the watch of the daemon is late.
  store.Put(partition_directory::KeyOf(kPool),
            EncodePartitions({2, {{"r0", 0}, {"r1", 0}}}));
  for (const std::string& id : foreign) {
    const auto response = owner->Submit(
        daemon_parts::SmallJob(id), daemon.clock->Now() + milliseconds(3000));
    BOOST_TEST((response.status == job_call_status::kUnavailable));
    BOOST_TEST(!store.Has(JobKey(kPool, id)));
  }
  for (const std::string& id : own) {
    const auto response = owner->Submit(
        daemon_parts::SmallJob(id), daemon.clock->Now() + milliseconds(3000));
    BOOST_TEST((response.status == job_call_status::kAccepted));
  }
}

// Guards against a pool that loses the jobs of its partitions because the
// record cannot be read, and against requests for a partition that does not
// exist.
BOOST_FIXTURE_TEST_CASE(unknown_partitions_are_not_served, cell) {
  AddRacks(0, 6);
  store.Put(partition_directory::KeyOf(kPool), "{\"count\":0}");
  daemon_parts& daemon = AddDaemon("a");
  BOOST_REQUIRE(Eventually([&] { return daemon.gateway.IsOpen(); }));
  const auto refused = daemon.Submit("job");
  BOOST_TEST((refused.status == job_call_status::kUnavailable));
  BOOST_TEST(!store.Has(JobKey(kPool, "job")));
  BOOST_TEST(owners_by_worker.empty());
  // Its correction is taken up.
  store.Put(partition_directory::KeyOf(kPool), EncodePartitions({2, {}}));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(12); }));
  BOOST_TEST((daemon.Submit("job").status == job_call_status::kAccepted));
  wire::pool_callT call;
  call.topic = kSubmitTopic;
  call.timeout_ms = 1000;
  job_submission job = daemon_parts::SmallJob("other");
  job.queue.pool = kPool + "~7";
  call.body = EncodeSubmission(job);
  const auto response = daemon.host->HandleJobCall(call, daemon.clock->Now());
  BOOST_TEST((response.status == job_call_status::kUnavailable));
  BOOST_TEST(response.reason.find("~7") != std::string::npos);
}

// Guards against an owner that no longer follows the list of workers because of
// one entry that cannot be decoded.
BOOST_FIXTURE_TEST_CASE(an_odd_entry_costs_only_itself, cell) {
  AddRacks(0, 1);
  store.Put("workers/odd", "odd");
  AddDaemon("a");
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(2); }));
  AddRacks(1, 1);
  BOOST_TEST(Eventually([&] { return HasClaimedAll(4); }));
  store.Put("workers/odd", "r2");
  BOOST_TEST(Eventually([&] { return HasClaimedAll(5); }));
}

// Guards against a division that a member of an earlier version does not know
// of: it would use all workers of the pool.
BOOST_FIXTURE_TEST_CASE(an_earlier_version_prevents_the_division, cell) {
  AddRacks(0, 6);
  const member old{"old.1", "old", "a", "", "127.0.0.1:1", false};
  store.Put("apricotwheel/cluster/members/old.1", EncodeMember(old));
  AddDaemon("a");
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(12); }));
  runtime_clock::Running()->SleepFor(milliseconds(1500));
  BOOST_TEST(CountPartitions() == 1U);
}

// Pattern: the ids of the waiting jobs all select one partition while the
// workers of the other are idle. On a day with trouble such jobs waited 45 s,
// and some never started.
BOOST_FIXTURE_TEST_CASE(waiting_jobs_move_to_an_idle_partition, cell) {
  AddRacks(0, 4);
  AddDaemon("a");
  AddDaemon("b");
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 2; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(8); }));
  // Four workers of eight cores take 32 of these tasks.
  std::vector<std::string> ids;
  for (int i = 0; ids.size() < 60; ++i) {
    const std::string id = "job-" + std::to_string(i);
    if (HomePartition(id, 2) == 0) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    BOOST_TEST((daemons[1]->Submit(id).status == job_call_status::kAccepted));
  }
  BOOST_TEST(Eventually([&] {
    const std::lock_guard lock(mutex);
    std::size_t running = 0;
    for (const auto& [id, agent] : agents) running += agent->RunCount();
    return running == ids.size();
  }));
  int moved = 0;
  for (const std::string& id : ids) {
    const bool is_moved = store.Has(MovedKey(kPool, id));
    moved += is_moved ? 1 : 0;
    BOOST_TEST(store.Has(JobKey(kPool, id)) != is_moved);
    BOOST_TEST(store.Has(JobKey(kPool + "~1", id)) == is_moved);
    for (const auto& daemon : daemons) {
      BOOST_TEST((daemon->Submit(id).status == job_call_status::kAccepted));
      BOOST_TEST((State(*daemon, id).state == job_state::kActive));
    }
  }
  BOOST_TEST(moved >= 28);
  for (const std::string& id : ids) {
    const auto cancelled = daemons[0]->gateway.Cancel(daemon_parts::Queue(), id,
                                                      milliseconds(3000));
    BOOST_TEST((cancelled.status == job_call_status::kCancelled));
    BOOST_TEST((State(*daemons[1], id).state == job_state::kCancelled));
  }
}

// Guards against jobs whose partition has no workers, of any kind: they waited
// for ever although the rest of the pool was idle.
BOOST_FIXTURE_TEST_CASE(jobs_leave_a_partition_without_workers, cell) {
  AddRacks(0, 4);
  store.Put(
      partition_directory::KeyOf(kPool),
      EncodePartitions({2, {{"r0", 0}, {"r1", 0}, {"r2", 0}, {"r3", 0}}}));
  daemon_parts& daemon = AddDaemon("a");
  AddDaemon("b");
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(8); }));
  job_graph lasting = daemon_parts::SmallJob("x").graph;
  lasting.steps[0].is_service = true;
  std::vector<std::string> ids;
  for (int i = 0; ids.size() < 8; ++i) {
    const std::string id = "job-" + std::to_string(i);
    if (HomePartition(id, 2) == 1) ids.push_back(id);
  }
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const job_graph graph =
        i % 2 == 0 ? lasting : daemon_parts::SmallJob(ids[i]).graph;
    const auto response = daemon.gateway.Submit(daemon_parts::Queue(), ids[i],
                                                graph, milliseconds(3000));
    BOOST_TEST((response.status == job_call_status::kAccepted));
  }
  BOOST_TEST(Eventually([&] {
    const std::lock_guard lock(mutex);
    std::size_t running = 0;
    for (const auto& [id, agent] : agents) running += agent->RunCount();
    return running == ids.size();
  }));
}

// A job of lasting tasks that are kept apart, one on each worker.
job_graph SpreadGraph(std::uint32_t tasks) {
  job_graph graph = daemon_parts::SmallJob("x").graph;
  graph.steps[0].is_service = true;
  graph.steps[0].task_count = tasks;
  graph.steps[0].max_per_worker = 1;
  return graph;
}

// Guards against lasting tasks that never run because the workers of their
// partition are used up while others of the pool are free.
BOOST_FIXTURE_TEST_CASE(a_wide_step_runs_in_several_partitions, cell) {
  AddRacks(0, 4);
  AddDaemon("a");
  AddDaemon("b");
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 2; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(8); }));
  const auto submitted = daemons[0]->gateway.Submit(
      daemon_parts::Queue(), "wide", SpreadGraph(6), milliseconds(3000));
  BOOST_TEST((submitted.status == job_call_status::kAccepted));
  BOOST_TEST(Eventually([&] { return CountRuns().first == 6; }));
  BOOST_TEST(CountRuns().second == 1U);
  BOOST_TEST((State(*daemons[1], "wide").state == job_state::kActive));
  // The partition that runs some of the tasks does not answer for the job.
  const bool is_first_home = HomePartition("wide", 2) == 0;
  const std::string host = is_first_home ? kPool + "~1" : kPool;
  for (const auto& daemon : daemons) {
    const auto owner = daemon->host->OwnerOf(host);
    if (!owner) continue;
    BOOST_TEST((owner->State("wide").status == job_call_status::kMoved));
    const auto answer =
        owner->Cancel("wide", daemon->clock->Now() + milliseconds(1000));
    BOOST_TEST((answer.status == job_call_status::kMoved));
  }
  // The tasks are known to the successors of both owners and run once.
  for (const std::string& partition : PartitionNames(kPool, 2)) {
    const auto owner = daemons[0]->directory->OwnerOf(partition);
    const auto& other = daemons[0]->directory->SelfId() == owner->member_id
                            ? daemons[1]
                            : daemons[0];
    Attempt([&] {
      return other->directory->TakeOver(partition, owner->epoch, false);
    });
    BOOST_REQUIRE(Eventually([&] { return IsServed(); }));
  }
  daemons[0]->clock->SleepFor(milliseconds(2500));
  BOOST_TEST(CountRuns().first == 6U);
  BOOST_TEST(CountRuns().second == 1U);
  // A task that ends in the other partition starts there again.
  {
    const std::lock_guard lock(mutex);
    for (const auto& [id, agent] : agents) {
      if (agent->RunCount() > 0) agent->EndOneRun(run_outcome::kFailed);
    }
  }
  BOOST_TEST(Eventually([&] { return CountRuns().first == 6; }));
  const auto cancelled = daemons[1]->gateway.Cancel(daemon_parts::Queue(),
                                                    "wide", milliseconds(3000));
  BOOST_TEST((cancelled.status == job_call_status::kCancelled));
  BOOST_TEST(Eventually([&] { return CountRuns().first == 0; }));
  BOOST_TEST((State(*daemons[0], "wide").state == job_state::kCancelled));
}

// Guards against a cancellation that ends only the lent tasks: a job from
// before the division lives in the first partition, and callers ask for it at
// the one that its id belongs to, which may have borrowed tasks of it.
BOOST_FIXTURE_TEST_CASE(a_lender_away_from_home_is_cancelled, cell) {
  AddRacks(0, 2);
  daemon_parts& first = AddDaemon("a");
  daemon_parts& second = AddDaemon("b");
  std::string id = "wide";
  while (HomePartition(id, 2) == 0) id += "-";
  BOOST_REQUIRE(Eventually([&] {
    return first.gateway
               .Submit(daemon_parts::Queue(), id, SpreadGraph(6),
                       milliseconds(3000))
               .status == job_call_status::kAccepted;
  }));
  BOOST_REQUIRE(Eventually([&] { return CountRuns().first == 4; }));
  AddRacks(2, 2);
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 2; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(8); }));
  BOOST_REQUIRE(Eventually([&] { return CountRuns().first == 6; }));
  const auto cancelled =
      second.gateway.Cancel(daemon_parts::Queue(), id, milliseconds(3000));
  BOOST_TEST((cancelled.status == job_call_status::kCancelled));
  BOOST_TEST(Eventually([&] { return CountRuns().first == 0; }));
}

// Guards against lent tasks that start after their job was cancelled, because
// the call of its owner was late.
BOOST_FIXTURE_TEST_CASE(a_late_loan_starts_nothing, cell) {
  AddRacks(0, 4);
  AddDaemon("a");
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 2; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(8); }));
  daemon_parts& daemon = *daemons[0];
  const std::string home = PartitionName(kPool, HomePartition("wide", 2));
  const std::string other = home == kPool ? kPool + "~1" : kPool;
  job_submission loan = MakeJob("wide", SpreadGraph(2).steps);
  loan.queue = daemon_parts::Queue();
  loan.queue.pool = other;
  loan.guest = guest_tasks{home, {{0, 0, 1, 0}}};
  const auto host = [&] {
    return daemon.host->OwnerOf(other)->Host(
        loan, daemon.clock->Now() + milliseconds(1000));
  };
  // No job of this id was accepted, or its state was deleted.
  BOOST_TEST((host().status == job_call_status::kUnavailable));
  const auto submitted = daemon.gateway.Submit(
      daemon_parts::Queue(), "wide", SpreadGraph(2), milliseconds(3000));
  BOOST_TEST((submitted.status == job_call_status::kAccepted));
  const auto cancelled =
      daemon.gateway.Cancel(daemon_parts::Queue(), "wide", milliseconds(3000));
  BOOST_TEST((cancelled.status == job_call_status::kCancelled));
  BOOST_TEST((host().status == job_call_status::kUnavailable));
  BOOST_TEST(!store.Has(JobKey(other, "wide")));
  BOOST_TEST(Eventually([&] { return CountRuns().first == 0; }));
}

// Guards against a job that was moved and is lost or doubled because one of the
// owners changes before the other has taken the job over.
BOOST_FIXTURE_TEST_CASE(a_moved_job_survives_changes_of_owners, cell) {
  AddRacks(0, 4);
  AddDaemon("a");
  AddDaemon("b");
  AddDaemon("c");
  BOOST_REQUIRE(Eventually([&] { return CountPartitions() == 2; }));
  BOOST_REQUIRE(Eventually([&] { return IsServed() && HasClaimedAll(8); }));
  std::vector<std::string> ids;
  for (int i = 0; ids.size() < 56; ++i) {
    const std::string id = "job-" + std::to_string(i);
    if (HomePartition(id, 2) == 0) ids.push_back(id);
  }
  for (std::size_t i = 0; i < ids.size(); ++i) {
    BOOST_TEST(
        (daemons[0]->Submit(ids[i]).status == job_call_status::kAccepted));
    // Both partitions change hands again and again while jobs move.
    if (i % 8 != 0) continue;
    for (const std::string& partition : PartitionNames(kPool, 2)) {
      const auto owner = daemons[i / 8 % 3]->directory->OwnerOf(partition);
      if (!owner) continue;
      Attempt([&] {
        return daemons[i / 8 % 3]->directory->TakeOver(partition, owner->epoch,
                                                       false);
      });
    }
  }
  BOOST_TEST(Eventually([&] {
    const std::lock_guard lock(mutex);
    std::size_t running = 0;
    for (const auto& [id, agent] : agents) running += agent->RunCount();
    return running == ids.size();
  }));
  for (const std::string& id : ids) {
    BOOST_TEST((daemons[1]->Submit(id).status == job_call_status::kAccepted));
    BOOST_TEST(store.Has(JobKey(kPool, id)) !=
               store.Has(JobKey(kPool + "~1", id)));
    const auto state = State(*daemons[2], id);
    BOOST_TEST((state.status == job_call_status::kState));
    BOOST_TEST(ToString(state.state) == "active");
  }
}

}  // namespace
}  // namespace apricotwheel
