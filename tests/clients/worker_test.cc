#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

#include "clients/instance_client.h"
#include "clients/worker_client.h"
#include "testing/worker_standin.h"

namespace apricotwheel {
namespace {

namespace data = boost::unit_test::data;
using standins::worker_faults;

struct fixture {
  clock_ptr clock = runtime_clock::Running();
  std::unique_ptr<standins::worker_standin> fleet;
  std::unique_ptr<worker_client> client;

  explicit fixture(standins::worker_agent_options agent = {}) {
    standins::worker_standin_options options;
    options.agent_options = std::move(agent);
    options.cell.vms.push_back({.id = "vm-0",
                                .address = "127.0.0.1:0",
                                .failure_domain = "fd0",
                                .rack = "rack1",
                                .state = vm_state::kLive,
                                .capacity = {4000, 4096, 1}});
    fleet = standins::worker_standin::Start(options).value();
    client =
        worker_client::Create({fleet->Agent(0).Address(), milliseconds(300)})
            .value();
  }

  task_spec Spec(std::int64_t run_ms, std::int64_t cpu_milli = 1000) const {
    task_spec spec;
    spec.task_id = "job/0";
    spec.job_id = "job";
    spec.run_ms = run_ms;
    spec.resources = {cpu_milli, 512, 0};
    return spec;
  }
  std::int64_t ClockMs() {
    return client->Renew(1, 0, {}).value().worker_clock_ms;
  }
  task_status Only() {
    const auto snapshot = client->Renew(1, 0, {}).value();
    BOOST_REQUIRE(snapshot.tasks.size() == 1u);
    return snapshot.tasks[0];
  }
};

struct stale_row {
  const char* name;
  std::function<bool(worker_client&)> call;  // Under epoch 4; true if refused.
};
std::ostream& operator<<(std::ostream& out, const stale_row& row) {
  return out << row.name;
}

template <class Call>
bool IsStale(Call call) {
  const auto done = Attempt(call);
  return !done && done.failure.kind == error_kind::kStaleEpoch;
}

const stale_row kStaleRows[] = {
    {"claim", [](auto& w) { return IsStale([&] { return w.Claim(4, "a"); }); }},
    {"renew",
     [](auto& w) { return IsStale([&] { return w.Renew(4, 1, {}); }); }},
    {"start",
     [](auto& w) { return IsStale([&] { return w.Start(4, {}, 1); }); }},
    {"stop",
     [](auto& w) {
       return IsStale([&] { return w.Stop(4, "t", stop_mode::kKill); });
     }},
    {"throttle",
     [](auto& w) { return IsStale([&] { return w.Throttle(4, "t", 1); }); }},
    {"release", [](auto& w) { return IsStale([&] { return w.Release(4); }); }},
};

// Guards against a worker that accepts requests with an older epoch, from a
// daemon that no longer owns the partition. The variant that ignores epochs
// proves that the check can fail.
BOOST_DATA_TEST_CASE(older_epoch_is_refused, data::make(kStaleRows), row) {
  for (const bool broken : {false, true}) {
    standins::worker_agent_options agent;
    agent.ignore_epochs = broken;
    fixture test(agent);
    test.client->Claim(5, "b").value();
    BOOST_TEST(row.call(*test.client) == !broken);
  }
}

// Guards against two owners under one epoch, and against an owner that renews
// after it released the worker.
BOOST_AUTO_TEST_CASE(one_owner_for_each_epoch) {
  fixture test;
  test.client->Claim(1, "a").value();
  test.client->Claim(1, "a").value();
  BOOST_TEST(IsStale([&] { return test.client->Claim(1, "b"); }));
  BOOST_TEST(bool(Attempt([&] { return test.client->Release(1); })));
  BOOST_TEST(IsStale([&] { return test.client->Renew(1, 1, {}); }));
}

// Guards against a claim that does not tell the successor how long the leases
// of the earlier owner may still run.
BOOST_AUTO_TEST_CASE(claim_tells_the_age_of_the_last_renewal) {
  fixture test;
  BOOST_TEST(!test.client->Claim(1, "a").value().previous_renewal_age_ms);
  test.client->Renew(1, 0, {}).value();
  test.clock->SleepFor(milliseconds(30));
  BOOST_TEST(*test.client->Claim(2, "b").value().previous_renewal_age_ms >= 30);
  // A successor that never renewed must not hide the renewal before it.
  BOOST_TEST(*test.client->Claim(3, "c").value().previous_renewal_age_ms >= 30);

  fixture released;
  released.client->Renew(1, 0, {}).value();
  BOOST_TEST(bool(Attempt([&] { return released.client->Release(1); })));
  BOOST_TEST(!released.client->Claim(2, "b").value().previous_renewal_age_ms);
}

// Guards against a renewal that reaches a paused worker late and extends a
// lease that its sender has given up.
BOOST_AUTO_TEST_CASE(late_renewal_extends_nothing) {
  fixture test;
  const auto now = test.ClockMs();
  test.client->Start(1, test.Spec(60000), now + 200).value();
  test.fleet->Agent(0).SetFaults({.frozen = true});
  std::thread late([&] {
    // The worker reads this request only after it resumes. The request asks for
    // a lease of 500 ms from `now`.
    Attempt([&] { return test.client->Renew(1, now + 500, {}); });
  });
  test.clock->SleepFor(milliseconds(700));
  test.fleet->Agent(0).SetFaults({});
  late.join();
  const auto task = test.Only();
  BOOST_TEST((task.state == task_state::kStopped));
  BOOST_TEST(task.ran_ms < 450);
}

// Guards against tasks that outlive their lease while the agent is frozen, and
// against a delayed start whose lease has already expired.
BOOST_AUTO_TEST_CASE(frozen_agent_ends_tasks_and_starts_none_late) {
  fixture test;
  const auto now = test.ClockMs();
  auto spec = test.Spec(60000);
  spec.kind = task_kind::kService;
  spec.slots = 8;
  spec.connections = 64;
  const auto started = test.client->Start(1, spec, now + 200).value();
  test.fleet->Agent(0).SetFaults({.frozen = true});
  spec.task_id = "late/0";
  const auto late =
      Attempt([&] { return test.client->Start(1, spec, now + 400); });
  BOOST_TEST((late.failure.kind == error_kind::kTimeout));
  test.clock->SleepFor(milliseconds(200));
  const auto instance =
      instance_client::Create({.address = started.address}).value();
  const auto gone = Attempt([&] { return instance->FetchUsage(); });
  BOOST_TEST((gone.failure.kind == error_kind::kUnavailable));
  test.fleet->Agent(0).SetFaults({});
  BOOST_TEST((test.Only().state == task_state::kStopped));
}

// Guards against a lost start response after which the task's result is dropped
// or a repeated start runs the task again.
BOOST_AUTO_TEST_CASE(finished_task_is_kept_until_acknowledged) {
  fixture test;
  const auto now = test.ClockMs();
  test.fleet->Agent(0).SetFaults({.lose_replies = 1});
  const auto lost = Attempt(
      [&] { return test.client->Start(1, test.Spec(50), now + 10000); });
  BOOST_TEST((lost.failure.kind == error_kind::kTimeout));
  test.clock->SleepFor(milliseconds(120));
  const auto repeated =
      test.client->Start(1, test.Spec(50), now + 10000).value();
  BOOST_TEST((repeated.state == task_state::kFinished));
  BOOST_TEST((test.Only().state == task_state::kFinished));
  const std::string done[] = {"job/0"};
  BOOST_TEST(test.client->Renew(1, 0, done).value().tasks.empty());
}

// Guards against a checkpoint that loses progress, and against a throttle
// without effect.
BOOST_AUTO_TEST_CASE(checkpoint_and_throttle) {
  fixture test;
  const auto now = test.ClockMs();
  auto spec = test.Spec(60000);
  test.client->Start(1, spec, now + 10000).value();
  test.clock->SleepFor(milliseconds(100));
  BOOST_TEST(bool(Attempt(
      [&] { return test.client->Stop(1, "job/0", stop_mode::kCheckpoint); })));
  const auto saved = test.Only();
  BOOST_TEST((saved.state == task_state::kCheckpointed));
  spec.task_id = "job/1";
  spec.checkpoint = saved.checkpoint;
  const auto resumed = test.client->Start(1, spec, now + 10000).value();
  BOOST_TEST(resumed.ran_ms >= 100);
  BOOST_TEST(
      bool(Attempt([&] { return test.client->Throttle(1, "job/1", 1); })));
  test.clock->SleepFor(milliseconds(100));
  const auto throttled = test.client->Renew(1, 0, {}).value().tasks[1];
  BOOST_TEST(throttled.ran_ms < resumed.ran_ms + 50);
}

// Guards against capacity breaches that are not counted, and against a start
// that is rejected although it fits.
BOOST_AUTO_TEST_CASE(capacity_breach_is_counted_or_refused) {
  for (const bool refuse : {false, true}) {
    standins::worker_agent_options agent;
    agent.refuse_over_capacity = refuse;
    fixture test(agent);
    const auto now = test.ClockMs();
    test.client->Start(1, test.Spec(60000, 3000), now + 10000).value();
    BOOST_TEST(test.fleet->Agent(0).CapacityBreachCount() == 0u);
    auto second = test.Spec(60000, 3000);
    second.task_id = "job/1";
    const auto started =
        Attempt([&] { return test.client->Start(1, second, now + 10000); });
    BOOST_TEST(bool(started) == !refuse);
    if (refuse) BOOST_TEST((started.failure.kind == error_kind::kCapacity));
    BOOST_TEST(test.fleet->Agent(0).CapacityBreachCount() == 1u);
  }
}

// Guards against fault settings of the worker stand-in that have no effect.
BOOST_AUTO_TEST_CASE(usage_lags_and_faults_apply) {
  standins::worker_agent_options agent;
  agent.usage_lag = milliseconds(100);
  fixture test(agent);
  test.fleet->Agent(0).SetFaults({.report_percent = 50});
  test.client->Start(1, test.Spec(60000), test.ClockMs() + 10000).value();
  test.clock->SleepFor(milliseconds(250));
  BOOST_TEST(test.Only().used.cpu_milli == 500);
  test.fleet->Agent(0).SetFaults({.fail_tasks = true});
  test.clock->SleepFor(milliseconds(50));
  BOOST_TEST((test.Only().state == task_state::kFailed));
  test.fleet->Agent(0).SetFaults({.delay_ms = 500});
  const auto slow = Attempt([&] { return test.client->Renew(1, 0, {}); });
  BOOST_TEST((slow.failure.kind == error_kind::kTimeout));
}

}  // namespace
}  // namespace apricotwheel
