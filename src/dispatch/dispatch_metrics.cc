#include "dispatch/dispatch_metrics.h"

#include "config/document.h"

namespace apricotwheel {

namespace {

std::string ClassName(priority_class priority) {
  switch (priority) {
    case priority_class::kUrgent:
      return "urgent";
    case priority_class::kService:
      return "service";
    case priority_class::kBatch:
      return "batch";
  }
  return "batch";
}

double ToSeconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

template <class Builder>
auto& Build(Builder builder, const metrics_ptr& registry, const char* name,
            const char* help) {
  return builder.Name(name).Help(help).Register(*registry);
}

}  // namespace

dispatch_metrics::dispatch_metrics(metrics_ptr registry)
    : registry_(registry ? std::move(registry)
                         : std::make_shared<prometheus::Registry>()),
      wait_(Build(prometheus::BuildHistogram(), registry_,
                  "apricotwheel_request_wait_seconds",
                  "Time from arrival at the instance owner to the send")),
      outcomes_(Build(prometheus::BuildCounter(), registry_,
                      "apricotwheel_requests_total",
                      "Requests answered by this entry daemon")),
      retries_(Build(prometheus::BuildCounter(), registry_,
                     "apricotwheel_request_retries_total",
                     "Repeated attempts by outcome of the attempt before")),
      queue_(Build(prometheus::BuildGauge(), registry_,
                   "apricotwheel_request_queue_length",
                   "Requests waiting for a slot here")),
      slots_(Build(prometheus::BuildGauge(), registry_,
                   "apricotwheel_instance_slots",
                   "Slots of own instances, used and in total")),
      connections_(Build(prometheus::BuildGauge(), registry_,
                         "apricotwheel_instance_connections",
                         "Connections counted against own instances")),
      breakers_(Build(prometheus::BuildGauge(), registry_,
                      "apricotwheel_open_breakers",
                      "Own instances whose breaker is not closed")),
      in_flight_(Build(prometheus::BuildGauge(), registry_,
                       "apricotwheel_requests_in_flight",
                       "Requests of callers and peers that run here")),
      keys_(Build(prometheus::BuildGauge(), registry_,
                  "apricotwheel_key_records",
                  "Idempotency records held here")) {}

void dispatch_metrics::ObserveWait(const std::string& service,
                                   priority_class priority, duration waited) {
  wait_
      .Add({{"service", service}, {"class", ClassName(priority)}},
           LatencyBuckets())
      .Observe(ToSeconds(waited));
}

void dispatch_metrics::CountOutcome(const std::string& service,
                                    const service_response& response) {
  // The number of unknown service names that callers can send is unbounded.
  // They share one empty label.
  const bool known =
      response.status != 404 || response.outcome == request_outcome::kCompleted;
  outcomes_
      .Add({{"service", known ? service : ""},
            {"outcome", std::string(ToString(response.outcome))},
            {"reason", response.reason}})
      .Increment();
}

void dispatch_metrics::CountRetry(const std::string& service,
                                  std::string_view after) {
  retries_.Add({{"service", service}, {"after", std::string(after)}})
      .Increment();
}

void dispatch_metrics::SetQueueLength(const std::string& service,
                                      priority_class priority,
                                      std::size_t length) {
  queue_.Add({{"service", service}, {"class", ClassName(priority)}})
      .Set(static_cast<double>(length));
}

void dispatch_metrics::SetSlots(const std::string& service, std::int64_t in_use,
                                std::int64_t limit) {
  slots_.Add({{"service", service}, {"kind", "used"}})
      .Set(static_cast<double>(in_use));
  slots_.Add({{"service", service}, {"kind", "limit"}})
      .Set(static_cast<double>(limit));
}

void dispatch_metrics::SetConnections(const std::string& service,
                                      std::int64_t in_use) {
  connections_.Add({{"service", service}}).Set(static_cast<double>(in_use));
}

void dispatch_metrics::SetOpenBreakers(const std::string& service,
                                       std::int64_t open) {
  breakers_.Add({{"service", service}}).Set(static_cast<double>(open));
}

void dispatch_metrics::SetInFlight(std::size_t count) {
  in_flight_.Add({}).Set(static_cast<double>(count));
}

void dispatch_metrics::SetKeyRecords(std::size_t count) {
  keys_.Add({}).Set(static_cast<double>(count));
}

}  // namespace apricotwheel
