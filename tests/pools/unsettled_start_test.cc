// Starts that a worker neither answers nor lists, and whose stops it does not
// answer, while it answers polls.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "pools/pool_owner.h"
#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_agent.h"
#include "tests/pools/fake_store.h"

namespace apricotwheel {
namespace {

using testing::fake_agent;
using testing::fake_store;
using testing::MakeJob;
using testing::MakeStep;

constexpr auto kTaskLease = milliseconds(600);
constexpr auto kStartTimeout = milliseconds(20);
const std::string kOwnerKey = "owners/pool";

pool_worker WorkerOf(const std::string& id) {
  pool_worker worker;
  worker.id = id;
  worker.pool = "pool";
  worker.capacity = {4000, 16'384, 0};
  worker.incarnation = 1;
  return worker;
}

// An owner with a worker "mute" that answers polls and loses all orders, and a
// worker "sound".
struct mute_worker_rig {
  fake_store store;
  std::unique_ptr<kv_client> kv = store.Client();
  clock_ptr clock = runtime_clock::Running();
  fake_agent mute{clock};
  fake_agent sound{clock};
  std::atomic<int> starts = 0;  // That "mute" has lost.
  platform_services platform;
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::unique_ptr<pool_owner> owner;

  mute_worker_rig() {
    platform.connect_agent = [this](const pool_worker& worker) {
      if (worker.id == "sound") return sound.Link();
      auto link = mute.Link();
      link->start = [this](const start_order&, const run_lease&) {
        ++starts;
        clock->SleepFor(kStartTimeout);
        return start_response{};
      };
      link->stop = [](const stop_order&, std::uint64_t) { return false; };
      return link;
    };
    pool_owner_options options;
    options.pool = "pool";
    options.epoch = store.Put(kOwnerKey, "owner");
    options.owner_key = kOwnerKey;
    options.member_id = "member";
    options.task_lease = kTaskLease;
    options.kv = kv.get();
    options.metrics = &metrics;
    options.platform = &platform;
    options.members = [] { return std::vector<std::string>{"member"}; };
    options.on_superseded = [] {};
    options.clock = clock;
    owner = std::make_unique<pool_owner>(std::move(options));
    BOOST_REQUIRE(Attempt([&] { return owner->Start(); }));
  }
  ~mute_worker_rig() { owner->Stop(); }

  template <class Predicate>
  bool Within(duration limit, Predicate condition) const {
    const auto until = clock->Now() + limit;
    while (!condition() && clock->Now() < until) {
      clock->SleepFor(milliseconds(2));
    }
    return condition();
  }
};

// Guards against a task that waits for longer than the leases of its worker
// last: no lease ends while the worker answers polls, and a start without an
// answer is given up only when its stop is confirmed or a lease has ended.
BOOST_AUTO_TEST_CASE(a_start_that_is_never_settled_ends_with_its_lease) {
  // 5 s in which stops are ordered, and a lease on a slow clock.
  constexpr auto kLimit = milliseconds(8000);
  mute_worker_rig cell;
  cell.owner->SetWorkers({{"mute", WorkerOf("mute")}});
  const auto deadline = cell.clock->Now() + std::chrono::seconds(5);
  const auto answer = cell.owner->Submit(
      MakeJob("job", {MakeStep(1, {1000, 1024, 0})}), deadline);
  BOOST_TEST((answer.status == job_call_status::kAccepted));
  BOOST_TEST(cell.Within(kLimit, [&] { return cell.starts > 0; }));
  cell.owner->SetWorkers(
      {{"mute", WorkerOf("mute")}, {"sound", WorkerOf("sound")}});
  BOOST_TEST(cell.Within(kLimit, [&] { return cell.sound.RunCount() == 1; }));
}

}  // namespace
}  // namespace apricotwheel
