#pragma once

#include <string>
#include <string_view>

#include "dispatch/dispatcher.h"

namespace apricotwheel {

// Registers and updates the metrics of the dispatcher. Thread-safe.
struct dispatch_metrics {
  explicit dispatch_metrics(metrics_ptr registry);

  void ObserveWait(const std::string& service, priority_class priority,
                   duration waited);
  void CountOutcome(const std::string& service,
                    const service_response& response);
  void CountRetry(const std::string& service, std::string_view after);
  void SetQueueLength(const std::string& service, priority_class priority,
                      std::size_t length);
  void SetSlots(const std::string& service, std::int64_t in_use,
                std::int64_t limit);
  void SetConnections(const std::string& service, std::int64_t in_use);
  void SetOpenBreakers(const std::string& service, std::int64_t open);
  void SetInFlight(std::size_t count);
  void SetKeyRecords(std::size_t count);

 private:
  metrics_ptr registry_;
  prometheus::Family<prometheus::Histogram>& wait_;
  prometheus::Family<prometheus::Counter>& outcomes_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Gauge>& queue_;
  prometheus::Family<prometheus::Gauge>& slots_;
  prometheus::Family<prometheus::Gauge>& connections_;
  prometheus::Family<prometheus::Gauge>& breakers_;
  prometheus::Family<prometheus::Gauge>& in_flight_;
  prometheus::Family<prometheus::Gauge>& keys_;
};

}  // namespace apricotwheel
