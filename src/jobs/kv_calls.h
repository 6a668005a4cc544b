#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"

namespace apricotwheel {

// The calls of the key-value service that the job store makes, as plain
// functions, so that tests can answer them without a network. Each matches the
// function of `kv_client`.
struct kv_api {
  std::function<outcome<std::optional<kv_entry>>(std::string_view key)> get;
  std::function<outcome<std::vector<kv_entry>>(std::string_view prefix)> list;
  std::function<outcome<std::uint64_t>(std::string_view key,
                                       std::string_view value,
                                       std::uint64_t expected_revision)>
      put_confirmed;
  std::function<outcome<void>(std::string_view key,
                              std::uint64_t expected_revision)>
      remove;
};

// `client` outlives the calls.
kv_api MakeKvApi(kv_client* client, const clock_ptr& clock);

}  // namespace apricotwheel
