#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clients/kv_client.h"

namespace apricotwheel {

// The calls of the job store to the key-value service, as functions, so that
// tests can replace the network. Each member calls the `kv_client` function of
// the same name.
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

// Returns functions that use `client`, which must outlive them.
kv_api MakeKvApi(kv_client* client, const clock_ptr& clock);

}  // namespace apricotwheel
