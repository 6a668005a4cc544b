#include <nlohmann/json.hpp>

#include "config/settings.h"
#include "ctl/files.h"

namespace apricotwheel::ctl {

int RunCheck(const command_context& context, const argument_list& arguments) {
  if (arguments.size() != 1) {
    return ReportUsageError(context, "one file is expected",
                            "write check FILE");
  }
  const auto text = Attempt([&] { return ReadFile(arguments[0]); });
  if (!text) return ReportError(context, text.failure);
  const auto faults = context.is_settings_file
                          ? CheckSettings(arguments[0], *text).faults
                          : ValidateDocument(arguments[0], *text).faults;
  if (context.json) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& fault : faults) {
      list.push_back({{"file", fault.file},
                      {"line", fault.line},
                      {"key", fault.key},
                      {"message", fault.message},
                      {"remedy", fault.remedy}});
    }
    const nlohmann::json report = {{"valid", faults.empty()}, {"faults", list}};
    context.out << report.dump(2, ' ', false,
                               nlohmann::json::error_handler_t::replace)
                << "\n";
  } else {
    PrintFaults(context, faults);
    if (faults.empty()) context.out << arguments[0] << ": valid\n";
  }
  return faults.empty() ? kOk : kInvalidInput;
}

}  // namespace apricotwheel::ctl
