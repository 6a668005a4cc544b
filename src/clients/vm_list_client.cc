#include "clients/vm_list_client.h"

#include "clients/http_connection.h"
#include "clients/wire_format.h"

namespace apricotwheel {

struct vm_list_client::state {
  explicit state(ip_endpoint peer) : pool(std::move(peer)) {}
  vm_list_client_options options;
  http_connection_pool pool;
};

vm_list_client::vm_list_client(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
vm_list_client::~vm_list_client() = default;

result<std::unique_ptr<vm_list_client>> vm_list_client::Create(
    vm_list_client_options options) {
  BOOST_LEAF_AUTO(peer, ParseEndpoint(options.address));
  auto initial = std::make_unique<state>(peer);
  initial->options = std::move(options);
  return std::unique_ptr<vm_list_client>(
      new vm_list_client(std::move(initial)));
}

result<vm_list> vm_list_client::Fetch() {
  http_request request;
  request.method = "GET";
  request.target = "/v1/vms";
  const duration timeout = state_->options.call_timeout;
  BOOST_LEAF_AUTO(response, state_->pool.Call(request, timeout, timeout));
  if (response.status != 200) {
    return Fail(error_kind::kUnavailable,
                "the VM list service returned status " +
                    std::to_string(response.status),
                "keep the last list and try again");
  }
  return ParseResponse(response.body, VmListFromJson);
}

}  // namespace apricotwheel
