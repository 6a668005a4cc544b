#pragma once

#include <cstdint>

#include "kernel/metrics.h"

namespace apricotwheel {

// Peer traffic and calls to the key-value service since the process started.
struct control_cost_totals {
  std::uint64_t peer_bytes_sent = 0;
  std::uint64_t peer_bytes_received = 0;
  std::uint64_t peer_messages_sent = 0;
  std::uint64_t kv_calls = 0;
};

// Exports the control cost of this process: processor time, memory, peer
// traffic and calls to the key-value service. `Update` is called at each
// scrape.
class process_metrics {
 public:
  explicit process_metrics(prometheus::Registry& registry);
  void Update(const control_cost_totals& totals);

 private:
  prometheus::Gauge& cpu_seconds_;
  prometheus::Gauge& resident_bytes_;
  prometheus::Gauge& peer_bytes_sent_;
  prometheus::Gauge& peer_bytes_received_;
  prometheus::Gauge& peer_messages_sent_;
  prometheus::Gauge& kv_calls_;
};

}  // namespace apricotwheel
