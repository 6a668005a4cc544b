#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "clients/vm_list_client.h"
#include "clients/worker_client.h"
#include "kernel/error.h"
#include "kernel/json_reading.h"

namespace apricotwheel {

// JSON forms of the contract pages. Reading throws nlohmann::json::exception on
// a missing or mistyped field; callers at the edge catch it.
nlohmann::json ToJson(const resource_vector& amounts);
nlohmann::json ToJson(const task_spec& spec);
nlohmann::json ToJson(const task_status& status);
nlohmann::json ToJson(const worker_snapshot& snapshot);
nlohmann::json ToJson(const vm_record& vm);
nlohmann::json ToJson(const vm_list& list);

resource_vector ResourcesFromJson(const nlohmann::json& json);
task_spec TaskSpecFromJson(const nlohmann::json& json);
task_status TaskStatusFromJson(const nlohmann::json& json);
worker_snapshot WorkerSnapshotFromJson(const nlohmann::json& json);
vm_list VmListFromJson(const nlohmann::json& json);

// The text of a call's body. Fails with `invalid_argument` if a value is not
// valid UTF-8.
result<std::string> SerializeBody(const nlohmann::json& json);

// Parses a reply with `read` and turns any JSON fault into `corrupt`.
template <class Read>
auto ParseResponse(std::string_view body, Read read)
    -> result<decltype(read(nlohmann::json()))> {
  return ReadJson(
      body, "check that both sides follow the same contract page",
      [&](const nlohmann::json& parsed)
          -> result<decltype(read(nlohmann::json()))> { return read(parsed); });
}

}  // namespace apricotwheel
