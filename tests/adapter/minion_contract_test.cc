#include <boost/test/unit_test.hpp>

#include "platform/minion_agent.h"
#include "tests/adapter/scripted_peer.h"

namespace apricotwheel {
namespace {

using nlohmann::json;
using testing::scripted_peer;
using testing::scripted_response;

const task_key kTask{"5c0e7a21d94b36f8", 0, 1, 17};

struct rig {
  scripted_peer peer;
  std::vector<std::string> logged;
  std::unique_ptr<agent_link> link;

  rig() {
    pool_worker worker;
    worker.id = "i-1";
    worker.address = peer.Address();
    link = fleet::ConnectMinion(worker, [this](const log_event& event) {
      logged.emplace_back(event.kind.name);
    });
  }
  start_response Start(std::string ticket = {}, std::string checkpoint = {}) {
    return link->start({"i-1", kTask, 2, "text", checkpoint, ticket},
                       {7, 486'000});
  }
};

BOOST_AUTO_TEST_CASE(a_start_request_carries_all_fields) {
  rig test;
  test.peer.EnqueueResponse(200, {{"clock_ms", 482'113}});
  const auto response = test.Start("c81e-7a21d94b", "00000bb87a21d94b");
  BOOST_TEST((response.result == start_result::kStarted));
  BOOST_TEST(response.clock_ms.value() == 482'113);
  const auto seen = test.peer.LastRequest();
  BOOST_TEST(seen.method == "POST");
  BOOST_TEST(seen.target == "/api/run-start");
  BOOST_TEST(seen.expected_instance == "i-1");
  BOOST_TEST((seen.body == json{{"task", "5c0e7a21d94b36f8.0.1.17"},
                                {"run_id", 2},
                                {"spec", "text"},
                                {"deadline_ms", 486'000},
                                {"fencing_token", 7},
                                {"checkpoint", "00000bb87a21d94b"},
                                {"ticket", "c81e-7a21d94b"}}));
}

struct start_case {
  scripted_response response;
  start_result expected;
};

BOOST_AUTO_TEST_CASE(each_response_to_a_start_has_its_result) {
  const std::vector<start_case> cases = {
      {{409, {{"clock_ms", 1}, {"reason", "fence"}}},
       start_result::kStaleEpoch},
      {{409, {{"reason", "old"}}}, start_result::kOutdatedRun},
      {{409, {{"reason", "late"}}}, start_result::kExpired},
      {{409, {{"reason", "room"}}}, start_result::kNoRoom},
      {{409, {{"reason", "ticket"}}}, start_result::kNoTicket},
      {{409, {{"reason", "new word"}}}, start_result::kInvalid},
      {{400}, start_result::kInvalid},
      {{421}, start_result::kOtherIncarnation},
      {{429}, start_result::kUnhealthy},
      {{503}, start_result::kUnhealthy},
      {{500}, start_result::kUnknown},
      {{200, json::object(), true}, start_result::kUnknown},
      {{200, json::object(), false, milliseconds(1100)},
       start_result::kUnknown},
  };
  for (const auto& one : cases) {
    rig test;
    test.peer.EnqueueResponse(one.response);
    BOOST_TEST((test.Start().result == one.expected),
               "status " << one.response.status << " " << one.response.body);
  }
}

BOOST_AUTO_TEST_CASE(a_start_that_cannot_be_sent_is_unreachable) {
  pool_worker worker;
  worker.id = "i-1";
  worker.address = "127.0.0.1:1";
  const auto link = fleet::ConnectMinion(worker, {});
  const auto response = link->start({"i-1", kTask, 2, "text", "", ""}, {7, 1});
  BOOST_TEST((response.result == start_result::kUnreachable));
}

// A response that arrives after its call has timed out must not be used for a
// later call.
BOOST_AUTO_TEST_CASE(a_late_response_is_not_used_for_the_next_call) {
  rig test;
  test.peer.EnqueueResponse({200, json::object(), false, milliseconds(1100)});
  BOOST_TEST((test.Start().result == start_result::kUnknown));
  test.peer.EnqueueResponse(409, {{"reason", "room"}});
  BOOST_TEST((test.Start().result == start_result::kNoRoom));
}

BOOST_AUTO_TEST_CASE(a_poll_reads_runs_and_ends) {
  rig test;
  test.peer.EnqueueResponse(
      200, {{"clock_ms", 482'113},
            {"born", 1'700'000'000'123},
            {"running", {{"5c0e7a21d94b36f8.0.1.17", 2, "00aa", 41, 350}}},
            {"finished",
             {{58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""},
              {59, "5c0e7a21d94b36f8.2.0.3", 4, "alone", "00bb"}}}});
  poll_request request{7, 57, 486'000, milliseconds(1000)};
  const auto report = Attempt([&] { return test.link->poll(request); });
  BOOST_REQUIRE(report);
  BOOST_TEST((test.peer.LastRequest().body == json{{"deadline_ms", 486'000},
                                                   {"fencing_token", 7},
                                                   {"observed", 57},
                                                   {"wait_ms", 1000}}));
  BOOST_TEST(report->clock_ms == 482'113);
  BOOST_TEST(report->incarnation == 1'700'000'000'123);
  BOOST_REQUIRE_EQUAL(report->running.size(), 1);
  BOOST_TEST((report->running[0].task == kTask));
  BOOST_TEST(report->running[0].run == 2);
  BOOST_TEST(report->running[0].checkpoint == "00aa");
  BOOST_TEST(report->running[0].percent == 41);
  BOOST_TEST(report->running[0].load == 350);
  BOOST_REQUIRE_EQUAL(report->ended.size(), 2);
  BOOST_TEST(report->ended[0].sequence == 58);
  BOOST_TEST((report->ended[0].outcome == run_outcome::kDone));
  BOOST_TEST((report->ended[1].outcome == run_outcome::kGangIncomplete));
  BOOST_TEST(report->ended[1].task.occurrence == 2);
  BOOST_TEST(report->ended[1].checkpoint == "00bb");
}

// Guards against an acknowledgement that reaches the next agent at an address:
// once the connection of the last report has closed, nothing is sent.
BOOST_AUTO_TEST_CASE(a_poll_for_the_same_agent_needs_its_connection) {
  rig test;
  poll_request renewal{7, 57, 486'000, {}};
  renewal.needs_same_agent = true;
  const json report = {
      {"clock_ms", 1}, {"running", json::array()}, {"finished", json::array()}};
  const auto poll = [&](const poll_request& request) {
    return Attempt([&] { return test.link->poll(request); });
  };
  BOOST_TEST((poll(renewal).failure.kind == error_kind::kConflict));
  BOOST_TEST(test.peer.RequestCount() == 0);
  test.peer.EnqueueResponse(200, report);
  test.peer.EnqueueResponse(200, report);
  BOOST_TEST(static_cast<bool>(poll({7, 0, {}, {}})));
  BOOST_TEST(static_cast<bool>(poll(renewal)));
  BOOST_TEST(test.peer.LastRequest().body.at("observed") == 57);
  test.peer.EnqueueResponse({200, json::object(), true});
  BOOST_TEST((poll({7, 0, {}, {}}).failure.kind == error_kind::kTimeout));
  BOOST_TEST((poll(renewal).failure.kind == error_kind::kConflict));
  BOOST_TEST(test.peer.RequestCount() == 3);
}

// A malformed row is logged; all other rows are read.
BOOST_AUTO_TEST_CASE(a_malformed_row_is_skipped) {
  rig test;
  test.peer.EnqueueResponse(
      200, {{"clock_ms", 1},
            {"running", {{"no task name", 2, "", 0}}},
            {"finished",
             {{1, "5c0e7a21d94b36f8.0.0.0", 1, "eaten", ""},
              {2, "5c0e7a21d94b36f8.0.0.1", 1, "failed", ""}}}});
  const auto report = Attempt([&] { return test.link->poll({7, 0, {}, {}}); });
  BOOST_REQUIRE(report);
  BOOST_TEST(report->running.empty());
  BOOST_REQUIRE_EQUAL(report->ended.size(), 1);
  BOOST_TEST((report->ended[0].outcome == run_outcome::kFailed));
  BOOST_TEST(test.logged.size() == 2);
}

BOOST_AUTO_TEST_CASE(each_failure_of_a_poll_has_its_error_kind) {
  const std::vector<std::pair<scripted_response, error_kind>> cases = {
      {{409, {{"reason", "fence"}}}, error_kind::kStaleEpoch},
      {{421}, error_kind::kNotFound},
      {{429}, error_kind::kUnavailable},
      {{503}, error_kind::kUnavailable},
      {{500}, error_kind::kTimeout},
      {{200, json::object(), true}, error_kind::kTimeout},
      {{200, {{"clock_ms", "text"}}}, error_kind::kCorrupt},
  };
  for (const auto& [response, expected] : cases) {
    rig test;
    test.peer.EnqueueResponse(response);
    const auto report = Attempt([&] {
      return test.link->poll({7, 0, {}, {}});
    });
    BOOST_TEST(!report);
    BOOST_TEST(
        (report.failure.kind == expected),
        "status " << response.status << ": " << Describe(report.failure));
  }
}

BOOST_AUTO_TEST_CASE(stop_and_pace_requests_carry_all_fields) {
  rig test;
  test.peer.EnqueueResponse(200, {{"clock_ms", 1}});
  BOOST_TEST(test.link->stop({"i-1", kTask, 2}, 7));
  BOOST_TEST(test.peer.LastRequest().target == "/api/run-stop");
  BOOST_TEST(
      (test.peer.LastRequest().body == json{{"task", "5c0e7a21d94b36f8.0.1.17"},
                                            {"run_id", 2},
                                            {"fencing_token", 7}}));
  test.peer.EnqueueResponse(409, {{"reason", "fence"}});
  BOOST_TEST(!test.link->stop({"i-1", kTask, 2}, 7));
  test.peer.EnqueueResponse(200, {{"clock_ms", 1}});
  BOOST_TEST(test.link->throttle({"i-1", kTask, 2, 40}, 7));
  BOOST_TEST(test.peer.LastRequest().target == "/api/pace");
  BOOST_TEST(test.peer.LastRequest().body.at("percentage") == 40);
}

}  // namespace
}  // namespace apricotwheel
