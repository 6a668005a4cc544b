// An owner that is cut off together with workers, and its successor.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pools/pool_owner.h"
#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_store.h"
#include "tests/pools/leased_agent.h"

namespace apricotwheel {
namespace {

using testing::fake_store;
using testing::FindOverlaps;
using testing::leased_agent;
using testing::MakeJob;
using testing::MakeStep;
using testing::run_record;

constexpr auto kInterval = milliseconds(100);
const std::string kOwnerKey = "owners/pool";

// Two owners of one pool, one after the other, and the workers "cut" and
// "kept". Nothing listens at the addresses of the workers, as for an owner that
// is cut off by refusals.
struct cut_rig {
  struct side {
    explicit side(std::string member) : name(std::move(member)) {}

    std::string name;
    std::shared_ptr<std::atomic<bool>> is_without_store =
        std::make_shared<std::atomic<bool>>(false);
    std::unique_ptr<kv_client> kv;
    platform_services platform;
    std::atomic<bool> is_superseded = false;
    std::unique_ptr<pool_owner> owner;
  };

  clock_ptr clock = runtime_clock::Running();
  fake_store store;
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::map<std::string, std::unique_ptr<leased_agent>> agents;
  std::mutex mutex;  // Guards the next two.
  // Pairs of an owner and a worker that it does not reach.
  std::set<std::pair<std::string, std::string>> cuts;
  error_kind cut_failure = error_kind::kTimeout;
  duration task_lease;
  side earlier{"earlier"};
  side later{"later"};

  explicit cut_rig(duration lease = milliseconds(1000)) : task_lease(lease) {
    for (const char* id : {"cut", "kept"}) {
      agents[id] = std::make_unique<leased_agent>(clock);
    }
  }
  ~cut_rig() {
    for (side* one : {&later, &earlier}) {
      if (one->owner) one->owner->Stop();
    }
  }

  static pool_worker WorkerOf(const std::string& id) {
    pool_worker worker;
    worker.id = id;
    worker.pool = "pool";
    worker.address = id == "cut" ? "127.0.0.1:1" : "127.0.0.1:2";
    worker.capacity = {4000, 16'384, 0};
    worker.incarnation = 1;
    return worker;
  }
  static void List(side& one, const std::vector<std::string>& ids) {
    std::map<std::string, pool_worker> workers;
    for (const std::string& id : ids) workers[id] = WorkerOf(id);
    one.owner->SetWorkers(std::move(workers));
  }

  void Start(side& one) {
    one.kv = store.Client(one.is_without_store);
    one.platform.connect_agent = [this, &one](const pool_worker& worker) {
      const std::pair link{one.name, worker.id};
      return agents.at(worker.id)->Link(
          [this, link]() -> std::optional<error_kind> {
            const std::lock_guard lock(mutex);
            if (!cuts.contains(link)) return std::nullopt;
            return cut_failure;
          });
    };
    pool_owner_options options;
    options.pool = "pool";
    options.epoch = store.Put(kOwnerKey, one.name);
    options.owner_key = kOwnerKey;
    options.member_id = one.name;
    options.confirmation_interval = kInterval;
    options.task_lease = task_lease;
    options.kv = one.kv.get();
    options.metrics = &metrics;
    options.platform = &one.platform;
    options.members = [] { return std::vector<std::string>{}; };
    options.on_superseded = [&one] { one.is_superseded = true; };
    options.clock = clock;
    one.owner = std::make_unique<pool_owner>(std::move(options));
    BOOST_REQUIRE(Attempt([&] { return one.owner->Start(); }));
  }
  // Starts the earlier owner with a task on one worker.
  void RunTaskOn(const std::string& id) {
    Start(earlier);
    List(earlier, {id});
    const auto response = earlier.owner->Submit(
        MakeJob("job", {MakeStep(1, {1000, 1024, 0})}), Deadline());
    BOOST_REQUIRE((response.status == job_call_status::kAccepted));
    BOOST_REQUIRE(
        Within(milliseconds(5000), [&] { return agents[id]->IsRunning(); }));
    List(earlier, {"cut", "kept"});
    // The list of the workers is stored before the next owner reads it.
    BOOST_REQUIRE(Within(milliseconds(5000), [&] {
      const auto known = earlier.owner->KnownWorkers();
      const std::string stored = store.Value("apricotwheel/rosters/pool");
      return known && stored.find("cut") != std::string::npos &&
             stored.find("kept") != std::string::npos;
    }));
  }
  // Cuts the earlier owner off with the worker "cut", and starts its successor.
  void Cut(error_kind failure) {
    {
      const std::lock_guard lock(mutex);
      cut_failure = failure;
      cuts = {{"earlier", "kept"}, {"later", "cut"}};
    }
    *earlier.is_without_store = true;
    Start(later);
  }

  time_point Deadline() const {
    return clock->Now() + duration(milliseconds(5000));
  }
  template <class Predicate>
  bool Within(duration limit, Predicate condition) const {
    const auto until = clock->Now() + limit;
    while (!condition() && clock->Now() < until) {
      clock->SleepFor(milliseconds(2));
    }
    return condition();
  }
  std::vector<run_record> AllRuns() {
    std::vector<run_record> all;
    for (const auto& [id, agent] : agents) {
      const auto runs = agent->Runs();
      all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
  }
};

// Guards against a task that runs on both sides of a network cut: the successor
// counted the worker that it does not reach as free after one lease, while the
// earlier owner on the other side went on renewing.
BOOST_AUTO_TEST_CASE(a_successor_waits_for_an_owner_that_is_cut_off) {
  for (const error_kind failure :
       {error_kind::kTimeout, error_kind::kUnavailable}) {
    cut_rig cell;
    cell.RunTaskOn("cut");
    cell.Cut(failure);
    cut_rig::List(cell.later, {"cut", "kept"});
    BOOST_TEST(cell.Within(milliseconds(6000),
                           [&] { return cell.agents["kept"]->IsRunning(); }));
    cell.clock->SleepFor(cell.task_lease);
    BOOST_TEST(FindOverlaps(cell.AllRuns()).empty());
    BOOST_TEST(cell.AllRuns().size() == 2);
  }
}

// Guards against the other side of the same cut: the earlier owner counted its
// own leases on a worker as ended, which the successor had claimed and renewed,
// and started the task on its side.
BOOST_AUTO_TEST_CASE(an_owner_that_is_cut_off_starts_nothing_again) {
  for (const error_kind failure :
       {error_kind::kTimeout, error_kind::kUnavailable}) {
    cut_rig cell;
    cell.RunTaskOn("kept");
    cell.Cut(failure);
    cut_rig::List(cell.later, {"cut", "kept"});
    cell.clock->SleepFor(4 * cell.task_lease);
    BOOST_TEST(cell.agents["kept"]->IsRunning());
    BOOST_TEST(cell.AllRuns().size() == 1);
  }
}

// Guards against taking a worker of an earlier owner for exited because it
// refuses connections and its entry is missing. A cut that refuses, with
// entries that expire, shows both while the worker runs on.
BOOST_AUTO_TEST_CASE(a_refusal_and_a_missing_entry_are_no_exit) {
  constexpr auto kAbsence = milliseconds(4500);
  cut_rig cell(milliseconds(6000));
  cell.RunTaskOn("cut");
  cell.Cut(error_kind::kUnavailable);
  cut_rig::List(cell.later, {"kept"});
  cell.clock->SleepFor(kAbsence);
  BOOST_TEST(cell.agents["cut"]->IsRunning());
  BOOST_TEST(cell.AllRuns().size() == 1);
}

// Guards against an owner that acts on after the cut has ended.
BOOST_AUTO_TEST_CASE(an_owner_that_returns_from_a_cut_gives_the_pool_up) {
  cut_rig cell;
  cell.RunTaskOn("kept");
  cell.Cut(error_kind::kTimeout);
  cut_rig::List(cell.later, {"cut", "kept"});
  cell.clock->SleepFor(2 * cell.task_lease);
  *cell.earlier.is_without_store = false;
  BOOST_TEST(cell.Within(milliseconds(3000),
                         [&] { return cell.earlier.is_superseded.load(); }));
  BOOST_TEST(cell.AllRuns().size() == 1);
}

// Guards against a release that leaves out the leases of an owner before: a
// successor that stops before it has settled waited for them itself.
BOOST_AUTO_TEST_CASE(a_release_includes_the_leases_of_earlier_owners) {
  cut_rig cell;
  cell.RunTaskOn("cut");
  cell.Cut(error_kind::kTimeout);
  cut_rig::List(cell.later, {"cut", "kept"});
  BOOST_REQUIRE(cell.Within(milliseconds(5000), [&] {
    return cell.later.owner->KnownWorkers().has_value();
  }));
  cell.later.owner->Stop();
  const lease_release release = cell.later.owner->ReleasedLeases();
  BOOST_TEST(cell.agents["cut"]->IsRunning());
  std::int64_t remaining_ms = release.others_remaining_ms;
  const auto named = release.remaining_ms.find("cut");
  if (named != release.remaining_ms.end()) {
    remaining_ms = std::min(remaining_ms, named->second);
  }
  cell.clock->SleepFor(milliseconds(remaining_ms));
  BOOST_TEST(!cell.agents["cut"]->IsRunning());
}

}  // namespace
}  // namespace apricotwheel
