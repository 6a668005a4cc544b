#include "clients/instance_client.h"

#include "clients/http_connection.h"
#include "clients/wire_format.h"

namespace apricotwheel {

namespace {

constexpr auto kUsageTimeout = milliseconds(1000);

}  // namespace

struct instance_client::state {
  explicit state(ip_endpoint peer) : connection(std::move(peer)) {}
  instance_client_options options;
  http_connection connection;
};

instance_client::instance_client(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
instance_client::~instance_client() = default;

result<std::unique_ptr<instance_client>> instance_client::Create(
    instance_client_options options) {
  BOOST_LEAF_AUTO(peer, ParseEndpoint(options.address));
  auto initial = std::make_unique<state>(peer);
  initial->options = std::move(options);
  return std::unique_ptr<instance_client>(
      new instance_client(std::move(initial)));
}

result<instance_response> instance_client::Send(const instance_request& request,
                                                duration timeout) {
  http_request http{request.method, request.path, request.headers,
                    request.body};
  http.headers.emplace_back("Apricotwheel-Epoch",
                            std::to_string(request.epoch));
  http.headers.emplace_back("Apricotwheel-Correlation-Id",
                            request.correlation_id);
  BOOST_LEAF_AUTO(response,
                  state_->connection.Exchange(
                      http, state_->options.connect_timeout, timeout));
  // The correlation id is checked first, because a rejection of another request
  // does not prove that this one did not run.
  if (FindHeader(response.headers, "Apricotwheel-Correlation-Id") !=
      request.correlation_id) {
    Close();
    return Fail(error_kind::kCorrupt, "the response belongs to another request",
                "assume that the request may have run");
  }
  const bool not_run =
      FindHeader(response.headers, "Apricotwheel-Outcome") == "not_run";
  if (not_run && response.status == 412) {
    Close();
    return Fail(error_kind::kStaleEpoch, "the instance has seen a higher epoch",
                "stop using this worker");
  }
  if (not_run && response.status == 503) {
    Close();
    return Fail(error_kind::kCapacity, "the instance has no free slot",
                "send the request to another instance");
  }
  return instance_response{response.status, std::move(response.headers),
                           std::move(response.body)};
}

result<instance_usage> instance_client::FetchUsage() {
  http_request http;
  http.method = "GET";
  http.target = "/apricotwheel/usage";
  BOOST_LEAF_AUTO(response,
                  state_->connection.Exchange(
                      http, state_->options.connect_timeout, kUsageTimeout));
  if (response.status != 200) {
    Close();
    return Fail(error_kind::kUnavailable,
                "the instance did not report its usage",
                "treat its slots as in use");
  }
  return ParseResponse(response.body, [](const nlohmann::json& json) {
    return instance_usage{json.at("slots_in_use").get<std::uint32_t>(),
                          json.at("connections").get<std::uint32_t>()};
  });
}

bool instance_client::IsOpen() const { return state_->connection.IsOpen(); }
void instance_client::Close() { state_->connection.Close(); }

}  // namespace apricotwheel
