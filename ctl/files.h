#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"
#include "ctl/command.h"

namespace apricotwheel::ctl {

result<std::string> ReadFile(const std::string& path);

// Validates a document against the policies that are linked into this program.
document_check ValidateDocument(std::string_view file, std::string_view text);

// A document file that was read and validated. If that failed, the reason is
// already printed and `exit_code` is that of the command.
struct checked_file {
  int exit_code = kOk;
  std::string text;
  std::shared_ptr<const cell_document> document;  // Null after an error.
};
checked_file ReadDocument(const command_context& context,
                          const std::string& path);

// Prints one line for each fault to the error stream.
void PrintFaults(const command_context& context,
                 const std::vector<config_fault>& faults);

// Prints a table with a heading. Columns are as wide as their longest cell.
void PrintTable(std::ostream& out, const std::vector<std::string>& heading,
                const std::vector<std::vector<std::string>>& rows);

}  // namespace apricotwheel::ctl
