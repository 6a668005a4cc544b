#include <atomic>
#include <boost/test/unit_test.hpp>

#include "pools/kv_watcher.h"

namespace apricotwheel {
namespace {

// Guards against one call to the store per event: fifty workers write
// heartbeats, so an event is always available.
BOOST_AUTO_TEST_CASE(keys_that_change_continuously_are_read_at_an_interval) {
  std::atomic<int> watches = 0;
  std::atomic<int> events = 0;
  kv_protocol calls;
  calls.list = [](std::string_view) -> result<kv_listing> {
    return kv_listing{};
  };
  calls.watch = [&](std::string_view, std::uint64_t revision,
                    duration) -> result<kv_watch_result> {
    ++watches;
    kv_watch_result seen;
    seen.revision = revision + 1;
    seen.events.push_back({{"workers/w1", "", revision + 1}, false});
    return seen;
  };
  calls.interrupt_watches = [] {};
  const auto kv = kv_client::Create(std::move(calls), milliseconds(500));
  const auto clock = runtime_clock::Running();
  kv_watcher_options options;
  options.prefix = "workers/";
  options.kv = kv.get();
  options.clock = clock;
  options.min_interval = milliseconds(100);
  kv_watcher watcher(options,
                     {[&](const kv_event&) { ++events; }, [](bool) {}});
  BOOST_REQUIRE(Attempt([&] { return watcher.Start(); }));
  clock->SleepFor(milliseconds(350));
  watcher.Stop();
  BOOST_TEST(watches >= 1);
  BOOST_TEST(watches <= 4);
  BOOST_TEST(events == watches);
}

}  // namespace
}  // namespace apricotwheel
