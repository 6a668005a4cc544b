#pragma once

#include <string>

#include "dispatch/dispatcher.h"

namespace apricotwheel {

// A request that the entry daemon has admitted, with its defaults resolved. It
// is passed to the key owner and the instance owner.
struct admitted_request {
  service_request request;
  priority_class priority = priority_class::kService;
  bool repeatable = false;
  time_point deadline;
  std::string correlation_id;
  // The instance owner may return the request with `no_slot` while it is
  // queued, to be sent to another owner. Set for the first owner only, so that
  // a request does not circulate between owners.
  bool movable = false;
  duration waited{0};  // Time in the queues of earlier owners.
};

wire::dispatch_requestT ToWire(const admitted_request& admitted,
                               wire::dispatch_stage stage, time_point now);
admitted_request FromWire(const wire::dispatch_requestT& message,
                          time_point now);

wire::dispatch_responseT ToWire(const service_response& response);
service_response FromWire(const wire::dispatch_responseT& message);

using wire_headers = decltype(wire::dispatch_responseT::headers);
wire_headers HeadersToWire(const header_list& headers);
header_list HeadersFromWire(const wire_headers& headers);

}  // namespace apricotwheel
