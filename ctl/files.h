#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"
#include "ctl/command.h"

namespace apricotwheel::ctl {

result<std::string> ReadFile(const std::string& path);

// Checks a document with the policies that this program knows.
document_check ValidateDocument(std::string_view file, std::string_view text);

// A file that was read and checked, or the exit code of the command that has
// reported why it cannot go on.
struct checked_file {
  int exit_code = kOk;
  std::string text;
  std::shared_ptr<const cell_document> document;  // Null after a fault.
};
checked_file ReadDocument(const command_context& context,
                          const std::string& path);

// Prints one line for each fault, on the error stream.
void PrintFaults(const command_context& context,
                 const std::vector<config_fault>& faults);

// Prints a table with a heading; columns are as wide as their longest cell.
void PrintTable(std::ostream& out, const std::vector<std::string>& heading,
                const std::vector<std::vector<std::string>>& rows);

}  // namespace apricotwheel::ctl
