#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotwheel {

enum class severity { kDebug, kInfo, kWarning, kError };

std::string_view ToString(severity level);

// Number, name and level of one kind of log event. Each package declares its
// kinds as inline constants in <package>_events.h; docs/log-events.md lists
// them all. Number ranges: kernel 1000, clients 1100, config 1200, peer 1300,
// cluster 1400, placement 1500, workers 1600, jobs 1700, dispatch 1800, daemon
// 1900, ctl 2000, graph 2100, pools 2200, adapters 2300.
struct log_event_kind {
  int number;
  const char* name;
  severity level;
};

struct log_field {
  std::string key;
  std::string value;
};

struct log_event {
  log_event_kind kind;
  std::vector<log_field> fields;
};

// Receives the log events of a library. The program that embeds the library
// decides what to do with them; an empty sink discards them. Must be
// thread-safe.
using log_sink = std::function<void(const log_event&)>;

inline log_field Field(std::string_view key, std::string_view value) {
  return {std::string(key), std::string(value)};
}
template <class Number>
requires std::is_arithmetic_v<Number> log_field Field(std::string_view key,
                                                      Number value) {
  return {std::string(key), std::to_string(value)};
}

void Emit(const log_sink& sink, const log_event_kind& kind,
          std::vector<log_field> fields = {});

// Formats an event as one line: `event=1401 name=... key="value"`. Control
// characters and quotes in values are escaped.
std::string FormatEvent(const log_event& event);

}  // namespace apricotwheel
