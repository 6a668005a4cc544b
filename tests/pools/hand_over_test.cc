// Changes of the owner of a pool: planned stops, and owners that are cut off
// from the store.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "pools/pool_host.h"
#include "pools/queue_gateway.h"
#include "tests/graph/scheduler_rig.h"
#include "tests/peer/raw_peer.h"
#include "tests/pools/fake_store.h"

namespace apricotwheel {
namespace {

using testing::fake_store;
using testing::MakeJob;
using testing::MakeStep;

constexpr resource_vector kSmall{1000, 1024, 0};
constexpr auto kHandOverTime = milliseconds(1500);
constexpr auto kJobBudget = milliseconds(3000);
const std::string kPool = "pool";

// The parts of a daemon that serve pools, without its listeners.
struct daemon_parts {
  clock_ptr clock = runtime_clock::Running();
  std::shared_ptr<std::atomic<bool>> is_cut_off =
      std::make_shared<std::atomic<bool>>(false);
  std::unique_ptr<kv_client> kv;
  std::unique_ptr<peer_node> peers;
  platform_services platform;
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::unique_ptr<pool_directory> directory;
  std::unique_ptr<pool_host> host;
  queue_gateway gateway{clock, {}};

  daemon_parts(fake_store& store, const std::string& id)
      : kv(store.Client(is_cut_off)), peers(StartNode(id)) {
    platform.workers_prefix = "workers/";
    pool_directory_options directory_options;
    directory_options.self = {id, id, "a", "", peers->ListenAddress(), false};
    directory_options.kv = kv.get();
    directory_options.peers = peers.get();
    directory_options.clock = clock;
    directory = std::make_unique<pool_directory>(directory_options);
    pool_host_options host_options;
    host_options.kv = kv.get();
    host_options.peers = peers.get();
    host_options.directory = directory.get();
    host_options.platform = &platform;
    host_options.metrics = &metrics;
    host_options.clock = clock;
    host = std::make_unique<pool_host>(host_options);
    BOOST_REQUIRE(Attempt([&] { return host->Start(); }));
    directory->SetPools({kPool});
    BOOST_REQUIRE(Attempt([&] { return directory->Start(); }));
    queue_gateway_options gateway_options;
    gateway_options.kv = kv.get();
    gateway_options.peers = peers.get();
    gateway_options.directory = directory.get();
    gateway_options.host = host.get();
    gateway_options.metrics = &metrics;
    gateway_options.clock = clock;
    gateway.Open(gateway_options);
    gateway.SetTable({1, {}, {{kPool, false, false}}});
  }
  ~daemon_parts() {
    kv->InterruptWatches();
    host->Stop();
    directory->Stop();
  }

  bool Owns() const {
    const auto owner = directory->OwnerOf(kPool);
    return owner && owner->member_id == directory->SelfId();
  }
  bool Serves() const { return host->OwnerOf(kPool) != nullptr; }
  job_call_response Submit(const std::string& id) {
    queue_rules queue;
    queue.name = "queue";
    queue.pool = kPool;
    return gateway.Submit(queue, id, MakeJob(id, {MakeStep(1, kSmall)}).graph,
                          kJobBudget);
  }
};

struct rig {
  fake_store store;
  daemon_parts first{store, "first"};
  std::unique_ptr<daemon_parts> second;

  rig() {
    BOOST_REQUIRE(Eventually([&] { return first.Owns() && first.Serves(); }));
    second = std::make_unique<daemon_parts>(store, "second");
    BOOST_REQUIRE(Eventually([&] {
      return first.directory->Members().size() == 2 &&
             second->directory->Members().size() == 2 &&
             second->directory->OwnerOf(kPool);
    }));
    BOOST_REQUIRE(
        (second->Submit("warm").status == job_call_status::kAccepted));
  }
};

// Guards against rejected jobs during a rolling restart with a slow store. A
// pool had no owner while its last commit, the deletion of its owner key and
// the key of its next owner were written one after the other, or until the
// lease of the stopped daemon had expired.
BOOST_FIXTURE_TEST_CASE(jobs_are_accepted_throughout_a_planned_stop, rig) {
  store.SetDelay(milliseconds(400));
  std::atomic<bool> has_stopped = false;
  std::thread stopping([&] {
    first.host->HandOverPools(first.clock->Now() + duration(kHandOverTime));
    has_stopped = true;
  });
  int rejected = 0;
  int accepted = 0;
  const auto submit = [&] {
    const auto response =
        second->Submit("job-" + std::to_string(accepted + rejected));
    ++(response.status == job_call_status::kAccepted ? accepted : rejected);
  };
  while (!has_stopped) submit();
  stopping.join();
  submit();
  BOOST_TEST(rejected == 0);
  BOOST_TEST(accepted >= 2);
  BOOST_TEST(second->Owns());
  BOOST_TEST(!first.Owns());
}

// A stopping daemon stays a member until its callers have gone; without the
// record the others would close their connections to it and interrupt the jobs
// that it forwards. They send it no new requests.
BOOST_FIXTURE_TEST_CASE(a_stopping_daemon_stays_connected, rig) {
  first.host->HandOverPools(first.clock->Now() + duration(kHandOverTime));
  BOOST_REQUIRE(Eventually([&] { return second->Serves(); }));
  const auto is_marked = [&] {
    const auto members = second->directory->Members();
    return std::any_of(members.begin(), members.end(), [](const member& one) {
      return one.id == "first" && one.leaving;
    });
  };
  BOOST_TEST(Eventually(is_marked));
  BOOST_TEST((first.Submit("late").status == job_call_status::kAccepted));
  BOOST_TEST(second->directory->Successors(kPool).empty());
}

// Guards against jobs rejected until the owner's lease has expired, when the
// store rejects the requests of the owner's daemon, or is cut off from it, and
// serves the others.
BOOST_FIXTURE_TEST_CASE(an_owner_without_the_store_hands_its_pool_over, rig) {
  *first.is_cut_off = true;
  BOOST_TEST(Eventually([&] {
    return second->Submit("job").status == job_call_status::kAccepted;
  }));
  BOOST_TEST(second->Owns());
  // The previous owner has missed the change in the store.
  BOOST_TEST((first.Submit("next").status == job_call_status::kAccepted));
}

// Guards against a daemon with an outdated owner: the store rejects several
// daemons while the owner of a pool changes, and a daemon that missed the
// change rejected its callers as long as that lasted.
BOOST_FIXTURE_TEST_CASE(a_daemon_without_the_store_learns_of_the_owner, rig) {
  *second->is_cut_off = true;
  daemon_parts third(store, "third");
  BOOST_REQUIRE(Eventually([&] {
    return first.directory->Members().size() == 3 &&
           third.directory->OwnerOf(kPool);
  }));
  first.host->HandOverPools(first.clock->Now() + duration(kHandOverTime));
  BOOST_REQUIRE(Eventually([&] { return third.Owns() && third.Serves(); }));
  BOOST_TEST((second->Submit("job").status == job_call_status::kAccepted));
}

// While no daemon gets a response from the store, the pool keeps its owner.
BOOST_FIXTURE_TEST_CASE(a_store_outage_changes_no_owner, rig) {
  *first.is_cut_off = true;
  *second->is_cut_off = true;
  const auto response = second->Submit("job");
  BOOST_TEST((response.status != job_call_status::kAccepted));
  second->clock->SleepFor(milliseconds(1500));
  BOOST_TEST(first.Owns());
  *first.is_cut_off = false;
  *second->is_cut_off = false;
  BOOST_TEST(Eventually([&] {
    return second->Submit("job").status == job_call_status::kAccepted;
  }));
}

// Without a successor the pool is released, so that the next member that joins
// can acquire it.
BOOST_AUTO_TEST_CASE(the_last_daemon_releases_its_pools) {
  fake_store store;
  daemon_parts only(store, "only");
  BOOST_REQUIRE(Eventually([&] { return only.Owns() && only.Serves(); }));
  BOOST_REQUIRE(Eventually(
      [&] { return only.Submit("job").status == job_call_status::kAccepted; }));
  only.host->HandOverPools(only.clock->Now() + duration(kHandOverTime));
  BOOST_TEST(!store.Has(pool_directory::OwnerKey(kPool)));
  BOOST_TEST(store.Has(JobKey(kPool, "job")));
}

}  // namespace
}  // namespace apricotwheel
