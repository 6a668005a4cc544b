#include "kernel/log.h"

namespace apricotwheel {

namespace {

// Texts of other programs go into the log, and some are megabytes long.
constexpr std::size_t kMaxValueBytes = 1000;

void AppendEscaped(std::string& line, std::string_view value) {
  constexpr std::string_view kHex = "0123456789abcdef";
  for (const char character : value) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line += '\\';
      line += character;
    } else if (code < 0x20 || code == 0x7f) {
      line += "\\x";
      line += kHex[code >> 4];
      line += kHex[code & 0xf];
    } else {
      line += character;
    }
  }
}

}  // namespace

std::string_view ToString(severity level) {
  switch (level) {
    case severity::kDebug:
      return "debug";
    case severity::kInfo:
      return "info";
    case severity::kWarning:
      return "warning";
    case severity::kError:
      return "error";
  }
  return "error";
}

void Emit(const log_sink& sink, const log_event_kind& kind,
          std::vector<log_field> fields) {
  if (!sink) return;
  sink(log_event{kind, std::move(fields)});
}

std::string FormatEvent(const log_event& event) {
  std::string line = "event=" + std::to_string(event.kind.number);
  line += " name=";
  line += event.kind.name;
  for (const auto& [key, value] : event.fields) {
    line += ' ';
    line += key;
    line += "=\"";
    const std::string_view shown = value;
    AppendEscaped(line, shown.substr(0, kMaxValueBytes));
    if (value.size() > kMaxValueBytes) line += "...";
    line += '"';
  }
  return line;
}

}  // namespace apricotwheel
