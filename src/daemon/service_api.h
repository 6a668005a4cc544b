#pragma once

#include <httplib.h>

#include "dispatch/dispatcher.h"
#include "kernel/error.h"

namespace apricotwheel {

// Parses a request for `/v1/services/{service}/{path}`. Fails with
// `invalid_argument` on a malformed header.
result<service_request> ParseServiceRequest(const httplib::Request& http);

// Writes `response` with its outcome headers to `http`.
void WriteServiceResponse(const service_response& response,
                          httplib::Response& http);

// Adds the routes for service requests and tickets.
void AddServiceRoutes(httplib::Server& server, dispatcher& request_dispatcher);

}  // namespace apricotwheel
