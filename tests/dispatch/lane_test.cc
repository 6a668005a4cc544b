#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/dispatch/fakes.h"

namespace apricotwheel {
namespace {

// Sending a request to an instance fails. The outcome must be `not_run` only
// for errors after which the request cannot have run, and only then may it be
// sent again.
BOOST_AUTO_TEST_CASE(each_send_failure_has_its_outcome) {
  struct failure_case {
    error_kind kind;
    request_outcome outcome;
    int runs;
  };
  const failure_case cases[] = {
      {error_kind::kUnavailable, request_outcome::kNotRun, 4},
      {error_kind::kStaleEpoch, request_outcome::kNotRun, 1},
      {error_kind::kCapacity, request_outcome::kNotRun, 1},
      {error_kind::kTimeout, request_outcome::kUnknown, 1},
      {error_kind::kCorrupt, request_outcome::kUnknown, 1},
      {error_kind::kInternal, request_outcome::kUnknown, 1},
  };
  for (const failure_case& fault : cases) {
    executor_fixture test;
    test.SetRecord(MakeRecord("a"));
    test.upstream.respond = [&](const instance_request&) {
      // The refusal leaves no usable instance, and the request waits until its
      // deadline.
      if (fault.kind == error_kind::kStaleEpoch ||
          fault.kind == error_kind::kCapacity) {
        test.clock->Advance(std::chrono::seconds(2));
      }
      return MakeFailedOutcome<instance_response>(fault.kind);
    };
    const auto response = test.executor.Run(test.Request());
    BOOST_TEST_CONTEXT(ToString(fault.kind)) {
      BOOST_TEST(ToString(response.outcome) == ToString(fault.outcome));
      BOOST_TEST(test.upstream.runs.load() == fault.runs);
    }
  }
}

// 32 threads send requests to one instance with 8 slots. It must never have
// more than 8 requests, also while the instance list is set again.
BOOST_AUTO_TEST_CASE(slot_limit_holds_under_many_threads) {
  executor_fixture test;
  test.SetRecord(MakeRecord("a"));
  test.upstream.respond = [](const instance_request&) {
    std::this_thread::sleep_for(milliseconds(1));
    outcome<instance_response> answered;
    answered.value = instance_response{200, {}, ""};
    return answered;
  };
  std::atomic<int> completed = 0;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 32; ++caller) {
    callers.emplace_back([&] {
      for (int request = 0; request < 20; ++request) {
        const auto response = test.executor.Run(test.Request());
        if (response.outcome == request_outcome::kCompleted) ++completed;
        // A new list with the same instance must keep the count of used slots.
        if (caller == 0) test.SetRecord(MakeRecord("a"));
      }
    });
  }
  for (auto& caller : callers) caller.join();
  BOOST_TEST(completed.load() == 640);
  BOOST_TEST(test.upstream.max_slots.load() == 8);
  BOOST_TEST(test.upstream.opened.load() <= 8);  // Connections are reused.
}

// No request may be sent before the authority starts, without an authority, or
// to an instance that accepts no requests.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_authority) {
  for (int fault = 0; fault < 3; ++fault) {
    executor_fixture test;
    auto record = MakeRecord("a");
    if (fault == 0) record.predecessor_authority_ended = false;
    if (fault == 1) record.accepting = false;
    if (fault == 2) test.has_authority = false;
    test.SetRecord(record);
    std::thread later([&] {
      std::this_thread::sleep_for(milliseconds(20));
      test.clock->Advance(std::chrono::seconds(2));
    });
    const auto response = test.executor.Run(test.Request());
    later.join();
    BOOST_TEST(response.reason == reason::kDeadline);
    BOOST_TEST(test.upstream.runs.load() == 0);
  }
}

// The authority ends between the choice of the instance and the send. The
// request must not be sent. The clock passes the deadline only after that
// check, while the request waits for another instance.
BOOST_AUTO_TEST_CASE(authority_is_read_again_before_the_send) {
  executor_fixture test;
  auto options = test.Options();
  options.open_connection = [&](const std::string& address) {
    test.has_authority = false;
    return test.upstream.Opener()(address);
  };
  service_executor executor(options);
  const auto record = MakeRecord("a");
  executor.SetInstances({&record, 1});
  std::atomic<bool> ended = false;
  std::thread later([&] {
    // Waits long enough for a send to happen if the authority is not read
    // again.
    for (int step = 0; step < 50 && !ended; ++step) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    test.clock->Advance(std::chrono::seconds(2));
  });
  const auto response = executor.Run(test.Request());
  ended = true;
  later.join();
  BOOST_TEST((response.outcome == request_outcome::kNotRun));
  BOOST_TEST(test.upstream.opened.load() == 1);
  BOOST_TEST(test.upstream.runs.load() == 0);
}

// Queued requests move to another owner: only movable ones, the newest first,
// and none that was already sent. The slot count must be right afterwards.
BOOST_AUTO_TEST_CASE(only_waiting_requests_move) {
  executor_fixture test;
  auto record = MakeRecord("a");
  record.slots = 1;
  test.SetRecord(record);
  std::atomic<bool> release = false;
  test.upstream.respond = [&](const instance_request&) {
    for (int step = 0; step < 3000 && !release; ++step) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    outcome<instance_response> answered;
    answered.value = instance_response{200, {}, ""};
    return answered;
  };
  std::vector<service_response> responses(4);
  std::vector<std::thread> callers;
  const auto start = [&](std::size_t index, bool movable) {
    auto admitted = test.Request();
    admitted.movable = movable;
    callers.emplace_back([&test, &responses, index, admitted] {
      responses[index] = test.executor.Run(admitted);
    });
    const auto queued = static_cast<std::int64_t>(index);
    const auto queues = [&] {
      return test.executor.Capacity().queued == queued &&
             test.upstream.runs > 0;
    };
    for (int step = 0; step < 1000 && !queues(); ++step) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    BOOST_TEST(queues());
    test.clock->Advance(milliseconds(1));
  };
  start(0, true);  // Runs.
  start(1, true);
  start(2, true);  // The newest that may move.
  start(3, false);
  BOOST_TEST(test.executor.TakeCapacityChange().has_value());
  BOOST_TEST(!test.executor.TakeCapacityChange().has_value());
  std::vector<std::int64_t> scores;
  test.executor.MoveQueuedRequests([&](std::int64_t score) {
    scores.push_back(score);
    return score == -3;
  });
  BOOST_TEST((scores == std::vector<std::int64_t>{-3, -2}));
  callers[2].join();
  BOOST_TEST(responses[2].reason == reason::kNoSlot);
  BOOST_TEST(ToString(responses[2].outcome) == "not_run");
  release = true;
  for (const std::size_t index : {0, 1, 3}) {
    callers[index].join();
    BOOST_TEST(responses[index].status == 200);
  }
  BOOST_TEST(test.upstream.runs.load() == 3);
  BOOST_TEST(test.executor.Capacity().free_slots == 1);
}

// The last instance of the service disappears while a request is queued. The
// request must end at once, not at its deadline.
BOOST_AUTO_TEST_CASE(waiters_end_with_the_last_instance) {
  executor_fixture test;
  auto record = MakeRecord("a");
  record.predecessor_authority_ended = false;
  test.SetRecord(record);
  service_response response;
  std::thread caller([&] { response = test.executor.Run(test.Request()); });
  while (test.executor.Capacity().queued == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  test.executor.SetInstances({});
  caller.join();
  BOOST_TEST(response.reason == reason::kNoInstance);
  BOOST_TEST(test.upstream.runs.load() == 0);
}

// An idle connection must be closed after 10 s and no longer be counted.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed) {
  instance_pool pool({.authority_expiry = [](std::string_view) {
    return std::optional(time_point::max());
  }});
  fake_instance upstream;
  const time_point now{std::chrono::hours(1)};
  const auto record = MakeRecord("a");
  pool.SetInstances({&record, 1}, now);
  auto lease = pool.Acquire(now);
  lease->connection = *upstream.Opener()("");
  pool.Release(*lease, lease_end_reason::kCompleted, now);
  BOOST_TEST(
      pool.TakeExpiredConnections(now + std::chrono::seconds(9)).empty());
  BOOST_TEST(pool.Instances()[0]->local_connections == 1);
  BOOST_TEST(
      pool.TakeExpiredConnections(now + std::chrono::seconds(10)).size() == 1);
  BOOST_TEST(pool.Instances()[0]->local_connections == 0);
}

// Each request must have the epoch of the partition, which an instance needs to
// refuse requests of a superseded owner.
BOOST_AUTO_TEST_CASE(requests_carry_the_epoch_of_the_partition) {
  executor_fixture test;
  auto record = MakeRecord("a");
  record.epoch = 7;
  test.SetRecord(record);
  std::uint64_t sent = 0;
  test.upstream.respond = [&](const instance_request& request) {
    sent = request.epoch;
    outcome<instance_response> answered;
    answered.value = instance_response{200, {}, ""};
    return answered;
  };
  BOOST_TEST(test.executor.Run(test.Request()).status == 200);
  BOOST_TEST(sent == 7);
}

// An instance with an open circuit breaker must have no free slots, and one
// after the backoff.
BOOST_AUTO_TEST_CASE(open_breaker_takes_the_slots) {
  executor_fixture test;
  test.SetRecord(MakeRecord("a"));
  test.upstream.respond = [](const instance_request&) {
    return MakeFailedOutcome<instance_response>(error_kind::kCorrupt);
  };
  for (int run = 0; run < 5; ++run) test.executor.Run(test.Request());
  test.ReadUsage();  // Frees the slots of the `unknown` requests.
  BOOST_TEST(test.executor.Capacity().free_slots == 0);
  test.clock->Advance(milliseconds(400));  // Longer than the backoff.
  BOOST_TEST(test.executor.Capacity().free_slots == 1);
}

// Requests of a predecessor may still hold slots of an instance. They must be
// counted as used until the instance reports them as free.
BOOST_AUTO_TEST_CASE(foreign_use_counts_until_it_is_zero) {
  executor_fixture test;
  auto record = MakeRecord("a");
  record.may_have_predecessor_requests = true;
  test.upstream.reported_slots = 5;
  test.SetRecord(record);
  BOOST_TEST(test.executor.Capacity().free_slots == 0);  // Not read yet.
  test.ReadUsage();
  BOOST_TEST(test.executor.Capacity().free_slots == 3);
  test.upstream.reported_slots = 0;
  test.clock->Advance(milliseconds(100));
  test.ReadUsage();
  BOOST_TEST(test.executor.Capacity().free_slots == 8);
}

// A request that ended `unknown` may still hold its slot. The slot must not be
// used again until the instance reports it as free.
BOOST_AUTO_TEST_CASE(unknown_requests_hold_their_slot_until_reported_free) {
  executor_fixture test;
  test.SetRecord(MakeRecord("a"));
  test.upstream.respond = [](const instance_request&) {
    return MakeFailedOutcome<instance_response>(error_kind::kTimeout);
  };
  test.executor.Run(test.Request());
  test.executor.Run(test.Request());
  BOOST_TEST(test.executor.Capacity().free_slots == 6);
  test.upstream.reported_slots = 1;
  test.ReadUsage();
  BOOST_TEST(test.executor.Capacity().free_slots == 7);
  test.upstream.reported_slots = 0;
  test.clock->Advance(milliseconds(100));
  test.ReadUsage();
  BOOST_TEST(test.executor.Capacity().free_slots == 8);
}

// Requests of this daemon are always in flight, so no usage report is exact and
// unleased use could stay counted for ever. The instance must get no new
// requests until an exact read is done.
BOOST_AUTO_TEST_CASE(busy_instance_is_quiesced_for_an_exact_read) {
  instance_pool pool({.authority_expiry = [](std::string_view) {
    return std::optional(time_point::max());
  }});
  const time_point now{std::chrono::hours(1)};
  const auto record = MakeRecord("a");
  pool.SetInstances({&record, 1}, now);
  auto held = pool.Acquire(now);
  auto lost = pool.Acquire(now);
  pool.Release(*lost, lease_end_reason::kUnknown, now);
  BOOST_TEST(pool.CountFreeSlots(now) == 6);
  const auto later = now + std::chrono::seconds(2);
  BOOST_TEST(!pool.StartUsageRead(later).has_value());  // One is in flight.
  BOOST_TEST(pool.CountFreeSlots(later) == 0);
  pool.Release(*held, lease_end_reason::kCompleted, later);
  auto read = pool.StartUsageRead(later);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(!pool.Acquire(later).has_value());
  outcome<instance_usage> usage;
  usage.value = instance_usage{0, 0};
  pool.FinishUsageRead(*read, usage, later);
  BOOST_TEST(pool.CountFreeSlots(later) == 8);
}

// The leased slots of an instance must still be counted when it leaves the list
// and returns. The number of connections must stay within the limit.
BOOST_AUTO_TEST_CASE(use_survives_a_gap_and_connections_are_bounded) {
  instance_pool pool({.authority_expiry = [](std::string_view) {
    return std::optional(time_point::max());
  }});
  const time_point now{std::chrono::hours(1)};
  auto record = MakeRecord("a");
  record.connections = 4;  // One is reserved for the read of a successor.
  pool.SetInstances({&record, 1}, now);
  std::vector<slot_lease> held;
  while (auto lease = pool.Acquire(now)) held.push_back(*lease);
  BOOST_TEST(held.size() == 3);
  pool.SetInstances({}, now);
  pool.SetInstances({&record, 1}, now);
  BOOST_TEST(pool.CountFreeSlots(now) == 0);
}

// The breaker must open after 3 failures, allow exactly one probe after the
// backoff, and wait longer after a failed probe.
BOOST_AUTO_TEST_CASE(breaker_opens_and_probes_once) {
  circuit_breaker breaker(3, 7);
  time_point now{std::chrono::hours(1)};
  for (int failure = 0; failure < 3; ++failure) {
    BOOST_TEST(breaker.AllowsRequest(now));
    breaker.OnRequestStart(now);
    breaker.OnFailure(now);
  }
  BOOST_TEST(!breaker.AllowsRequest(now));
  now += milliseconds(200);
  BOOST_TEST(breaker.AllowsRequest(now));
  breaker.OnRequestStart(now);
  BOOST_TEST(!breaker.AllowsRequest(now));
  breaker.OnFailure(now);
  BOOST_TEST(
      !breaker.AllowsRequest(now + milliseconds(199)));  // Longer backoff.
  now += milliseconds(400);
  breaker.OnRequestStart(now);
  breaker.OnSuccess();
  BOOST_TEST((breaker.State(now) == breaker_state::kClosed));
}

// Urgent requests come first, but a batch request must not starve. The queue
// must reject requests over its limit and those that would miss their deadline.
BOOST_AUTO_TEST_CASE(queue_orders_ages_and_sheds) {
  request_queue queue(2);
  const time_point start{std::chrono::hours(1)};
  const auto enter = [&](std::uint64_t id, priority_class priority,
                         duration after, duration span) {
    return queue.Enqueue({id, start + after, start + after + span}, priority, 8,
                         false);
  };
  const duration minute = std::chrono::minutes(1);
  BOOST_TEST(!enter(1, priority_class::kBatch, duration(0), minute));
  BOOST_TEST(!enter(2, priority_class::kUrgent, milliseconds(500), minute));
  BOOST_TEST(!enter(3, priority_class::kUrgent, milliseconds(600), minute));
  BOOST_TEST(*enter(4, priority_class::kUrgent, milliseconds(600), minute) ==
             reason::kQueueFull);
  BOOST_TEST(*queue.Front(start + milliseconds(700)) == 2);
  BOOST_TEST(*queue.Front(start + std::chrono::seconds(2)) == 1);
  queue.RecordServiceTime(std::chrono::seconds(8));
  BOOST_TEST(*enter(5, priority_class::kBatch, milliseconds(700),
                    std::chrono::seconds(3)) == reason::kDeadline);
  BOOST_TEST(!enter(6, priority_class::kBatch, milliseconds(700), minute));
}

}  // namespace
}  // namespace apricotwheel
