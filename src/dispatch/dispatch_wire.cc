#include "dispatch/dispatch_wire.h"

#include <algorithm>

namespace apricotwheel {

wire_headers HeadersToWire(const header_list& headers) {
  wire_headers converted;
  for (const auto& [name, value] : headers) {
    auto& header = converted.emplace_back(std::make_unique<wire::headerT>());
    header->name = name;
    header->value = value;
  }
  return converted;
}

header_list HeadersFromWire(const wire_headers& headers) {
  header_list converted;
  for (const auto& header : headers) {
    converted.emplace_back(header->name, header->value);
  }
  return converted;
}

wire::dispatch_requestT ToWire(const admitted_request& admitted,
                               wire::dispatch_stage stage, time_point now) {
  wire::dispatch_requestT message;
  message.stage = stage;
  message.service = admitted.request.service;
  message.method = admitted.request.method;
  message.path = admitted.request.path;
  message.headers = HeadersToWire(admitted.request.headers);
  message.body.assign(admitted.request.body.begin(),
                      admitted.request.body.end());
  message.priority = static_cast<std::uint8_t>(admitted.priority);
  message.repeatable = admitted.repeatable;
  message.idempotency_key = admitted.request.idempotency_key;
  message.ticket = admitted.request.ticket;
  message.deadline_ms =
      std::max<std::int64_t>(ToMs(admitted.deadline - now), 0);
  message.correlation_id = admitted.correlation_id;
  message.movable = admitted.movable;
  message.waited_ms = ToMs(admitted.waited);
  return message;
}

admitted_request FromWire(const wire::dispatch_requestT& message,
                          time_point now) {
  admitted_request admitted;
  admitted.request.service = message.service;
  admitted.request.method = message.method;
  admitted.request.path = message.path;
  admitted.request.headers = HeadersFromWire(message.headers);
  admitted.request.body.assign(message.body.begin(), message.body.end());
  admitted.request.idempotency_key = message.idempotency_key;
  admitted.request.ticket = message.ticket;
  admitted.priority = message.priority <= 2
                          ? static_cast<priority_class>(message.priority)
                          : priority_class::kBatch;
  admitted.repeatable = message.repeatable;
  admitted.deadline = now + milliseconds(message.deadline_ms);
  admitted.correlation_id = message.correlation_id;
  admitted.movable = message.movable;
  admitted.waited = milliseconds(std::max<std::int64_t>(message.waited_ms, 0));
  return admitted;
}

wire::dispatch_responseT ToWire(const service_response& response) {
  wire::dispatch_responseT message;
  message.outcome = static_cast<wire::request_outcome>(response.outcome);
  message.status = response.status;
  message.headers = HeadersToWire(response.headers);
  message.body.assign(response.body.begin(), response.body.end());
  message.reason = response.reason;
  message.retry_after_ms =
      response.retry_after ? ToMs(*response.retry_after) : 0;
  message.worker = response.worker;
  return message;
}

service_response FromWire(const wire::dispatch_responseT& message) {
  service_response response;
  switch (message.outcome) {
    case wire::request_outcome::completed:
      response.outcome = request_outcome::kCompleted;
      break;
    case wire::request_outcome::not_run:
      response.outcome = request_outcome::kNotRun;
      break;
    default:
      response.outcome = request_outcome::kUnknown;
  }
  response.status = message.status;
  response.headers = HeadersFromWire(message.headers);
  response.body.assign(message.body.begin(), message.body.end());
  response.reason = message.reason;
  if (message.retry_after_ms > 0) {
    response.retry_after = milliseconds(message.retry_after_ms);
  }
  response.worker = message.worker;
  return response;
}

}  // namespace apricotwheel
