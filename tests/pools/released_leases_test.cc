// Leases of an owner that hands its pool over and stops.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "tests/pools/daemon_parts.h"
#include "tests/pools/leased_agent.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_store;
using testing::FindOverlaps;
using testing::kPool;
using testing::leased_agent;
using testing::run_record;

constexpr auto kLease = milliseconds(3000);
constexpr auto kInterval = milliseconds(200);
constexpr auto kHandOverTime = milliseconds(1500);

// The daemon "first" owns the pool and runs a task on the worker "a". The
// worker "b" is listed later.
struct cell {
  fake_store store;
  clock_ptr clock = runtime_clock::Running();
  std::map<std::string, std::unique_ptr<leased_agent>> agents;
  std::atomic<bool> is_first_worker_silent = false;
  time_point silent_since{};
  std::unique_ptr<daemon_parts> first;
  std::unique_ptr<daemon_parts> second;

  cell() {
    for (const char* id : {"a", "b"}) {
      agents[id] = std::make_unique<leased_agent>(clock);
    }
    store.Put("workers/a", "");
    first = MakeDaemon("first");
    BOOST_REQUIRE(Within(milliseconds(5000),
                         [&] { return first->Owns() && first->Serves(); }));
    second = MakeDaemon("second");
    BOOST_REQUIRE(Within(milliseconds(5000), [&] {
      return first->directory->Members().size() == 2 &&
             second->directory->OwnerOf(kPool);
    }));
    BOOST_REQUIRE((first->Submit("job").status == job_call_status::kAccepted));
    BOOST_REQUIRE(
        Within(milliseconds(5000), [&] { return agents["a"]->IsRunning(); }));
    store.Put("workers/b", "");
    BOOST_REQUIRE(Within(milliseconds(5000), [&] {
      return store.Value("apricotwheel/rosters/" + kPool).find("\"b\"") !=
             std::string::npos;
    }));
  }
  // Stops the daemons, which use the agents.
  ~cell() {
    second.reset();
    first.reset();
  }

  std::unique_ptr<daemon_parts> MakeDaemon(const std::string& id) {
    return std::make_unique<daemon_parts>(
        store, id, 1, nullptr,
        [this](daemon_settings& settings, platform_services& platform) {
          Customise(settings, platform);
        });
  }
  void Customise(daemon_settings& settings, platform_services& platform) {
    settings.task_lease = kLease;
    settings.lease_renew_interval = kInterval;
    platform.decode_worker = testing::DecodeFirstOrSecond;
    platform.connect_agent = [this](const pool_worker& worker) {
      const bool is_first = worker.id == "a";
      return agents.at(worker.id)->Link(
          [this, is_first]() -> std::optional<error_kind> {
            if (!is_first || !is_first_worker_silent) return std::nullopt;
            return error_kind::kTimeout;
          });
    };
  }
  void SilenceFirstWorker() {
    is_first_worker_silent = true;
    silent_since = clock->Now();
  }
  template <class Predicate>
  bool Within(duration limit, Predicate condition) const {
    const auto until = clock->Now() + limit;
    while (!condition() && clock->Now() < until) {
      clock->SleepFor(milliseconds(5));
    }
    return condition();
  }
  bool HasOverlaps() {
    auto runs = agents["a"]->Runs();
    for (const run_record& run : agents["b"]->Runs()) runs.push_back(run);
    return !FindOverlaps(runs).empty();
  }
};

// Guards against accepted work that waits longer than the rules allow: after a
// planned stop the successor waited for the longest authority of an owner that
// had told nobody when its leases on a silent worker end.
BOOST_FIXTURE_TEST_CASE(a_successor_knows_the_leases_of_an_owner_that_stopped,
                        cell) {
  constexpr auto kSilence = milliseconds(2000);
  constexpr auto kDelay = milliseconds(1200);
  SilenceFirstWorker();
  clock->SleepFor(kSilence);
  first->host->HandOverPools(clock->Now() + duration(kHandOverTime));
  BOOST_TEST(second->Owns());
  BOOST_TEST(Within(silent_since + kLease + kDelay - clock->Now(),
                    [&] { return agents["b"]->IsRunning(); }));
  BOOST_TEST(!HasOverlaps());
}

// Guards against the word of an owner that does not know of all leases: another
// one may have owned the pool between it and this owner.
BOOST_FIXTURE_TEST_CASE(only_the_owner_before_releases_leases, cell) {
  SilenceFirstWorker();
  const auto owner = *first->directory->OwnerOf(kPool);
  const lease_release release{kPool, owner.epoch - 1, {}, 0};
  first->host->HandOverPools(clock->Now() + duration(kHandOverTime));
  for (int i = 0; i < 10; ++i) {
    first->peers->Post("second",
                       MakePoolCall(kReleaseTopic, EncodeRelease(release)));
    clock->SleepFor(milliseconds(50));
  }
  BOOST_TEST(
      Within(2 * duration(kLease), [&] { return agents["b"]->IsRunning(); }));
  BOOST_TEST(!HasOverlaps());
}

BOOST_AUTO_TEST_CASE(a_release_is_encoded) {
  const lease_release release{kPool, 7, {{"a", 1200}, {"b", 0}}, 300};
  const auto read =
      Attempt([&] { return DecodeRelease(EncodeRelease(release)); });
  BOOST_REQUIRE(read);
  BOOST_TEST(read->pool == kPool);
  BOOST_TEST(read->epoch == 7);
  BOOST_TEST((read->remaining_ms == release.remaining_ms));
  BOOST_TEST(read->others_remaining_ms == 300);
  for (
      const char* malformed :
      {"", "{}",
       R"({"pool":"p","epoch":1,"others_remaining_ms":-1,)"
       R"("remaining_ms":{}})",
       R"({"pool":"p","epoch":1,"others_remaining_ms":1,)"
       R"("remaining_ms":{"a":-5}})",
       R"({"pool":"p","epoch":1,"others_remaining_ms":1,"remaining_ms":[3]})"}) {
    BOOST_TEST(!Attempt([&] { return DecodeRelease(malformed); }));
  }
}

}  // namespace
}  // namespace apricotwheel
