#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/json_reading.h"
#include "kernel/log.h"
#include "kernel/plugin_registry.h"
#include "kernel/random.h"
#include "kernel/thread_group.h"

namespace apricotwheel {
namespace {

result<int> Half(int number) {
  if (number % 2 != 0) {
    return Fail(error_kind::kInvalidArgument, "odd", "pass an even number");
  }
  return number / 2;
}

// Guards against an `Attempt` that drops the kind or the remedy of an error.
BOOST_AUTO_TEST_CASE(attempt_keeps_the_typed_error) {
  BOOST_TEST(*Attempt([] { return Half(4); }) == 2);
  const auto failed = Attempt([] { return Half(3); });
  BOOST_TEST(!failed);
  BOOST_TEST(Describe(failed.failure) ==
             "invalid_argument: odd; pass an even number");
}

// Guards against a paused clock that advances by itself, or whose `Advance`
// does not wake a sleeping thread.
BOOST_AUTO_TEST_CASE(paused_clock_moves_only_when_advanced) {
  const auto clock = runtime_clock::Paused();
  const auto start = clock->Now();
  std::this_thread::sleep_for(milliseconds(5));
  BOOST_TEST((clock->Now() == start));
  std::atomic<bool> woke = false;
  // With a deadline set here, a thread that begins after `Advance` still ends.
  std::thread sleeper([&] {
    clock->SleepUntil(start + std::chrono::hours(1));
    woke = true;
  });
  std::this_thread::sleep_for(milliseconds(20));
  BOOST_TEST(!woke.load());
  clock->Advance(std::chrono::hours(1));
  sleeper.join();
  BOOST_TEST(woke.load());
}

// Guards against field values whose quotes or line breaks would end the value
// early or start a forged log line.
BOOST_AUTO_TEST_CASE(log_values_are_escaped) {
  const log_event event{{1, "example", severity::kInfo},
                        {Field("key", "a\"b\n"), Field("count", 3)}};
  BOOST_TEST(FormatEvent(event) ==
             "event=1 name=example key=\"a\\\"b\\x0a\" count=\"3\"");
}

// Guards against backoff delays outside of 50% to 100% of the exponential
// delay, and above the limit.
BOOST_AUTO_TEST_CASE(backoff_stays_in_range) {
  random_source random{7};
  for (int attempt = 0; attempt < 40; ++attempt) {
    const auto span = BackoffWithJitter(random, attempt, milliseconds(10),
                                        std::chrono::seconds(2));
    BOOST_TEST((span >= milliseconds(5)));
    BOOST_TEST((span <= std::chrono::seconds(2)));
  }
}

// Guards against a stop request that does not wake a thread that sleeps in
// `WaitFor`.
BOOST_AUTO_TEST_CASE(stop_signal_ends_the_wait) {
  const auto clock = runtime_clock::Running();
  stop_signal stop(clock);
  thread_group threads;
  std::atomic<bool> stopped = false;
  BOOST_TEST(bool(Attempt([&] {
    return threads.Spawn(
        "waiter", [&] { stopped = stop.WaitFor(std::chrono::hours(1)); });
  })));
  stop.RequestStop();
  threads.JoinAll();
  BOOST_TEST(stopped.load());
}

struct sample_plugin {
  int (*value)();
};
const plugin_registry<sample_plugin>::registration kSample{"sample",
                                                           {[] { return 42; }}};

// Guards against a namespace-scope `registration` that registers nothing, and a
// failed lookup whose error does not list the known names.
// Guards against texts whose trees take more memory than was counted.
BOOST_AUTO_TEST_CASE(json_trees_are_estimated_from_above) {
  const std::string brackets = "[[],[],[],[]]";
  // Five arrays, and three values more in the vector that grows to four.
  BOOST_TEST(EstimateJsonMemory(brackets) >=
             5 * sizeof(std::vector<nlohmann::json>) +
                 8 * sizeof(nlohmann::json));
  std::string wide = "[[]";
  for (int i = 1; i < 1000; ++i) wide += ",[]";
  wide += "]";
  BOOST_TEST(EstimateJsonMemory(wide) >= 1000 * 60U);
  // Brackets and commas in a text are no values.
  const std::string text = "\"" + std::string(1000, '[') + "\\\",,,\"";
  BOOST_TEST(EstimateJsonMemory(text) < 2000U);
}

BOOST_AUTO_TEST_CASE(plugins_register_themselves) {
  auto& registry = plugin_registry<sample_plugin>::Instance();
  const auto found = Attempt([&] { return registry.Find("sample"); });
  BOOST_TEST((*found)->value() == 42);
  const auto missing = Attempt([&] { return registry.Find("other"); });
  BOOST_TEST(missing.failure.remedy == "use one of: sample");
}

}  // namespace
}  // namespace apricotwheel
