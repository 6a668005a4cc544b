#include <boost/test/unit_test.hpp>

#include "clients/http_connection.h"
#include "clients/vm_list_client.h"
#include "clients/wire_format.h"
#include "testing/cell_file.h"
#include "testing/vmlist_standin.h"

namespace apricotwheel {
namespace {

constexpr auto kTimeout = milliseconds(500);

struct fixture {
  clock_ptr clock = runtime_clock::Paused();
  std::unique_ptr<standins::vmlist_standin> service;
  std::unique_ptr<vm_list_client> client;

  fixture() {
    standins::vmlist_standin_options options;
    options.clock = clock;
    const auto group = standins::ParseGroup("web:4:16000:65536:0:2").value();
    options.cell = standins::BuildCell({group}, 2, 20000);
    service = standins::vmlist_standin::Start(options).value();
    client = vm_list_client::Create({service->Address(), kTimeout}).value();
  }
  int Admin(const std::string& call, const nlohmann::json& body) const {
    http_connection connection(ParseEndpoint(service->Address()).value());
    http_request request;
    request.target = "/admin/" + call;
    request.body = body.dump();
    return connection.Exchange(request, kTimeout, kTimeout).value().status;
  }
};

// Guards against a list that lacks racks, failure domains or changes.
BOOST_AUTO_TEST_CASE(changes_are_listed) {
  fixture test;
  auto list = test.client->Fetch().value();
  BOOST_REQUIRE(list.vms.size() == 4u);
  BOOST_TEST(list.vms[1].rack == list.vms[0].rack);
  BOOST_TEST(list.vms[2].failure_domain != list.vms[0].failure_domain);
  BOOST_TEST(test.Admin("leaving", {{"id", "web-1"}}) == 200);
  BOOST_TEST(test.Admin("remove", {{"id", "web-2"}}) == 200);
  BOOST_TEST(test.Admin("remove", {{"id", "web-9"}}) == 404);
  auto added = list.vms[2];
  added.id = "web-5";
  BOOST_TEST(test.Admin("add", {{"vm", ToJson(added)}}) == 200);
  const auto changed = test.client->Fetch().value();
  BOOST_TEST(changed.version > list.version);
  BOOST_REQUIRE(changed.vms.size() == 4u);
  BOOST_TEST((changed.vms[1].state == vm_state::kLeaving));
  BOOST_TEST(changed.vms[3].id == "web-5");
}

// Guards against a stand-in whose lag or freeze fault has no effect, so that
// changes appear at once.
BOOST_AUTO_TEST_CASE(list_lags_and_freezes) {
  fixture test;
  BOOST_TEST(test.Admin("faults", {{"lag_ms", 1000}}) == 200);
  BOOST_TEST(test.Admin("remove", {{"id", "web-1"}}) == 200);
  test.clock->Advance(milliseconds(900));
  BOOST_TEST(test.client->Fetch().value().vms.size() == 4u);
  test.clock->Advance(milliseconds(200));
  BOOST_TEST(test.client->Fetch().value().vms.size() == 3u);
  BOOST_TEST(test.Admin("faults", {{"frozen", true}}) == 200);
  BOOST_TEST(test.Admin("remove", {{"id", "web-2"}}) == 200);
  BOOST_TEST(test.client->Fetch().value().vms.size() == 3u);
  BOOST_TEST(test.Admin("faults", nlohmann::json::object()) == 200);
  BOOST_TEST(test.client->Fetch().value().vms.size() == 2u);
}

// Guards against a malformed list that is read as a shorter one.
BOOST_AUTO_TEST_CASE(malformed_list_is_refused) {
  fixture test;
  BOOST_TEST(test.Admin("faults", {{"malformed", true}}) == 200);
  const auto failed = Attempt([&] { return test.client->Fetch(); });
  BOOST_TEST((failed.failure.kind == error_kind::kCorrupt));
}

}  // namespace
}  // namespace apricotwheel
