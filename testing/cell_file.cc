#include "testing/cell_file.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include "clients/wire_format.h"

namespace apricotwheel::standins {

result<cell_group> ParseGroup(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  for (std::string part; std::getline(input, part, ':');) parts.push_back(part);
  std::vector<int> numbers;
  for (std::size_t i = 1; i < parts.size(); ++i) {
    int number = -1;
    const char* end = parts[i].data() + parts[i].size();
    const auto parsed = std::from_chars(parts[i].data(), end, number);
    if (parsed.ptr == end && number >= 0) numbers.push_back(number);
  }
  if (parts.size() != 6 || numbers.size() != 5 || numbers[4] < 1) {
    return Fail(error_kind::kInvalidArgument, "malformed group " + text,
                "give NAME:COUNT:CPU_MILLI:MEMORY_MIB:ACCELERATORS:PER_RACK");
  }
  return cell_group{
      parts[0], numbers[0], {numbers[1], numbers[2], numbers[3]}, numbers[4]};
}

vm_list BuildCell(const std::vector<cell_group>& groups, int failure_domains,
                  int base_port) {
  vm_list cell;
  cell.version = 1;
  int rack = 0;
  for (const auto& group : groups) {
    for (int i = 0; i < group.count; ++i) {
      if (i % group.per_rack == 0) ++rack;
      vm_record vm;
      vm.id = group.name + "-" + std::to_string(i);
      vm.address = "127.0.0.1:" + std::to_string(base_port++);
      vm.failure_domain = "fd" + std::to_string((rack - 1) % failure_domains);
      vm.rack = "rack" + std::to_string(rack);
      vm.capacity = group.capacity;
      cell.vms.push_back(std::move(vm));
    }
  }
  return cell;
}

result<vm_list> ReadCellFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(error_kind::kIo, "cannot read " + path,
                "write it with the subcommand `cell`");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseResponse(text.str(), VmListFromJson);
}

result<void> WriteCellFile(const std::string& path, const vm_list& cell) {
  std::ofstream file(path);
  file << ToJson(cell).dump(2) << "\n";
  file.close();
  if (!file) {
    return Fail(error_kind::kIo, "cannot write " + path,
                "check the folder and the free space");
  }
  return {};
}

}  // namespace apricotwheel::standins
