#include "pools/caller_identity.h"

#include "pools/platform_services.h"

namespace apricotwheel {

std::optional<caller_identity> IdentifyCaller(
    const queue_table& table, std::string_view queue, bool is_anonymous,
    std::optional<std::string_view> key) {
  caller_identity caller;
  if (!table.checks_keys) return caller;
  if (key && !key->empty() && key->size() <= kMaxKeyBytes) {
    const auto found = table.organisations_by_key.find(*key);
    if (found != table.organisations_by_key.end()) {
      caller.organisation = found->second;
      return caller;
    }
  }
  if (!is_anonymous) return std::nullopt;
  caller.keyless_queue = queue;
  return caller;
}

bool MayAccess(const caller_identity& caller, const job_origin& job) {
  if (job.organisation.empty()) return true;
  if (!caller.organisation.empty()) {
    return caller.organisation == job.organisation;
  }
  return caller.keyless_queue.empty() || job.queue.empty() ||
         caller.keyless_queue == job.queue;
}

}  // namespace apricotwheel
