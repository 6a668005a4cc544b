#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "clients/vm_list_client.h"
#include "clients/worker_client.h"
#include "kernel/error.h"
#include "kernel/json_reading.h"

namespace apricotwheel {

// Conversions to and from the JSON formats that docs/contracts describes. The
// `FromJson` functions throw nlohmann::json::exception on a missing or mistyped
// field; `ParseResponse` returns it as an error.
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

// Serializes the body of a request. Fails with `invalid_argument` if a text is
// not valid UTF-8.
result<std::string> SerializeBody(const nlohmann::json& json);

// Parses the body of a response with `read`. Fails with `corrupt` if it is not
// JSON of the expected form.
template <class Read>
auto ParseResponse(std::string_view body, Read read)
    -> result<decltype(read(nlohmann::json()))> {
  return ReadJson(
      body,
      "check that both sides implement the same version of docs/contracts",
      [&](const nlohmann::json& parsed)
          -> result<decltype(read(nlohmann::json()))> { return read(parsed); });
}

}  // namespace apricotwheel
