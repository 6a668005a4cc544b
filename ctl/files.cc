#include "ctl/files.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#ifdef APRICOTWHEEL_HAS_POLICIES
#include "placement/cell_state.h"
#endif

namespace apricotwheel::ctl {

result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return Fail(error_kind::kInvalidArgument,
                "'" + path + "' cannot be read or is empty",
                "write the path of a readable file");
  }
  return text.str();
}

document_check ValidateDocument(std::string_view file, std::string_view text) {
#ifdef APRICOTWHEEL_HAS_POLICIES
  return CheckDocument(file, text, PolicyNames());
#else
  return CheckDocument(file, text, {});
#endif
}

void PrintFaults(const command_context& context,
                 const std::vector<config_fault>& faults) {
  for (const auto& fault : faults) context.err << Describe(fault) << "\n";
}

checked_file ReadDocument(const command_context& context,
                          const std::string& path) {
  checked_file file;
  auto text = Attempt([&] { return ReadFile(path); });
  if (!text) {
    file.exit_code = ReportError(context, text.failure);
    return file;
  }
  const auto check = ValidateDocument(path, *text);
  if (!check.document) {
    PrintFaults(context, check.faults);
    file.exit_code = kInvalidInput;
    return file;
  }
  file.text = std::move(*text);
  file.document = check.document;
  return file;
}

void PrintTable(std::ostream& out, const std::vector<std::string>& heading,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  widths.reserve(heading.size());
  for (const auto& title : heading) widths.push_back(title.size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const auto print_row = [&](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (i > 0) line += "  ";
      line += row[i];
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size(), ' ');
    }
    out << line << "\n";
  };
  print_row(heading);
  for (const auto& row : rows) print_row(row);
}

}  // namespace apricotwheel::ctl
