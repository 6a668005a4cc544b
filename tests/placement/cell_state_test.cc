#include "placement/cell_state.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace apricotwheel {
namespace {

struct running_task {
  worker_index worker = kNoWorker;
  resource_vector allocated;
  priority_class priority = priority_class::kBatch;
  std::string workload;
};

// A cell and a reference model of it: the list of running tasks, from which
// free resources and counts are computed by brute force.
struct cell_fixture {
  std::unique_ptr<cell_state> cell = cell_state::Create();
  std::vector<worker_index> workers;
  std::map<std::string, running_task> running;
  random_source random{1};

  worker_index Add(const std::string& id, resource_vector capacity,
                   const std::string& domain = "d0",
                   const std::string& rack = "r0") {
    workers.push_back(cell->UpsertWorker({id, domain, rack, capacity}));
    return workers.back();
  }
  bool Run(worker_index worker, const placement_request& request) {
    const auto done = Attempt([&] { return cell->Allocate(worker, request); });
    if (done) {
      running[std::string(request.task_id)] = {worker, request.need,
                                               request.priority,
                                               std::string(request.workload)};
    }
    return static_cast<bool>(done);
  }
  resource_vector Free(worker_index worker) const {
    resource_vector free = cell->Shape(worker).capacity;
    for (const auto& [id, task] : running) {
      if (task.worker == worker) free = free - task.allocated;
    }
    return free;
  }
  std::size_t Instances(const std::string& workload, const std::string& domain,
                        const std::string& rack) const {
    std::size_t count = 0;
    for (const auto& [id, task] : running) {
      const worker_shape& shape = cell->Shape(task.worker);
      count += task.workload == workload && shape.failure_domain == domain &&
               (rack.empty() || shape.rack == rack);
    }
    return count;
  }
};

placement_request Request(std::string_view id, resource_vector need,
                          std::string_view policy = "packing-first",
                          priority_class priority = priority_class::kBatch) {
  placement_request request;
  request.task_id = id;
  request.workload = "work";
  request.team = "team";
  request.priority = priority;
  request.need = need;
  request.policy = policy;
  return request;
}

// Guards against policies that are missing because the linker drops object
// files to which nothing refers.
BOOST_AUTO_TEST_CASE(all_policies_are_registered) {
  const std::vector<std::string> expected = {"first-fit", "packing-first",
                                             "random", "waiting-first"};
  BOOST_TEST(PolicyNames() == expected, boost::test_tools::per_element());
}

// Guards against placements beyond the capacity of a worker, workers with room
// that are missed, spread over the wrong failure domain or rack, and use of
// accelerator workers while others have room. Compares each policy with brute
// force over random sequences of operations.
BOOST_AUTO_TEST_CASE(decisions_agree_with_brute_force) {
  for (const std::string& policy : PolicyNames()) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      cell_fixture fixture;
      random_source random{seed};
      for (int i = 0; i < 24; ++i) {
        const auto kind = NextBelow(random, 3);
        fixture.Add("vm-" + std::to_string(i),
                    {4000 + 4000 * static_cast<std::int64_t>(kind), 16'384,
                     kind == 2 ? 4 : 0},
                    "d" + std::to_string(i % 3),
                    "r" + std::to_string(NextBelow(random, 2)));
      }
      std::set<worker_index> unusable;
      for (int step = 0; step < 400; ++step) {
        const std::string id = "t" + std::to_string(step);
        if (NextBelow(random, 4) == 0 && !fixture.running.empty()) {
          auto victim = fixture.running.begin();
          std::advance(victim, static_cast<std::ptrdiff_t>(
                                   NextBelow(random, fixture.running.size())));
          if (NextBelow(random, 2) == 0) {
            const resource_vector used{
                static_cast<std::int64_t>(NextBelow(random, 5000)),
                static_cast<std::int64_t>(NextBelow(random, 6000)), 0};
            fixture.cell->ReportUse(victim->first, used);
            // The model does not keep the declared amount, so the reported one
            // is never below it.
            fixture.cell->ReportUse(
                victim->first, ElementwiseMax(used, victim->second.allocated));
            victim->second.allocated =
                ElementwiseMax(used, victim->second.allocated);
          } else {
            fixture.cell->ReleaseTask(victim->first);
            fixture.running.erase(victim);
          }
        }
        if (NextBelow(random, 10) == 0) {
          const worker_index worker =
              fixture.workers[NextBelow(random, fixture.workers.size())];
          if (unusable.erase(worker) == 0) unusable.insert(worker);
          fixture.cell->SetUsable(worker, unusable.count(worker) == 0);
        }
        auto request =
            Request(id,
                    {static_cast<std::int64_t>(NextBelow(random, 4000)),
                     static_cast<std::int64_t>(NextBelow(random, 8000)),
                     static_cast<std::int64_t>(NextBelow(random, 12) / 10)},
                    policy);
        const std::string workload = "w" + std::to_string(NextBelow(random, 3));
        request.workload = workload;
        request.spread = NextBelow(random, 2) == 0;
        const std::vector<std::string> excluded = {
            "vm-" + std::to_string(NextBelow(random, 24))};
        request.excluded_workers = excluded;
        const auto decision = fixture.cell->Decide(request, random);
        using rank = std::tuple<bool, std::size_t, std::size_t>;
        std::map<worker_index, rank> fits;
        for (const worker_index worker : fixture.workers) {
          BOOST_REQUIRE(
              (fixture.Free(worker) == fixture.cell->FreeCapacity(worker)));
          const worker_shape& shape = fixture.cell->Shape(worker);
          if (unusable.count(worker) > 0 || shape.id == excluded[0] ||
              !Fits(request.need, fixture.Free(worker))) {
            continue;
          }
          fits[worker] = {
              shape.capacity.accelerators > 0,
              request.spread
                  ? fixture.Instances(workload, shape.failure_domain, "")
                  : 0,
              request.spread ? fixture.Instances(workload, shape.failure_domain,
                                                 shape.rack)
                             : 0};
        }
        BOOST_REQUIRE((decision.outcome == placement_outcome::kPlaced) ==
                      !fits.empty());
        if (fits.empty()) continue;
        BOOST_REQUIRE(fits.count(decision.worker) == 1U);
        const auto best = std::min_element(
            fits.begin(), fits.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        BOOST_REQUIRE((fits[decision.worker] == best->second));
        BOOST_REQUIRE(fixture.Run(decision.worker, request));
      }
    }
  }
}

// Guards against pre-empting more or costlier tasks than necessary, or tasks
// outside the batch class. Compares the victims with the smallest sets on every
// worker.
BOOST_AUTO_TEST_CASE(preemption_takes_the_fewest_and_cheapest) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    cell_fixture fixture;
    random_source random{seed};
    int next = 0;
    for (int i = 0; i < 6; ++i) {
      const auto worker = fixture.Add("vm-" + std::to_string(i), {8000, 0, 0});
      while (fixture.Free(worker).cpu_milli >= 500) {
        const std::string id = "t" + std::to_string(next++);
        const auto cpu = std::min<std::int64_t>(
            fixture.Free(worker).cpu_milli,
            500 + static_cast<std::int64_t>(NextBelow(random, 3000)));
        fixture.Run(worker,
                    Request(id, {cpu, 0, 0}, "first-fit",
                            static_cast<priority_class>(NextBelow(random, 3))));
      }
    }
    const auto request = Request(
        "u", {500 + static_cast<std::int64_t>(NextBelow(random, 4000)), 0, 0},
        "first-fit", priority_class::kUrgent);
    // The fewest victims on any worker, by taking the largest batch tasks
    // first, and the smallest task that is enough alone.
    std::size_t fewest = SIZE_MAX;
    std::int64_t cheapest_single = INT64_MAX;
    for (const worker_index worker : fixture.workers) {
      std::vector<std::int64_t> sizes;
      for (const auto& [id, task] : fixture.running) {
        if (task.worker == worker && task.priority == priority_class::kBatch) {
          sizes.push_back(task.allocated.cpu_milli);
        }
      }
      std::sort(sizes.rbegin(), sizes.rend());
      auto room = fixture.Free(worker).cpu_milli;
      std::size_t count = 0;
      for (const auto size : sizes) {
        if (room + size >= request.need.cpu_milli) {
          cheapest_single = std::min(cheapest_single, size);
        }
      }
      while (room < request.need.cpu_milli && count < sizes.size()) {
        room += sizes[count++];
      }
      if (room >= request.need.cpu_milli) fewest = std::min(fewest, count);
    }
    const auto decision = fixture.cell->Decide(request, random);
    BOOST_REQUIRE((decision.outcome == placement_outcome::kPreempt) ==
                  (fewest != SIZE_MAX && fewest > 0));
    if (decision.outcome != placement_outcome::kPreempt) continue;
    BOOST_TEST(decision.victims.size() == fewest);
    auto room = fixture.Free(decision.worker);
    for (const std::string& id : decision.victims) {
      const running_task& victim = fixture.running[id];
      BOOST_TEST((victim.priority == priority_class::kBatch));
      BOOST_TEST(victim.worker == decision.worker);
      room = room + victim.allocated;
      if (fewest == 1)
        BOOST_TEST(victim.allocated.cpu_milli == cheapest_single);
    }
    BOOST_TEST(Fits(request.need, room));
  }
}

// Guards against a gang that is placed in part, and against resources that stay
// allocated after a gang decision.
BOOST_AUTO_TEST_CASE(gangs_get_all_or_nothing) {
  for (const std::string& policy : PolicyNames()) {
    cell_fixture fixture;
    for (int i = 0; i < 4; ++i) {
      fixture.Add("vm-" + std::to_string(i), {4000, 4096, 0});
    }
    std::vector<std::string> ids;
    for (int i = 0; i < 9; ++i) ids.push_back("g" + std::to_string(i));
    std::vector<placement_request> gang;
    for (int i = 0; i < 8; ++i) {
      gang.push_back(
          Request(ids[static_cast<std::size_t>(i)], {2000, 1024, 0}, policy));
    }
    const auto chosen = fixture.cell->DecideGang(gang, fixture.random);
    BOOST_REQUIRE(chosen.size() == 8U);
    for (const worker_index worker : fixture.workers) {
      BOOST_TEST(std::count(chosen.begin(), chosen.end(), worker) == 2);
      BOOST_TEST((fixture.cell->FreeCapacity(worker) ==
                  resource_vector{4000, 4096, 0}));
    }
    gang.push_back(Request(ids[8], {2000, 1024, 0}, policy));
    BOOST_TEST(fixture.cell->DecideGang(gang, fixture.random).empty());
    BOOST_TEST(fixture.cell->TaskCount() == 0U);
  }
}

// Guards against refusals that do not name the resource, and against refusals
// of tasks that only have to wait.
BOOST_AUTO_TEST_CASE(impossible_requests_name_the_resource) {
  cell_fixture fixture;
  fixture.Add("vm-a", {16'000, 65'536, 0});
  const auto gpu = fixture.Add("vm-b", {8000, 65'536, 8});
  const struct {
    resource_vector need;
    std::string expected;
  } cases[] = {
      {{20'000, 1, 0}, "cpu_milli: need 20000, the largest worker has 16000"},
      {{1, 70'000, 0}, "memory_mib: need 70000, the largest worker has 65536"},
      {{1, 1, 9}, "accelerators: need 9, the largest worker has 8"},
      {{12'000, 1, 8},
       "cpu_milli: need 12000, workers with enough of the "
       "others have 8000; accelerators: need 8, workers with "
       "enough of the others have 0"},
      {{-1, 1, 0}, "cpu_milli: the need is negative"}};
  for (const auto& each : cases) {
    const auto decision =
        fixture.cell->Decide(Request("t", each.need), fixture.random);
    BOOST_TEST((decision.outcome == placement_outcome::kImpossible));
    BOOST_TEST(decision.reason == each.expected);
  }
  fixture.cell->SetUsable(gpu, false);
  const auto request = Request("t", {1000, 1024, 8});
  const auto waiting = fixture.cell->Decide(request, fixture.random);
  BOOST_TEST((waiting.outcome == placement_outcome::kWait));
  const std::vector<std::string> lines = {
      "accelerators: need 8, more than the capacity of 1 worker, for example "
      "vm-a has 0",
      "unusable (unclaimed, unresponsive, leaving or quarantined): 1 worker, "
      "for example vm-b"};
  BOOST_TEST(fixture.cell->Explain(request) == lines,
             boost::test_tools::per_element());
}

// Guards against reservations of workers that are too small for the task or
// lack more resources for it than others.
BOOST_AUTO_TEST_CASE(reserved_workers_lack_the_least) {
  cell_fixture fixture;
  fixture.Add("vm-small", {2000, 1024, 0});
  const auto a = fixture.Add("vm-a", {4000, 4096, 0});
  const auto b = fixture.Add("vm-b", {4000, 4096, 0});
  fixture.cell->SetUsable(fixture.Add("vm-c", {4000, 4096, 0}), false);
  BOOST_TEST(fixture.Run(a, Request("t", {3000, 0, 0})));
  BOOST_TEST(fixture.Run(b, Request("u", {2000, 0, 0})));
  const std::vector<std::string> expected = {"vm-b", "vm-a"};
  BOOST_TEST(fixture.cell->WorkersToReserve({3000, 0, 0}, 5) == expected,
             boost::test_tools::per_element());
}

// Guards against a task that is allocated twice, that is lost when its worker
// changes its capacity or is removed, or that is allocated less than it uses.
BOOST_AUTO_TEST_CASE(allocations_follow_tasks_and_workers) {
  cell_fixture fixture;
  const auto a = fixture.Add("vm-a", {4000, 4096, 0});
  const auto b = fixture.Add("vm-b", {4000, 4096, 0});
  const auto request = Request("t", {1000, 1024, 0});
  BOOST_TEST(fixture.Run(a, request));
  BOOST_TEST(fixture.Run(a, request));
  const auto twice =
      Attempt([&] { return fixture.cell->Allocate(b, request); });
  BOOST_TEST((twice.failure.kind == error_kind::kConflict));
  const auto large = Attempt([&] {
    return fixture.cell->Allocate(a, Request("u", {3500, 1, 0}));
  });
  BOOST_TEST((large.failure.kind == error_kind::kCapacity));
  fixture.cell->ReportUse("t", {500, 2048, 0});
  BOOST_TEST((fixture.cell->FreeCapacity(a) == resource_vector{3000, 2048, 0}));
  fixture.cell->ReportUse("t", {0, 0, 0});
  BOOST_TEST((fixture.cell->FreeCapacity(a) == resource_vector{3000, 3072, 0}));
  fixture.cell->UpsertWorker({"vm-a", "d1", "r1", {2000, 2048, 0}});
  BOOST_TEST((fixture.cell->FreeCapacity(a) == resource_vector{1000, 1024, 0}));
  fixture.cell->AdoptTask(a, Request("v", {1500, 0, 0}));
  BOOST_TEST((fixture.cell->FreeCapacity(a) == resource_vector{-500, 1024, 0}));
  fixture.cell->RemoveWorker("vm-a");
  BOOST_TEST(fixture.cell->TaskCount() == 0U);
  BOOST_TEST(!fixture.cell->FindWorker("vm-a"));
  BOOST_TEST(
      (fixture.cell->TotalFreeCapacity() == resource_vector{4000, 4096, 0}));
  BOOST_TEST(fixture.Run(b, request));
}

}  // namespace
}  // namespace apricotwheel
