#include "ctl/status_report.h"

#include <algorithm>
#include <set>

#include "ctl/daemon_client.h"

namespace apricotwheel::ctl {
namespace {

using nlohmann::json;

// With an older VM list, the departure of a VM may have gone unnoticed for
// longer than the 5 s that guarantee 6 allows.
constexpr std::int64_t kMaxVmListAgeMs = 5000;

// Returns the value of `key`, or `fallback` if it is absent or of another type.
// A daemon of another version may send another type, for which json::value()
// throws.
template <class Value>
Value GetField(const json& object, const char* key, Value fallback) {
  if (!object.is_object()) return fallback;
  const auto found = object.find(key);
  if (found == object.end()) return fallback;
  if constexpr (std::is_same_v<Value, bool>) {
    return found->is_boolean() ? found->get<bool>() : fallback;
  } else {
    return found->is_number_integer() ? found->get<Value>() : fallback;
  }
}

json FindField(const json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() ? json() : *found;
}

void AppendOwnerWarnings(const json& status, const char* list, const char* name,
                         std::vector<std::string>& warnings) {
  std::set<std::string> members;
  for (const auto& member : FindField(status, "members")) {
    members.insert(FieldText(member, "id"));
  }
  std::string names;
  std::size_t count = 0;
  for (const auto& entry : FindField(status, list)) {
    if (members.contains(FieldText(entry, "owner"))) continue;
    // Lists five names at most: all 32 shards would hide the other warnings.
    if (++count <= 5) names += " " + FieldText(entry, name);
  }
  if (count == 0) return;
  warnings.push_back(std::to_string(count) + " " + list +
                     " have no live owner:" + names +
                     (count > 5 ? " ..." : ""));
}

}  // namespace

std::vector<std::string> FindWarnings(const json& status) {
  std::vector<std::string> warnings;
  if (GetField(status, "leaving", false)) {
    warnings.emplace_back("this daemon is stopping");
  } else if (!GetField(status, "ready", false)) {
    warnings.emplace_back("this daemon is not ready; see /readyz");
  }
  if (!GetField(status, "kv_reachable", false)) {
    warnings.emplace_back(
        "the key-value service cannot be reached; new jobs are refused");
  }
  if (!GetField(status, "holds_lease", false)) {
    warnings.emplace_back("this daemon holds no lease; others may take over");
  }
  const std::string fault = FieldText(FindField(status, "document"), "fault");
  if (fault != "-" && !fault.empty()) {
    warnings.push_back("the stored document is not in force: " + fault);
  }
  const auto age =
      GetField(FindField(status, "vm_list"), "age_ms", std::int64_t{-1});
  if (age < 0 || age > kMaxVmListAgeMs) {
    warnings.push_back("the VM list is stale (age " + std::to_string(age) +
                       " ms)");
  }
  AppendOwnerWarnings(status, "partitions", "name", warnings);
  AppendOwnerWarnings(status, "shards", "shard", warnings);
  for (const auto& worker : FindField(status, "workers")) {
    const std::string state = FieldText(worker, "state");
    if (state == "unresponsive" || state == "quarantined") {
      warnings.push_back("worker " + FieldText(worker, "worker") + " is " +
                         state);
    }
  }
  for (const auto& instance : FindField(status, "instances")) {
    if (GetField(instance, "accepting", false)) continue;
    warnings.push_back("instance " + FieldText(instance, "task_id") + " on " +
                       FieldText(instance, "worker") + " accepts no requests");
  }
  return warnings;
}

}  // namespace apricotwheel::ctl
