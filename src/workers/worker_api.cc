#include "workers/worker_api.h"

#include <memory>
#include <utility>

namespace apricotwheel {

result<worker_api> CreateWorkerApi(const std::string& address) {
  worker_client_options options;
  options.address = address;
  BOOST_LEAF_AUTO(created_client, worker_client::Create(options));
  const std::shared_ptr<worker_client> client = std::move(created_client);
  worker_api api;
  api.claim = [client](std::uint64_t epoch, std::string_view owner) {
    return Attempt([&] { return client->Claim(epoch, owner); });
  };
  api.renew = [client](std::uint64_t epoch, std::int64_t expires_at_ms,
                       std::span<const std::string> acknowledged) {
    return Attempt(
        [&] { return client->Renew(epoch, expires_at_ms, acknowledged); });
  };
  api.start = [client](std::uint64_t epoch, const task_spec& spec,
                       std::int64_t expires_at_ms) {
    return Attempt([&] { return client->Start(epoch, spec, expires_at_ms); });
  };
  api.stop = [client](std::uint64_t epoch, std::string_view task_id,
                      stop_mode mode) {
    return Attempt([&] { return client->Stop(epoch, task_id, mode); });
  };
  api.throttle = [client](std::uint64_t epoch, std::string_view task_id,
                          std::int64_t cpu_milli) {
    return Attempt([&] { return client->Throttle(epoch, task_id, cpu_milli); });
  };
  api.release = [client](std::uint64_t epoch) {
    return Attempt([&] { return client->Release(epoch); });
  };
  return api;
}

}  // namespace apricotwheel
