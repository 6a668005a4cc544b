#include "daemon/logging.h"

#include <easylogging++.h>
#include <time.h>

#include <array>
#include <utility>

#include "daemon/daemon_events.h"

INITIALIZE_EASYLOGGINGPP

namespace apricotwheel {

namespace {

// The writer waits this long after the first pending line and then writes all
// pending lines in one batch.
constexpr auto kWriteInterval = milliseconds(50);

// Returns the current time in ISO 8601 format, in UTC with milliseconds.
std::string FormatCurrentTime() {
  const std::int64_t now_ms = WallClockMs();
  const time_t seconds = now_ms / 1000;
  tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length =
      strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string fraction = std::to_string(1000 + now_ms % 1000).substr(1);
  return std::string(text.data(), length) + "." + fraction + "Z";
}

std::string FormatLine(const log_event& event) {
  return FormatCurrentTime() +
         " level=" + std::string(ToString(event.kind.level)) + " " +
         FormatEvent(event);
}

}  // namespace

log_queue::log_queue(log_queue_options options)
    : options_(std::move(options)) {}

result<void> log_queue::Start() {
  return threads_.Spawn("log", [this] { WriteQueuedLines(); });
}

void log_queue::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  writer_wakeup_.notify_all();
  threads_.JoinAll();
}

void log_queue::Enqueue(const log_event& event) {
  if (event.kind.level < options_.min_level) return;
  std::string line = FormatLine(event);
  const std::lock_guard lock(mutex_);
  if (lines_.size() >= options_.max_pending_lines) {
    ++dropped_;
    return;
  }
  lines_.push_back(std::move(line));
  // Only the first pending line notifies the writer, because it waits without a
  // timeout only while the queue is empty.
  if (lines_.size() == 1) writer_wakeup_.notify_one();
}

void log_queue::WriteQueuedLines() {
  while (true) {
    std::deque<std::string> lines;
    std::uint64_t dropped = 0;
    {
      std::unique_lock lock(mutex_);
      options_.clock->WaitUntil(lock, writer_wakeup_, time_point::max(),
                                [&] { return is_stopped_ || !lines_.empty(); });
      options_.clock->WaitFor(lock, writer_wakeup_, kWriteInterval,
                              [&] { return is_stopped_; });
      if (lines_.empty()) return;
      lines.swap(lines_);
      dropped = std::exchange(dropped_, 0);
    }
    for (const std::string& line : lines) options_.write_line(line);
    if (dropped > 0) {
      options_.write_line(
          FormatLine({kLogLinesDropped, {Field("count", dropped)}}));
    }
  }
}

severity ParseSeverity(std::string_view level) {
  for (const auto known : {severity::kDebug, severity::kInfo,
                           severity::kWarning, severity::kError}) {
    if (level == ToString(known)) return known;
  }
  return severity::kInfo;
}

std::function<void(const std::string& line)> MakeStandardOutputWriter() {
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::setDefaultConfigurations(settings, true);
  return [](const std::string& line) { LOG(INFO) << line; };
}

}  // namespace apricotwheel
