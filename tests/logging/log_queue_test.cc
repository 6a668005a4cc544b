#include <boost/test/unit_test.hpp>
#include <vector>

#include "daemon/logging.h"

namespace apricotwheel {
namespace {

constexpr log_event_kind kInfo{9901, "info_event", severity::kInfo};
constexpr log_event_kind kDebug{9902, "debug_event", severity::kDebug};

struct output {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> lines;
  bool is_stalled = false;

  void Write(const std::string& line) {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return !is_stalled; });
    lines.push_back(line);
  }
  void Stall(bool stall) {
    const std::lock_guard lock(mutex);
    is_stalled = stall;
    changed.notify_all();
  }
};

log_queue_options Options(output& out, std::size_t max_lines) {
  return {severity::kInfo, max_lines, runtime_clock::Running(),
          [&out](const std::string& line) { out.Write(line); }};
}

BOOST_AUTO_TEST_CASE(lines_are_written_in_order_and_by_level) {
  output out;
  log_queue logs(Options(out, 100));
  BOOST_REQUIRE(Attempt([&] { return logs.Start(); }));
  const log_sink log = logs.Sink();
  Emit(log, kInfo, {Field("job", "a")});
  Emit(log, kDebug);
  Emit(log, kInfo, {Field("job", "b")});
  logs.Stop();
  BOOST_REQUIRE_EQUAL(out.lines.size(), 2);
  BOOST_TEST(out.lines[0].ends_with(
      "Z level=info event=9901 name=info_event job=\"a\""));
  BOOST_TEST(out.lines[1].ends_with("job=\"b\""));
}

// Guards against a blocked reader of the output that blocks the threads that
// log. Lines beyond the queue limit are dropped and counted.
BOOST_AUTO_TEST_CASE(stalled_output_drops_lines_without_blocking) {
  constexpr int kEvents = 1000;
  output out;
  out.Stall(true);
  log_queue logs(Options(out, 10));
  BOOST_REQUIRE(Attempt([&] { return logs.Start(); }));
  const log_sink log = logs.Sink();
  for (int event = 0; event < kEvents; ++event) Emit(log, kInfo);
  out.Stall(false);
  logs.Stop();
  std::uint64_t written = 0;
  std::uint64_t dropped = 0;
  for (const std::string& line : out.lines) {
    const auto count_position = line.find("count=\"");
    if (count_position == std::string::npos) {
      ++written;
    } else {
      dropped += std::stoull(line.substr(count_position + 7));
    }
  }
  BOOST_TEST(dropped > 0);
  BOOST_TEST(written + dropped == kEvents);
}

}  // namespace
}  // namespace apricotwheel
