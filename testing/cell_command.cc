#include <iostream>

#include "clients/wire_format.h"
#include "testing/arguments.h"
#include "testing/cell_file.h"

namespace apricotwheel::standins {

result<void> RunCellCommand(const arguments& flags) {
  std::vector<cell_group> groups;
  const auto [first, last] = flags.equal_range("group");
  for (auto it = first; it != last; ++it) {
    BOOST_LEAF_AUTO(group, ParseGroup(it->second));
    groups.push_back(group);
  }
  BOOST_LEAF_AUTO(domains, IntFlagOr(flags, "failure-domains", 3));
  BOOST_LEAF_AUTO(port, IntFlagOr(flags, "base-port", 21000));
  if (groups.empty() || domains < 1 || port < 1) {
    return Fail(error_kind::kInvalidArgument,
                "the flags describe an empty cell",
                "give --group, --failure-domains and --base-port above 0");
  }
  const auto cell = BuildCell(groups, domains, port);
  const auto path = FlagValueOr(flags, "output", "");
  if (!path.empty()) return WriteCellFile(path, cell);
  std::cout << ToJson(cell).dump(2) << "\n";
  return {};
}

}  // namespace apricotwheel::standins
