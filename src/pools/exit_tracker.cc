#include "pools/exit_tracker.h"

#include <utility>

namespace apricotwheel {

bool exit_tracker::ReportUnreachable(const std::string& id) {
  if (HasExited(id) || survivors_.contains(id)) return false;
  return unreachable_.insert(id).second;
}

std::set<std::string> exit_tracker::TakeUnreachable() {
  return std::exchange(unreachable_, {});
}

void exit_tracker::OnRefused(const std::string& id) {
  if (!survivors_.contains(id)) refusing_.insert(id);
}

bool exit_tracker::OnAlive(const std::string& id) {
  if (refusing_.erase(id) == 0) return false;
  survivors_.insert(id);
  return true;
}

bool exit_tracker::HasExited(std::string_view id) const {
  return refusing_.contains(id) || replaced_.contains(id);
}

}  // namespace apricotwheel
