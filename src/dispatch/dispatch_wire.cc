#include "dispatch/dispatch_wire.h"

#include <algorithm>

namespace apricotwheel {

namespace {

std::int64_t ToMs(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

}  // namespace

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

wire::dispatch_requestT ToWire(const staged_request& staged,
                               wire::dispatch_stage stage, time_point now) {
  wire::dispatch_requestT message;
  message.stage = stage;
  message.service = staged.request.service;
  message.method = staged.request.method;
  message.path = staged.request.path;
  message.headers = HeadersToWire(staged.request.headers);
  message.body.assign(staged.request.body.begin(), staged.request.body.end());
  message.priority = static_cast<std::uint8_t>(staged.priority);
  message.repeatable = staged.repeatable;
  message.idempotency_key = staged.request.idempotency_key;
  message.ticket = staged.request.ticket;
  message.deadline_ms = std::max<std::int64_t>(ToMs(staged.deadline - now), 0);
  message.correlation_id = staged.correlation_id;
  message.movable = staged.movable;
  message.waited_ms = ToMs(staged.waited);
  return message;
}

staged_request FromWire(const wire::dispatch_requestT& message,
                        time_point now) {
  staged_request staged;
  staged.request.service = message.service;
  staged.request.method = message.method;
  staged.request.path = message.path;
  staged.request.headers = HeadersFromWire(message.headers);
  staged.request.body.assign(message.body.begin(), message.body.end());
  staged.request.idempotency_key = message.idempotency_key;
  staged.request.ticket = message.ticket;
  staged.priority = message.priority <= 2
                        ? static_cast<priority_class>(message.priority)
                        : priority_class::kBatch;
  staged.repeatable = message.repeatable;
  staged.deadline = now + milliseconds(message.deadline_ms);
  staged.correlation_id = message.correlation_id;
  staged.movable = message.movable;
  staged.waited = milliseconds(std::max<std::int64_t>(message.waited_ms, 0));
  return staged;
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
