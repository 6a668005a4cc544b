#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "kernel/plugin_registry.h"
#include "platform/caller_api.h"
#include "platform/configuration.h"
#include "platform/discovery.h"
#include "platform/wire_fields.h"
#include "pools/queue_gateway.h"

namespace apricotwheel {
namespace {

using nlohmann::json;

const json kEntry = {
    {"service", "huvo11a"},
    {"address", "10.128.0.9:8080"},
    {"zone", "zone-a"},
    {"version", "v1"},
    {"slots", 8},
    {"state", "ready"},
    {"cold_remaining_ms", 0},
    {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 8}}},
    {"labels", {"a", "r1-3"}},
    {"born", 1'700'000'000'123},
    {"clock_ms", 482'113},
    {"sequence", 4}};

BOOST_AUTO_TEST_CASE(the_adapter_registers_itself) {
  const auto names = plugin_registry<service_adapter>::Instance().PluginNames();
  BOOST_TEST(names == std::vector<std::string>{"fleet"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_discovery_entry_describes_a_worker) {
  const auto worker = fleet::DecodeMinion("servers/i-7", kEntry.dump(), {});
  BOOST_REQUIRE(worker.has_value());
  BOOST_TEST(worker->id == "i-7");
  BOOST_TEST(worker->pool == "huvo11a");
  BOOST_TEST(worker->address == "10.128.0.9:8080");
  BOOST_TEST(worker->failure_domain == "zone-a");
  BOOST_TEST(worker->rack == "r1-3");
  BOOST_TEST((worker->capacity == resource_vector{16000, 32768, 8}));
  BOOST_TEST(worker->incarnation == 1'700'000'000'123);
  BOOST_TEST(!worker->is_draining);
  json draining = kEntry;
  draining["state"] = "draining";
  draining["remaining_ms"] = 1500;
  const auto leaving = fleet::DecodeMinion("servers/i-7", draining.dump(), {});
  BOOST_REQUIRE(leaving.has_value());
  BOOST_TEST(leaving->is_draining);
  BOOST_TEST(leaving->min_time_left_ms == 1500);
}

// A malformed entry describes no worker and is logged.
BOOST_AUTO_TEST_CASE(malformed_entries_describe_no_worker) {
  std::vector<std::string> bad = {"", "\xff\xfe", "[]", "{}", "null", "7"};
  for (const char* field :
       {"service", "address", "zone", "state", "capacity", "labels"}) {
    json missing = kEntry;
    missing.erase(field);
    bad.push_back(missing.dump());
    json mistyped = kEntry;
    mistyped[field] = 7;
    bad.push_back(mistyped.dump());
  }
  json state = kEntry;
  state["state"] = "asleep";
  bad.push_back(state.dump());
  json address = kEntry;
  address["address"] = "host:80";
  bad.push_back(address.dump());
  for (const std::string& value : bad) {
    int logged = 0;
    const auto worker = fleet::DecodeMinion(
        "servers/i-7", value, [&](const log_event&) { ++logged; });
    BOOST_TEST(!worker.has_value(), value);
    BOOST_TEST(logged == 1);
  }
}

BOOST_AUTO_TEST_CASE(a_configuration_lists_queues_and_pools) {
  const json config = {
      {"version", 7},
      {"routes",
       {{{"name", "r-1"},
         {"host", "ficu95.example"},
         {"prefix", "/pule252/"},
         {"kind", "non_idempotent"},
         {"timeout_ms", 3000},
         {"target_duration_ms", 1000},
         {"priority", 1},
         {"service", "wuno96b"},
         {"max_attempts", 2},
         {"slowdown_factor", 2.2},
         {"advisor",
          {{"decision_ms", 560.0},
           {"period_ms", 0.28},
           {"validity_ms", 1500}}}}}},
      {"services",
       {{{"name", "wuno96b"}, {"enforce_limits", true}, {"standby", false}}}},
      {"limits", {{"max_body_bytes", 262'144}}}};
  const auto table =
      Attempt([&] { return fleet::DecodeConfiguration(config.dump()); });
  BOOST_REQUIRE(table);
  BOOST_TEST(table->version == 7);
  BOOST_REQUIRE_EQUAL(table->routes.size(), 1);
  const queue_rules& queue = table->routes[0].queue;
  BOOST_TEST(queue.pool == "wuno96b");
  BOOST_TEST(queue.priority == 1);
  BOOST_TEST(queue.max_attempts == 2);
  BOOST_TEST(queue.slowdown_limit == 2.2);
  BOOST_TEST((queue.target == milliseconds(1000)));
  BOOST_TEST(queue.advisor->decision_us == 560'000);
  BOOST_TEST(queue.advisor->per_worker_us == 280);
  BOOST_TEST((queue.advisor->ticket_lifetime == milliseconds(1500)));
  BOOST_TEST(table->pools[0].enforces_capacity);
  BOOST_TEST(table->max_body_bytes == 262'144);
  BOOST_TEST(!Attempt([&] { return fleet::DecodeConfiguration("{}"); }));
}

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_is_used) {
  queue_table table;
  for (const auto& [host, prefix] :
       std::vector<std::pair<std::string, std::string>>{
           {"a", "/x/"}, {"a", "/x/y/"}, {"b", "/x/y/z/"}}) {
    queue_route route;
    route.host = host;
    route.path_prefix = prefix;
    route.queue.name = host + prefix;
    table.routes.push_back(route);
  }
  BOOST_TEST(FindQueue(table, "a", "/x/1")->queue.name == "a/x/");
  BOOST_TEST(FindQueue(table, "a", "/x/y/z/1")->queue.name == "a/x/y/");
  BOOST_TEST(FindQueue(table, "a", "/x/y/z/1")->path_suffix == "z/1");
  BOOST_TEST(FindQueue(table, "b", "/x/y/z/")->path_suffix == "");
  BOOST_TEST(!FindQueue(table, "b", "/x/1").has_value());
  BOOST_TEST(!FindQueue(table, "c", "/x/1").has_value());
}

BOOST_AUTO_TEST_CASE(all_fields_of_a_job_are_decoded) {
  const json body = {{"spec", "text"},
                     {"phases",
                      {{{"count", 4},
                        {"cpu", 500},
                        {"mem_mb", 256},
                        {"estimate_ms", 900},
                        {"affinity", "r1-3"},
                        {"image", "im"},
                        {"fills", true}},
                       {{"count", 2},
                        {"gpu", 8},
                        {"after", {0}},
                        {"gang", true},
                        {"checkpointing", true},
                        {"rack_local", true},
                        {"requirements", "b"},
                        {"max_per_server", 1},
                        {"speculative", true}},
                       {{"count", 1},
                        {"long_running", true},
                        {"target_ms", 40},
                        {"disruption_budget", 1}}}},
                     {"repetitions", 3},
                     {"first_run_ms", 1000},
                     {"interval_ms", 500}};
  const auto graph = Attempt([&] { return fleet::DecodeJob(body.dump()); });
  BOOST_REQUIRE(graph);
  BOOST_TEST(graph->payload == "text");
  BOOST_REQUIRE_EQUAL(graph->steps.size(), 3);
  const graph_step& first = graph->steps[0];
  BOOST_TEST(first.task_count == 4);
  BOOST_TEST((first.need == resource_vector{500, 256, 0}));
  BOOST_TEST(first.estimate_ms == 900);
  BOOST_TEST(first.data_rack == "r1-3");
  BOOST_TEST(first.uses_leftover);
  const graph_step& second = graph->steps[1];
  BOOST_TEST(second.need.accelerators == 8);
  BOOST_TEST(second.after == std::vector<std::uint32_t>{0},
             boost::test_tools::per_element());
  BOOST_TEST(second.is_gang);
  BOOST_TEST(second.checkpoints);
  BOOST_TEST(second.one_rack);
  BOOST_TEST(second.required_label == "b");
  BOOST_TEST(second.max_per_worker == 1);
  BOOST_TEST(second.may_duplicate);
  BOOST_TEST(graph->steps[2].is_service);
  BOOST_TEST(graph->steps[2].latency_target_ms == 40);
  BOOST_TEST(graph->steps[2].has_disruption_budget);
  BOOST_TEST(graph->schedule.repetitions == 3);
  BOOST_TEST(graph->schedule.interval_ms == 500);
  // The stored record keeps all fields.
  job_submission job;
  job.id = "5c0e7a21d94b36f8";
  job.graph = *graph;
  const auto stored =
      Attempt([&] { return DecodeSubmission(EncodeSubmission(job)); });
  BOOST_REQUIRE(stored);
  BOOST_TEST(EncodeSubmission(*stored) == EncodeSubmission(job));
}

BOOST_AUTO_TEST_CASE(malformed_jobs_are_rejected) {
  for (const std::string body :
       {"", "{", "[]", "{}", R"({"phases":7})", R"({"phases":[{}]})",
        R"({"phases":[{"count":-1}]})", R"({"phases":[{"count":20000}]})",
        R"({"phases":[{"count":"many"}]})"}) {
    const auto graph = Attempt([&] { return fleet::DecodeJob(body); });
    BOOST_TEST(!graph, body);
  }
}

BOOST_AUTO_TEST_CASE(task_names_are_parsed) {
  const task_key task{"5c0e7a21d94b36f8", 3, 1, 17};
  BOOST_TEST(fleet::TaskName(task) == "5c0e7a21d94b36f8.3.1.17");
  BOOST_TEST((fleet::ParseTaskName("5c0e7a21d94b36f8.3.1.17") == task));
  for (const std::string_view bad :
       {"", "a", "a.1.2", "a.1.2.3.4", "a.1.2.x", ".1.2.3", "a..2.3",
        "a.1.2.-3", "a.1.2.99999999999"}) {
    BOOST_TEST(!fleet::ParseTaskName(bad).has_value(), bad);
  }
}

}  // namespace
}  // namespace apricotwheel
