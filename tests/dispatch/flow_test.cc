#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/dispatch/fakes.h"

namespace apricotwheel {
namespace {

using std::chrono::seconds;

// A call to a peer fails. The outcome must be `not_run` only for errors after
// which the request cannot have run, and only then may a non-repeatable request
// be sent again.
BOOST_AUTO_TEST_CASE(each_peer_failure_has_its_outcome) {
  struct failure_case {
    error_kind kind;
    bool keyed;  // Fails at the key owner, else at the instance owner.
    std::string_view outcome;
    std::string_view reason;
  };
  const failure_case cases[] = {
      {error_kind::kUnavailable, false, "not_run", reason::kNoInstance},
      {error_kind::kNotFound, false, "not_run", reason::kNoInstance},
      {error_kind::kTimeout, false, "unknown", reason::kOwnerLost},
      {error_kind::kCorrupt, false, "unknown", reason::kOwnerLost},
      {error_kind::kOverloaded, false, "not_run", reason::kNoInstance},
      {error_kind::kShuttingDown, false, "unknown", reason::kOwnerLost},
      // An earlier attempt with the key may have run.
      {error_kind::kUnavailable, true, "unknown", reason::kOwnershipUncertain},
      {error_kind::kTimeout, true, "unknown", reason::kOwnerLost},
  };
  for (const failure_case& fault : cases) {
    flow_fixture test;
    test.local_capacity = {};
    test.AddPeer("peer.1", 8);
    test.AddPeer("peer.2", 8);
    if (fault.keyed) test.shard.owner = "peer.1";
    int calls = 0;
    test.call_peer = [&](const std::string&) {
      ++calls;
      return MakeFailedOutcome<wire_message>(fault.kind);
    };
    auto request = test.Request("POST");
    if (fault.keyed) request.idempotency_key = "k";
    const auto response = test.flow.HandleRequest(request);
    BOOST_TEST_CONTEXT(ToString(fault.kind) << " keyed " << fault.keyed) {
      BOOST_TEST(ToString(response.outcome) == fault.outcome);
      BOOST_TEST(response.reason == fault.reason);
      BOOST_TEST(calls == (fault.outcome == "not_run" && !fault.keyed ? 2 : 1));
    }
  }
}

// The first attempt times out and the second one finds the peer unreachable.
// The outcome must be `unknown`, because the first attempt may have run.
BOOST_AUTO_TEST_CASE(not_run_after_unknown_is_unknown) {
  flow_fixture test;
  test.local_capacity = {};
  test.AddPeer("peer.1", 8);
  test.AddPeer("peer.2", 4);
  int calls = 0;
  test.call_peer = [&](const std::string&) {
    return MakeFailedOutcome<wire_message>(
        ++calls == 1 ? error_kind::kTimeout : error_kind::kUnavailable);
  };
  for (int request = 0; request < 10; ++request) {  // Fills the retry budget.
    calls = 1;
    test.flow.HandleRequest(test.Request("POST"));
  }
  calls = 0;
  const auto response = test.flow.HandleRequest(test.Request("GET"));
  BOOST_TEST(calls == 2);
  BOOST_TEST(ToString(response.outcome) == "unknown");
}

// After an `unknown` outcome a request may be sent again only if it is
// repeatable, has no key and the retry budget allows it.
BOOST_AUTO_TEST_CASE(unknown_is_retried_only_if_allowed) {
  struct retry_case {
    std::string method;
    bool keyed;
    int earlier;  // Each earlier request adds a tenth of a retry to the budget.
    int runs;
  };
  const retry_case cases[] = {{"GET", false, 20, 3},
                              {"GET", false, 0, 1},
                              {"POST", false, 20, 1},
                              {"GET", true, 20, 1}};
  for (const retry_case& each : cases) {
    flow_fixture test;
    test.run_locally = [] {
      service_response response;
      response.outcome = request_outcome::kCompleted;
      return response;
    };
    for (int earlier = 0; earlier < each.earlier; ++earlier) {
      test.flow.HandleRequest(test.Request("POST"));
    }
    test.runs = 0;
    test.run_locally = [] { return MakeUnknown(reason::kInstanceFailed); };
    auto request = test.Request(each.method);
    if (each.keyed) request.idempotency_key = "k";
    const auto response = test.flow.HandleRequest(request);
    BOOST_TEST_CONTEXT(each.method << each.keyed << each.earlier) {
      BOOST_TEST(ToString(response.outcome) == "unknown");
      BOOST_TEST(test.runs.load() == each.runs);
    }
  }
}

// A budget of 10 percent must allow exactly 10 retries for 100 requests.
BOOST_AUTO_TEST_CASE(retry_budget_is_a_share_of_requests) {
  retry_budget budget(10);
  int retries = 0;
  for (int request = 0; request < 100; ++request) {
    budget.CountRequest();
    if (budget.TryConsumeRetry()) ++retries;
  }
  BOOST_TEST(retries == 10);
}

// The router must count requests in flight against the last summary of a peer,
// or all requests go to one peer until the next summary. It must prefer this
// daemon on a tie and skip draining and silent daemons.
BOOST_AUTO_TEST_CASE(router_spreads_and_skips) {
  flow_fixture test;
  router routes("self.1", test.clock);
  test.AddPeer("peer.1", 8);
  const auto pick = [&] {
    return *routes.PickOwner("listings", test.local_capacity, test.summaries,
                             {});
  };
  BOOST_TEST(pick() == "self.1");
  test.local_capacity.queued = 2;
  BOOST_TEST(pick() == "peer.1");
  {
    const router::in_flight_request first(routes, "peer.1", "listings");
    const router::in_flight_request second(routes, "peer.1", "listings");
    BOOST_TEST(pick() == "self.1");
  }
  test.summaries[0].gossip.draining = true;
  BOOST_TEST(pick() == "self.1");
  test.summaries[0].gossip.draining = false;
  test.clock->Advance(milliseconds(2100));
  BOOST_TEST(pick() == "self.1");
}

// Loads of a peer can arrive out of order: an older one must not replace a
// later one. A request must move only to a peer whose score is higher by 3, and
// a moved request counts against that score.
BOOST_AUTO_TEST_CASE(router_keeps_the_latest_state) {
  flow_fixture test;
  router routes("self.1", test.clock);
  test.AddPeer("peer.1", 8);
  wire::service_summaryT load;
  load.service = "listings";
  load.instances = 1;
  load.queued = 2;
  load.sequence = 2;
  routes.SetPeerLoad("peer.1", load);
  test.local_capacity.free_slots = 0;
  const auto pick = [&] {
    return *routes.PickOwner("listings", test.local_capacity, test.summaries,
                             {});
  };
  BOOST_TEST(pick() == "self.1");
  load.queued = 0;
  load.sequence = 1;
  load.free_slots = 8;
  routes.SetPeerLoad("peer.1", load);
  BOOST_TEST(pick() == "self.1");
  const auto better = [&](std::int64_t own) {
    return routes.ReserveBetterPeer("listings", own, test.summaries);
  };
  BOOST_TEST(!better(-4));
  BOOST_TEST(better(-5));
  BOOST_TEST(!better(-5));
  load.sequence = 3;
  routes.SetPeerLoad("peer.1", load);
  BOOST_TEST(pick() == "peer.1");
  load.sequence = 4;
  load.instances = 0;
  routes.SetPeerLoad("peer.1", load);
  BOOST_TEST(!better(-50));
  test.clock->Advance(milliseconds(100));
  test.summaries.clear();
  test.AddPeer("peer.1", 8);  // A later gossip message.
  BOOST_TEST(pick() == "peer.1");
}

// An instance owner returns a queued request to be moved. It must not be
// movable again, must keep the time that it waited, and must return to the
// first owner if no other owner accepts it.
BOOST_AUTO_TEST_CASE(moved_request_goes_on_once) {
  for (const bool other_owner : {true, false}) {
    flow_fixture test;
    if (other_owner) test.AddPeer("peer.1", 1);
    int here = 0;
    int calls = 0;
    test.run_locally = [&] {
      test.clock->Advance(milliseconds(5));
      service_response response = MakeNotRun(reason::kNoSlot);
      if (++here == 2) response.outcome = request_outcome::kCompleted;
      return response;
    };
    test.call_peer = [&](const std::string&) {
      ++calls;
      return MakeFailedOutcome<wire_message>(error_kind::kUnavailable);
    };
    const auto response = test.flow.HandleRequest(test.Request("POST"));
    BOOST_TEST(ToString(response.outcome) == "completed");
    BOOST_TEST(here == 2);
    BOOST_TEST(calls == (other_owner ? 1 : 0));
    BOOST_TEST(!test.last_request.movable);
    BOOST_TEST((test.last_request.waited == milliseconds(5)));
    const auto wire =
        ToWire(test.last_request, wire::dispatch_stage::instance_owner,
               test.clock->Now());
    BOOST_TEST((FromWire(wire, test.clock->Now()).waited == milliseconds(5)));
  }
}

// Concurrent and later repeats of a key must get the response of its only run.
// The key must be rejected for a request with another body.
BOOST_AUTO_TEST_CASE(repeated_keys_run_once) {
  flow_fixture test;
  auto request = test.Request("POST");
  request.idempotency_key = "k";
  std::atomic<bool> release = false;
  test.run_locally = [&] {
    while (!release) std::this_thread::sleep_for(milliseconds(1));
    service_response response;
    response.outcome = request_outcome::kCompleted;
    response.status = 201;
    response.body = "first";
    return response;
  };
  std::vector<std::thread> callers;
  std::atomic<int> same = 0;
  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&] {
      if (test.flow.HandleRequest(request).body == "first") ++same;
    });
  }
  std::this_thread::sleep_for(milliseconds(20));
  release = true;
  for (auto& caller : callers) caller.join();
  BOOST_TEST(same.load() == 4);
  BOOST_TEST(test.flow.HandleRequest(request).status == 201);
  BOOST_TEST(test.runs.load() == 1);
  request.body = "other";
  BOOST_TEST(test.flow.HandleRequest(request).reason == reason::kKeyReused);
}

// A new owner without the history of a shard must not run a key before the
// retention has passed. An owner without a lease must not run a key, because
// another owner could exist.
BOOST_AUTO_TEST_CASE(keys_need_history_and_lease) {
  flow_fixture test;
  auto request = test.Request("POST");
  request.idempotency_key = "k";
  test.shard.epoch = 2;
  BOOST_TEST(test.flow.HandleRequest(request).reason ==
             reason::kKeyHistoryLost);
  test.clock->Advance(seconds(60));
  test.holds_lease = false;
  BOOST_TEST(test.flow.HandleRequest(request).reason ==
             reason::kOwnershipUncertain);
  BOOST_TEST(test.runs.load() == 0);
  request.ticket = *Attempt([&] { return test.flow.IssueTicket(); });
  BOOST_TEST(test.flow.HandleRequest(request).status ==
             200);  // Needs no lease.
  test.holds_lease = true;
  request.ticket.clear();
  BOOST_TEST(test.flow.HandleRequest(request).status == 200);
}

// The first attempt of a key may have run. A repeat must not end `not_run`
// after a hand-over, without a lease, without an owner or during a planned
// stop.
BOOST_AUTO_TEST_CASE(refused_repeats_are_not_claimed_not_run) {
  flow_fixture test;
  auto request = test.Request("POST");
  request.idempotency_key = "k";
  test.run_locally = [] { return MakeUnknown(reason::kInstanceFailed); };
  BOOST_TEST(test.flow.HandleRequest(request).reason ==
             reason::kInstanceFailed);
  test.flow.StartDraining();
  BOOST_TEST(test.flow.HandleRequest(request).reason ==
             reason::kInstanceFailed);
  auto fresh = request;
  while (ShardOf(fresh.idempotency_key) != ShardOf("k") ||
         fresh.idempotency_key == "k") {
    fresh.idempotency_key += "f";
  }
  // This daemon sent no attempt and there is no successor yet.
  BOOST_TEST(ToString(test.flow.HandleRequest(fresh).outcome) == "not_run");
  test.holds_lease = false;
  BOOST_TEST(ToString(test.flow.HandleRequest(fresh).outcome) == "unknown");
  test.holds_lease = true;
  BOOST_TEST(
      test.flow.KeyRegistry().StartHandover(ShardOf("k"), 1 << 20).has_value());
  BOOST_TEST(test.flow.HandleRequest(request).reason ==
             reason::kInstanceFailed);
  BOOST_TEST(ToString(test.flow.HandleRequest(fresh).outcome) == "unknown");
  test.shard.owner = "";
  BOOST_TEST(ToString(test.flow.HandleRequest(request).outcome) == "unknown");
  test.shard.owner = "peer.1";
  BOOST_TEST(ToString(test.flow.HandleRequest(request).outcome) == "unknown");
  BOOST_TEST(test.runs.load() == 1);
}

// A ticket must run once, and not after its record has expired or under a later
// epoch. A malformed ticket must be rejected.
BOOST_AUTO_TEST_CASE(tickets_run_once_under_their_epoch) {
  flow_fixture test;
  auto request = test.Request("POST");
  request.ticket = *Attempt([&] { return test.flow.IssueTicket(); });
  BOOST_TEST(test.flow.HandleRequest(request).status == 200);
  BOOST_TEST(test.flow.HandleRequest(request).status == 200);
  BOOST_TEST(test.runs.load() == 1);
  test.clock->Advance(seconds(61));
  test.flow.KeyRegistry().RemoveExpiredRecords();
  BOOST_TEST(test.flow.KeyRegistry().CountRecords() == 0);
  BOOST_TEST(test.flow.HandleRequest(request).reason == reason::kTicketExpired);
  request.ticket = *Attempt([&] { return test.flow.IssueTicket(); });
  test.shard.epoch = 2;
  BOOST_TEST(test.flow.HandleRequest(request).reason == reason::kTicketExpired);
  request.ticket = "0.1.x";
  BOOST_TEST(test.flow.HandleRequest(request).status == 400);
  BOOST_TEST(test.runs.load() == 1);
}

// A hand-over passes the records of a shard to the next owner. The old owner
// must run no new ticket afterwards, and an owner of a later epoch must not use
// the records. A used ticket whose record has expired must not run at the
// successor, even though its clock differs.
BOOST_AUTO_TEST_CASE(handover_keeps_history) {
  flow_fixture old_owner;
  auto used = old_owner.Request("POST");
  used.ticket = *Attempt([&] { return old_owner.flow.IssueTicket(); });
  auto aged = used;
  old_owner.flow.HandleRequest(aged);
  old_owner.clock->Advance(seconds(61));
  used.ticket = *Attempt([&] { return old_owner.flow.IssueTicket(); });
  const auto shard = *ShardOfRequest(used);
  aged.ticket =
      std::to_string(shard) + aged.ticket.substr(aged.ticket.find('.'));
  old_owner.flow.HandleRequest(used);
  auto fresh = used;
  fresh.ticket.back() = fresh.ticket.back() == '0' ? '1' : '0';
  const auto handover =
      old_owner.flow.KeyRegistry().StartHandover(shard, 1 << 20);
  BOOST_TEST_REQUIRE(handover.has_value());
  BOOST_TEST(old_owner.flow.HandleRequest(fresh).reason ==
             reason::kOwnershipUncertain);
  for (const std::uint64_t epoch : {2, 3}) {
    flow_fixture successor;
    successor.clock->Advance(seconds(1000));  // The clocks of daemons differ.
    BOOST_TEST(successor.flow.KeyRegistry().AcceptHandover(*handover).accepted);
    successor.shard.epoch = epoch;
    const bool direct = epoch == 2;
    BOOST_TEST(successor.flow.HandleRequest(used).status ==
               (direct ? 200 : 502));
    BOOST_TEST(successor.runs.load() == 0);
    BOOST_TEST(successor.flow.HandleRequest(aged).reason ==
               reason::kTicketExpired);
    BOOST_TEST(successor.flow.HandleRequest(fresh).status ==
               (direct ? 200 : 502));
    BOOST_TEST(successor.runs.load() == (direct ? 1 : 0));
  }
}

// The number of records is limited. A response whose body exceeds the limit
// must be recorded as `unknown`, not returned truncated.
BOOST_AUTO_TEST_CASE(registry_bounds_its_memory) {
  const auto clock = runtime_clock::Paused();
  key_registry keys({.max_recorded_body_bytes = 4,
                     .max_records = 1,
                     .clock = clock,
                     .holds_lease = [] { return true; }});
  service_request request;
  request.idempotency_key = "a";
  keys.SetOwnership(ShardOf("a"), 1, true);
  const auto run = [] {
    service_response response;
    response.outcome = request_outcome::kCompleted;
    response.status = 200;
    response.body = "too long";
    return response;
  };
  const auto deadline = clock->Now() + seconds(1);
  BOOST_TEST(keys.RunOnce(request, deadline, run).body == "too long");
  const auto repeat = keys.RunOnce(request, deadline, run);
  BOOST_TEST(repeat.body.empty());
  BOOST_TEST(repeat.reason == reason::kNotRecorded);
  BOOST_TEST(repeat.status == 502);
  BOOST_TEST((repeat.outcome == request_outcome::kUnknown));
  std::string other = "b";
  while (ShardOf(other) != ShardOf("a")) other += "b";
  request.idempotency_key = other;
  BOOST_TEST(keys.RunOnce(request, deadline, run).reason == reason::kQueueFull);
  clock->Advance(seconds(60));
  BOOST_TEST(keys.RunOnce(request, deadline, run).status == 200);
}

// During a planned stop no request may start, but repeats of a key must get the
// recorded response. Hop-by-hop headers must not be passed on.
BOOST_AUTO_TEST_CASE(planned_stop_and_headers) {
  flow_fixture test;
  admitted_request admitted;
  admitted.request = test.Request("POST");
  admitted.request.idempotency_key = "k";
  admitted.deadline = test.clock->Now() + seconds(1);
  const auto keyed =
      ToWire(admitted, wire::dispatch_stage::key_owner, test.clock->Now());
  BOOST_TEST(test.flow.HandlePeerRequest(keyed).status == 200);
  test.flow.StartDraining();
  BOOST_TEST(test.flow.HandlePeerRequest(keyed).status == 200);
  const auto plain =
      ToWire(admitted, wire::dispatch_stage::instance_owner, test.clock->Now());
  BOOST_TEST(test.flow.HandlePeerRequest(plain).reason ==
             reason::kShuttingDown);
  BOOST_TEST(test.flow.HandleRequest(test.Request("GET")).reason ==
             reason::kShuttingDown);
  BOOST_TEST(test.runs.load() == 1);
  const auto kept = EndToEndHeaders({{"Connection", "close, X-Hop"},
                                     {"x-hop", "1"},
                                     {"Transfer-Encoding", "chunked"},
                                     {"X-End", "2"}});
  BOOST_TEST_REQUIRE(kept.size() == 1);
  BOOST_TEST(kept[0].first == "X-End");
}

}  // namespace
}  // namespace apricotwheel
