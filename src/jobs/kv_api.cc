#include "jobs/kv_api.h"

namespace apricotwheel {

namespace {

// After a lost response the entry is read back for this long before the effect
// of the write counts as unknown.
constexpr auto kConfirmTimeout = milliseconds(3000);

}  // namespace

kv_api MakeKvApi(kv_client* client, const clock_ptr& clock) {
  kv_api api;
  api.get = [client](std::string_view key) {
    return Attempt([&] { return client->Get(key); });
  };
  api.list = [client](std::string_view prefix) {
    return Attempt([&] { return client->List(prefix); });
  };
  api.put_confirmed = [client, clock](std::string_view key,
                                      std::string_view value,
                                      std::uint64_t expected_revision) {
    return Attempt([&] {
      return client->PutConfirmed(key, value, expected_revision, *clock,
                                  clock->Now() + kConfirmTimeout);
    });
  };
  api.remove = [client](std::string_view key, std::uint64_t expected_revision) {
    return Attempt([&] { return client->Remove(key, expected_revision); });
  };
  return api;
}

}  // namespace apricotwheel
