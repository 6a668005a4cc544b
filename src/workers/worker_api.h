#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "clients/worker_client.h"

namespace apricotwheel {

// The API of one worker agent as functions, so that tests can replace the
// network. Each member calls the `worker_client` function of the same name.
struct worker_api {
  std::function<outcome<worker_snapshot>(std::uint64_t epoch,
                                         std::string_view owner)>
      claim;
  std::function<outcome<worker_snapshot>(
      std::uint64_t epoch, std::int64_t expires_at_ms,
      std::span<const std::string> acknowledged)>
      renew;
  std::function<outcome<task_status>(std::uint64_t epoch, const task_spec& spec,
                                     std::int64_t expires_at_ms)>
      start;
  std::function<outcome<void>(std::uint64_t epoch, std::string_view task_id,
                              stop_mode mode)>
      stop;
  std::function<outcome<void>(std::uint64_t epoch, std::string_view task_id,
                              std::int64_t cpu_milli)>
      throttle;
  std::function<outcome<void>(std::uint64_t epoch)> release;
};

// Returns an API that calls the agent at `address` (ip:port) over HTTP.
result<worker_api> CreateWorkerApi(const std::string& address);

}  // namespace apricotwheel
