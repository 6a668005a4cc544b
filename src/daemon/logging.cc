#include "daemon/logging.h"

#include <easylogging++.h>

#include <string>

INITIALIZE_EASYLOGGINGPP

namespace apricotwheel {

namespace {

severity ParseLevel(std::string_view level) {
  for (const auto known : {severity::kDebug, severity::kInfo,
                           severity::kWarning, severity::kError}) {
    if (level == ToString(known)) return known;
  }
  return severity::kInfo;
}

void Write(const log_event& event) {
  const std::string line = FormatEvent(event);
  switch (event.kind.level) {
    case severity::kDebug:
      LOG(DEBUG) << line;
      return;
    case severity::kInfo:
      LOG(INFO) << line;
      return;
    case severity::kWarning:
      LOG(WARNING) << line;
      return;
    case severity::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace

log_sink StartLogging(std::string_view level) {
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  settings.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  el::Loggers::setDefaultConfigurations(settings, true);
  const severity lowest = ParseLevel(level);
  return [lowest](const log_event& event) {
    if (event.kind.level >= lowest) Write(event);
  };
}

}  // namespace apricotwheel
