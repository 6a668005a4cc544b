#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "clients/http_listener.h"
#include "clients/worker_client.h"
#include "testing/worker_standin.h"

namespace apricotwheel {
namespace {

using nlohmann::json;

std::unique_ptr<standins::worker_standin> StartFleet(
    const std::string& address) {
  standins::worker_standin_options options;
  options.cell.vms.push_back({.id = "vm-0",
                              .address = address,
                              .failure_domain = "fd0",
                              .rack = "rack1",
                              .state = vm_state::kLive,
                              .capacity = {4000, 4096, 1}});
  return standins::worker_standin::Start(options).value();
}

struct fixture {
  std::unique_ptr<standins::worker_standin> fleet = StartFleet("127.0.0.1:0");
  std::string address = fleet->Agent(0).Address();
  std::unique_ptr<worker_client> client =
      worker_client::Create({address, milliseconds(500)}).value();
  std::int64_t expiry =
      client->Claim(1, "owner").value().worker_clock_ms + 60'000;

  void Start(const std::string& id) {
    task_spec spec;
    spec.task_id = id;
    spec.run_ms = 60'000;
    spec.resources = {100, 64, 0};
    client->Start(1, spec, expiry).value();
  }

  std::map<std::string, task_state> Renew(
      const std::vector<std::string>& acknowledged = {}) {
    std::map<std::string, task_state> states;
    const auto snapshot = client->Renew(1, expiry, acknowledged).value();
    BOOST_TEST(!snapshot.partial);
    for (const auto& task : snapshot.tasks) {
      states[task.spec.task_id] = task.state;
    }
    return states;
  }

  json RawRenew(const json& call) const {
    const auto endpoint = ParseEndpoint(address).value();
    httplib::Client raw(endpoint.ip, endpoint.port);
    const auto reply = raw.Post("/v1/renew", call.dump(), "application/json");
    return json::parse(reply->body);
  }
};

// Guards against renewals that transfer the complete list each time. For an
// owner of 460,000 tasks this takes more than one processor core.
BOOST_FIXTURE_TEST_CASE(unchanged_tasks_are_not_sent_again, fixture) {
  Start("job/0");
  Start("job/1");
  const json call = {
      {"epoch", 1}, {"expires_at_ms", expiry}, {"acknowledged", json::array()}};
  const json whole = RawRenew(call);
  BOOST_TEST(whole["tasks"].size() == 2u);
  BOOST_TEST(whole["partial"] == false);
  json changes_only = call;
  changes_only["after"] = whole["version"];
  const json none = RawRenew(changes_only);
  BOOST_TEST(none["partial"] == true);
  BOOST_TEST(none["task_count"] == 2);
  BOOST_TEST(none["tasks"].empty());
  client->Stop(1, "job/1", stop_mode::kKill).value();
  const json changed = RawRenew(changes_only);
  BOOST_REQUIRE(changed["tasks"].size() == 1u);
  BOOST_TEST(changed["tasks"][0]["spec"]["task_id"] == "job/1");
}

// Guards against a merged list that misses a change or keeps an acknowledged
// task.
BOOST_FIXTURE_TEST_CASE(the_client_returns_the_whole_list, fixture) {
  using states = std::map<std::string, task_state>;
  Start("job/0");
  Start("job/1");
  const states both = {{"job/0", task_state::kRunning},
                       {"job/1", task_state::kRunning}};
  BOOST_TEST((Renew() == both));
  client->Stop(1, "job/1", stop_mode::kKill).value();
  const states one_ended = {{"job/0", task_state::kRunning},
                            {"job/1", task_state::kStopped}};
  BOOST_TEST((Renew() == one_ended));
  const states one = {{"job/0", task_state::kRunning}};
  BOOST_TEST((Renew({"job/1"}) == one));
  Start("job/1");
  BOOST_TEST((Renew() == both));
}

// Guards against a cached list that stays in use after the response to an
// acknowledgement was lost: the worker has removed the task, but the cache has
// not.
BOOST_FIXTURE_TEST_CASE(a_lost_acknowledgement_is_noticed, fixture) {
  using states = std::map<std::string, task_state>;
  Start("job/0");
  Start("job/1");
  client->Stop(1, "job/1", stop_mode::kKill).value();
  Renew();
  fleet->Agent(0).SetFaults({.lose_replies = 1});
  BOOST_TEST(!Attempt([&] {
    return client->Renew(1, expiry, std::vector<std::string>{"job/1"});
  }));
  const states one = {{"job/0", task_state::kRunning}};
  BOOST_TEST((Renew() == one));
}

// Guards against a cached list that still reports the tasks of an agent after
// the agent has restarted.
BOOST_FIXTURE_TEST_CASE(a_restarted_agent_has_an_empty_list, fixture) {
  Start("job/0");
  Renew();
  fleet.reset();
  fleet = StartFleet(address);
  BOOST_TEST(Renew().empty());
}

}  // namespace
}  // namespace apricotwheel
