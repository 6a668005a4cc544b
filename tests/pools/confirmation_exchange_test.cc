// Owners in an outage of the store, and their successors after it.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "tests/pools/daemon_parts.h"
#include "tests/pools/leased_agent.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_store;
using testing::kPool;
using testing::leased_agent;

constexpr auto kLease = milliseconds(1000);
constexpr auto kInterval = milliseconds(200);
constexpr auto kExtension = milliseconds(4000);
const duration kSpan = AuthoritySpan(kLease, kInterval);

// Daemons that share the workers "a" and "b".
struct cell {
  fake_store store;
  clock_ptr clock = runtime_clock::Running();
  std::map<std::string, std::unique_ptr<leased_agent>> agents;
  std::atomic<bool> is_first_worker_silent = false;
  std::mutex mutex;                            // Guards the next one.
  std::set<std::string> without_first_worker;  // Daemons that don't reach it.
  std::vector<std::unique_ptr<daemon_parts>> daemons;

  explicit cell(std::size_t count) {
    for (const char* id : {"a", "b"}) {
      agents[id] = std::make_unique<leased_agent>(clock);
    }
    store.Put("workers/a", "");
    for (std::size_t i = 0; i < count; ++i) {
      const std::string id = "daemon-" + std::to_string(i);
      daemons.push_back(std::make_unique<daemon_parts>(
          store, id, 1, nullptr,
          [this, id](daemon_settings& settings, platform_services& platform) {
            Customise(id, settings, platform);
          }));
    }
    BOOST_REQUIRE(Within(milliseconds(10'000), [&] {
      for (const auto& daemon : daemons) {
        if (daemon->directory->Members().size() != count ||
            !daemon->directory->OwnerOf(kPool)) {
          return false;
        }
      }
      return Owner().Serves();
    }));
    BOOST_REQUIRE(
        (daemons[0]->Submit("job").status == job_call_status::kAccepted));
    BOOST_REQUIRE(
        Within(milliseconds(5000), [&] { return agents["a"]->IsRunning(); }));
  }
  // Stops the daemons, which use the agents.
  ~cell() { daemons.clear(); }

  void Customise(const std::string& id, daemon_settings& settings,
                 platform_services& platform) {
    settings.task_lease = kLease;
    settings.lease_renew_interval = kInterval;
    settings.outage_extension = kExtension;
    platform.decode_worker = testing::DecodeFirstOrSecond;
    platform.connect_agent = [this, id](const pool_worker& worker) {
      const bool is_first = worker.id == "a";
      return agents.at(worker.id)->Link(
          [this, id, is_first]() -> std::optional<error_kind> {
            if (!is_first) return std::nullopt;
            const std::lock_guard lock(mutex);
            if (is_first_worker_silent || without_first_worker.contains(id)) {
              return error_kind::kTimeout;
            }
            return std::nullopt;
          });
    };
  }
  daemon_parts& Owner() {
    for (const auto& daemon : daemons) {
      if (daemon->Owns()) return *daemon;
    }
    return *daemons.front();
  }
  // Ends a daemon without a word to the others.
  void Kill(daemon_parts& victim) {
    *victim.is_cut_off = true;
    std::erase_if(daemons,
                  [&](const auto& daemon) { return daemon.get() == &victim; });
  }
  daemon_parts& Other(std::size_t n) {
    for (const auto& daemon : daemons) {
      if (!daemon->Owns() && n-- == 0) return *daemon;
    }
    return *daemons.front();
  }
  // Cuts the owner, its members `with` and the worker "a" off from the store
  // and the other daemons. Returns the epoch of the owner.
  std::uint64_t CutOff(const std::vector<daemon_parts*>& with) {
    const auto owner = Owner().directory->OwnerOf(kPool);
    BOOST_REQUIRE(owner);
    const auto is_cut = [&](const daemon_parts* daemon) {
      return daemon->directory->SelfId() == owner->member_id ||
             std::find(with.begin(), with.end(), daemon) != with.end();
    };
    for (const auto& daemon : daemons) {
      if (is_cut(daemon.get())) {
        *daemon->is_cut_off = true;
      } else {
        const std::lock_guard lock(mutex);
        without_first_worker.insert(daemon->directory->SelfId());
      }
    }
    for (const auto& one : daemons) {
      for (const auto& other : daemons) {
        if (is_cut(one.get()) == is_cut(other.get())) continue;
        one->peers->SetAddress(other->directory->SelfId(), "");
      }
    }
    return owner->epoch;
  }
  std::vector<testing::run_record> AllRuns() {
    std::vector<testing::run_record> all;
    for (const auto& [id, agent] : agents) {
      const auto runs = agent->Runs();
      all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
  }
  template <class Predicate>
  bool Within(duration limit, Predicate condition) const {
    const auto until = clock->Now() + limit;
    while (!condition() && clock->Now() < until) {
      clock->SleepFor(milliseconds(5));
    }
    return condition();
  }
};

// Guards against an outage of the store that stops all work of a pool: owners
// cannot renew their proof of ownership, but nobody can succeed them either.
BOOST_AUTO_TEST_CASE(runs_go_on_in_an_outage_of_the_store) {
  cell three(3);
  for (const auto& daemon : three.daemons) *daemon->is_cut_off = true;
  three.clock->SleepFor(2 * kSpan);
  BOOST_TEST(three.agents["a"]->IsRunning());
  BOOST_TEST(three.agents["a"]->Runs().size() == 1);
  // Not for ever: a successor must be able to tell when they end.
  BOOST_TEST(three.Within(kExtension + kSpan,
                          [&] { return !three.agents["a"]->IsRunning(); }));
}

// Guards against an owner that takes its own cut for an outage of the store: a
// daemon that reaches no majority of the members gets no extension.
BOOST_AUTO_TEST_CASE(an_owner_without_a_majority_loses_its_authority) {
  cell three(3);
  daemon_parts& owner = three.Owner();
  *owner.is_cut_off = true;
  for (const auto& daemon : three.daemons) {
    *daemon->is_cut_off = true;
    if (daemon.get() != &owner) {
      owner.peers->SetAddress(daemon->directory->SelfId(), "");
    }
  }
  BOOST_TEST(three.Within(kSpan + milliseconds(1000),
                          [&] { return !three.agents["a"]->IsRunning(); }));
}

// Guards against a successor that starts a task while members on the other side
// of a cut may still extend the authority of the earlier owner, and against one
// that waits longer than it must.
BOOST_AUTO_TEST_CASE(a_successor_waits_until_no_majority_can_confirm) {
  for (const std::size_t killed : {std::size_t{1}, std::size_t{3}}) {
    cell five(5);
    // Members count only after a while.
    five.clock->SleepFor(milliseconds(5500));
    five.is_first_worker_silent = true;
    const auto owner = five.Owner().directory->OwnerOf(kPool);
    BOOST_REQUIRE(owner);
    five.Kill(five.Owner());
    while (five.daemons.size() > 5 - killed) five.Kill(*five.daemons.back());
    five.store.Put("workers/b", "");
    daemon_parts& later = *five.daemons.front();
    const auto taken_at = five.clock->Now();
    BOOST_REQUIRE(Attempt(
        [&] { return later.directory->TakeOver(kPool, owner->epoch, false); }));
    BOOST_TEST(five.Within(kExtension + 3 * kSpan,
                           [&] { return five.agents["b"]->IsRunning(); }));
    const duration waited = five.clock->Now() - taken_at;
    const duration least = killed == 1 ? kSpan : kSpan + kExtension;
    BOOST_TEST((waited >= least));
    BOOST_TEST((waited < least + milliseconds(1500)));
  }
}

// Guards against two owners after a planned stop that a cut interrupts: the
// successor did not count the leaving owner as one that may confirm, but that
// one still counted itself.
BOOST_AUTO_TEST_CASE(a_leaving_owner_is_not_extended) {
  cell three(3);
  // Members count only after a while.
  three.clock->SleepFor(milliseconds(5500));
  daemon_parts& owner = three.Owner();
  daemon_parts& beside = three.Other(0);
  daemon_parts& later = three.Other(1);
  owner.directory->MarkLeaving();
  BOOST_REQUIRE(three.Within(milliseconds(3000), [&] {
    const auto members = later.directory->Members();
    return std::any_of(members.begin(), members.end(),
                       [](const member& one) { return one.leaving; });
  }));
  const std::uint64_t epoch = three.CutOff({&beside});
  three.store.Put("workers/b", "");
  BOOST_REQUIRE(
      Attempt([&] { return later.directory->TakeOver(kPool, epoch, false); }));
  BOOST_TEST(
      three.Within(3 * kSpan, [&] { return three.agents["b"]->IsRunning(); }));
  three.clock->SleepFor(kSpan);
  BOOST_TEST(testing::FindOverlaps(three.AllRuns()).empty());
}

}  // namespace
}  // namespace apricotwheel
