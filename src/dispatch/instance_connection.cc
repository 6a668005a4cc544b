#include "dispatch/instance_connection.h"

namespace apricotwheel {

namespace {

// The client can connect in `Send`, after the expiry of the authority was
// checked. The timeout must stay below the 250 ms margin that the authority
// includes.
constexpr duration kConnectTimeout = milliseconds(100);

}  // namespace

connection_opener MakeInstanceConnectionOpener() {
  return [](const std::string& address) {
    outcome<connection_ptr> opened;
    auto created = Attempt([&] {
      return instance_client::Create({address, kConnectTimeout});
    });
    if (!created) {
      opened.failure = created.failure;
      return opened;
    }
    const std::shared_ptr<instance_client> client = std::move(*created);
    opened.value = std::make_shared<instance_connection>(instance_connection{
        [client](const instance_request& request, duration timeout) {
          return Attempt([&] { return client->Send(request, timeout); });
        },
        [client] { return Attempt([&] { return client->FetchUsage(); }); },
        [client] { return client->IsOpen(); }});
    return opened;
  };
}

}  // namespace apricotwheel
