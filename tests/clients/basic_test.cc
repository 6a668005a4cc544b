#include <boost/test/unit_test.hpp>

#include "clients/instance_client.h"
#include "clients/kv_client.h"
#include "clients/vm_list_client.h"
#include "clients/worker_client.h"
#include "testing/instance_standin.h"
#include "testing/kv_standin.h"
#include "testing/vmlist_standin.h"
#include "testing/worker_standin.h"

namespace apricotwheel {
namespace {

// Guards against differences between the protocol that the clients use and the
// one that the test stand-ins serve.
BOOST_AUTO_TEST_CASE(clients_and_stand_ins_agree) {
  auto kv = standins::kv_standin::Start({}).value();
  auto client = kv_client::Create({.address = kv->Address()}).value();
  const auto revision = client->Put("a/1", "one").value();
  BOOST_TEST(client->Get("a/1").value()->value == "one");
  BOOST_TEST(client->List("a/").value().size() == 1u);
  BOOST_TEST(client->Watch("a/", revision - 1, milliseconds(0))
                 .value()
                 .events.size() == 1u);

  standins::vmlist_standin_options list;
  list.cell.vms.push_back({.id = "vm-0",
                           .address = "127.0.0.1:0",
                           .failure_domain = "fd0",
                           .rack = "rack1",
                           .state = vm_state::kLive,
                           .capacity = {16000, 65536, 0}});
  auto vms = standins::vmlist_standin::Start(list).value();
  auto list_client =
      vm_list_client::Create({.address = vms->Address()}).value();
  BOOST_TEST(list_client->Fetch().value().vms.at(0).id == "vm-0");

  standins::worker_standin_options workers;
  workers.cell = list.cell;
  auto fleet = standins::worker_standin::Start(workers).value();
  auto worker =
      worker_client::Create({.address = fleet->Agent(0).Address()}).value();
  const auto claimed = worker->Claim(1, "d1").value();
  task_spec spec;
  spec.task_id = "service/web/0";
  spec.kind = task_kind::kService;
  spec.resources = {1000, 1024, 0};
  spec.slots = 8;
  spec.connections = 64;
  const auto started =
      worker->Start(1, spec, claimed.worker_clock_ms + 10000).value();
  auto instance = instance_client::Create({.address = started.address}).value();
  instance_request request;
  request.method = "POST";
  request.path = "/x?y=1";
  request.body = "body";
  request.correlation_id = "c1";
  request.epoch = 1;
  const auto response = instance->Send(request, milliseconds(1000)).value();
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body.find(standins::RequestDigest("/x?y=1", "body")) !=
             std::string::npos);
  BOOST_TEST(instance->FetchUsage().value().connections == 0u);
}

}  // namespace
}  // namespace apricotwheel
