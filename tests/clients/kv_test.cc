#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "clients/http_connection.h"
#include "clients/kv_client.h"
#include "testing/kv_standin.h"

namespace apricotwheel {
namespace {

namespace data = boost::unit_test::data;
using standins::kv_faults;
using standins::kv_outage;
using standins::kv_standin;

constexpr auto kCallTimeout = milliseconds(200);

struct fixture {
  clock_ptr clock = runtime_clock::Running();
  std::unique_ptr<kv_standin> service = kv_standin::Start({}).value();
  std::unique_ptr<kv_client> client =
      kv_client::Create({service->Address(), milliseconds(200), kCallTimeout})
          .value();

  error_kind PutKind(const std::string& value, const kv_put_options& options) {
    const auto done = Attempt([&] { return client->Put("k", value, options); });
    BOOST_REQUIRE(!done);
    return done.failure.kind;
  }
};

struct fault_row {
  const char* name;
  kv_faults faults;
  error_kind expected;
  bool applied;  // Whether the write takes effect in the end.
};
std::ostream& operator<<(std::ostream& out, const fault_row& row) {
  return out << row.name;
}

const fault_row kFaultRows[] = {
    {"refused", {kv_outage::kRefuse, 0, 0}, error_kind::kUnavailable, false},
    {"closed", {kv_outage::kClose, 0, 0}, error_kind::kTimeout, false},
    {"hanging", {kv_outage::kHang, 0, 0}, error_kind::kTimeout, true},
    {"slow", {kv_outage::kNone, 400, 0}, error_kind::kTimeout, true},
    {"lost reply", {kv_outage::kNone, 0, 1}, error_kind::kTimeout, true},
};

// Guards against a client that reports a write as having no effect although it
// was or will be applied.
BOOST_DATA_TEST_CASE(put_under_fault, data::make(kFaultRows), row) {
  fixture test;
  test.service->SetFaults(row.faults);
  BOOST_TEST((test.PutKind("v", {}) == row.expected));
  test.clock->SleepFor(milliseconds(400));
  test.service->SetFaults({});
  test.clock->SleepFor(milliseconds(50));
  BOOST_TEST(test.client->Get("k").value().has_value() == row.applied);
}

// Guards against a `timeout` for a call to a service that cannot be reached and
// therefore has applied nothing.
BOOST_AUTO_TEST_CASE(stopped_service_is_unavailable) {
  fixture test;
  test.service.reset();
  BOOST_TEST((test.PutKind("v", {}) == error_kind::kUnavailable));
}

// Guards against a compare-and-swap that succeeds for a second writer with the
// same expected revision.
BOOST_AUTO_TEST_CASE(compare_and_swap_admits_one_writer) {
  fixture test;
  const auto first = test.client->Put("k", "a", {0, {}}).value();
  BOOST_TEST((test.PutKind("b", {0, {}}) == error_kind::kConflict));
  BOOST_TEST(test.client->Put("k", "c", {first, {}}).value() > first);
  BOOST_TEST((test.PutKind("d", {first, {}}) == error_kind::kConflict));
  BOOST_TEST(test.client->Get("k").value()->value == "c");
}

// Guards against values that exceed the service's size limit or that are not
// valid UTF-8.
BOOST_AUTO_TEST_CASE(values_are_checked) {
  fixture test;
  BOOST_TEST((test.PutKind(std::string((1 << 20) + 1, 'x'), {}) ==
              error_kind::kInvalidArgument));
  BOOST_TEST((test.PutKind("\xff\xfe", {}) == error_kind::kInvalidArgument));
  BOOST_TEST(test.client->Put("k", std::string(1 << 20, '\n')).value() > 0u);
}

struct confirm_row {
  const char* name;
  kv_faults faults;
  const char* competing_value;  // Stored first by another writer, or null.
  bool fault_ends;              // Whether the fault ends within the deadline.
  std::optional<error_kind> failure;
};
std::ostream& operator<<(std::ostream& out, const confirm_row& row) {
  return out << row.name;
}

const confirm_row kConfirmRows[] = {
    {"lost reply", {kv_outage::kNone, 0, 1}, nullptr, true, {}},
    {"two lost replies", {kv_outage::kNone, 0, 2}, nullptr, true, {}},
    {"closed, then up", {kv_outage::kClose, 0, 0}, nullptr, true, {}},
    {"hung, then up", {kv_outage::kHang, 0, 0}, nullptr, true, {}},
    {"another won", {}, "other", true, error_kind::kConflict},
    {"down",
     {kv_outage::kRefuse, 0, 0},
     nullptr,
     false,
     error_kind::kUnavailable},
    {"closed for long",
     {kv_outage::kClose, 0, 0},
     nullptr,
     false,
     error_kind::kTimeout},
};

// Guards against a write that is applied twice or reported as lost when its
// response was lost. The entry must end at revision 1.
BOOST_DATA_TEST_CASE(put_confirmed_under_fault, data::make(kConfirmRows), row) {
  fixture test;
  if (row.competing_value != nullptr)
    test.client->Put("k", row.competing_value).value();
  test.service->SetFaults(row.faults);
  std::thread repair([&] {
    test.clock->SleepFor(milliseconds(350));
    if (row.fault_ends) test.service->SetFaults({});
  });
  const auto confirmed = Attempt([&] {
    return test.client->PutConfirmed("k", "mine", 0, *test.clock,
                                     test.clock->Now() + milliseconds(1200));
  });
  repair.join();
  BOOST_TEST(bool(confirmed) == !row.failure.has_value());
  if (row.failure) {
    BOOST_TEST((confirmed.failure.kind == *row.failure));
  } else {
    test.service->SetFaults({});
    const auto entry = test.client->Get("k").value();
    BOOST_TEST(entry->value == "mine");
    BOOST_TEST(entry->revision == *confirmed);
    BOOST_TEST(entry->revision == 1u);
  }
}

// Guards against entries that outlive their lease, and against watches that do
// not report the deletion.
BOOST_AUTO_TEST_CASE(lease_expiry_deletes_and_wakes_the_watch) {
  fixture test;
  const auto lease = test.client->GrantLease(milliseconds(300)).value();
  const auto revision = test.client->Put("m/1", "x", {{}, lease}).value();
  test.clock->SleepFor(milliseconds(200));
  BOOST_TEST(bool(Attempt([&] { return test.client->RenewLease(lease); })));
  test.clock->SleepFor(milliseconds(200));
  BOOST_TEST(test.client->Get("m/1").value().has_value());
  const auto seen =
      test.client->Watch("m/", revision, milliseconds(2000)).value();
  BOOST_REQUIRE(seen.events.size() == 1u);
  BOOST_TEST(seen.events[0].deleted);
  const auto renewed = Attempt([&] { return test.client->RenewLease(lease); });
  BOOST_TEST((renewed.failure.kind == error_kind::kNotFound));
}

// Guards against a watch that drops or repeats events, or returns those of
// other prefixes.
BOOST_AUTO_TEST_CASE(watch_returns_each_event_once) {
  fixture test;
  test.client->Put("a/1", "1").value();
  test.client->Put("b/1", "1").value();
  const auto first = test.client->Watch("a/", 0, milliseconds(0)).value();
  BOOST_TEST(first.events.size() == 1u);
  std::thread writer([&] {
    test.clock->SleepFor(milliseconds(50));
    test.client->Put("a/2", "2").value();
  });
  const auto next =
      test.client->Watch("a/", first.revision, milliseconds(2000)).value();
  writer.join();
  BOOST_REQUIRE(next.events.size() == 1u);
  BOOST_TEST(next.events[0].entry.key == "a/2");
  const auto none =
      test.client->Watch("a/", next.revision, milliseconds(20)).value();
  BOOST_TEST(none.events.empty());
}

// Guards against a watch that silently skips events because its start revision
// is older than the history that the service keeps.
BOOST_AUTO_TEST_CASE(watch_reports_lost_history) {
  standins::kv_standin_options options;
  options.max_history_events = 2;
  const auto service = kv_standin::Start(options).value();
  const auto client =
      kv_client::Create({.address = service->Address()}).value();
  for (int i = 0; i < 4; ++i) client->Put("k", std::to_string(i)).value();
  BOOST_TEST(client->Watch("k", 1, milliseconds(0)).value().history_lost);
  BOOST_TEST(!client->Watch("k", 2, milliseconds(0)).value().history_lost);
  BOOST_TEST(service->CallCount("put") == 4u);
  BOOST_TEST(service->CallCount("watch") == 2u);
}

// Guards against a call that fails, or reports a possible effect, because the
// server closed its pooled connection while it was idle.
BOOST_AUTO_TEST_CASE(pooled_connection_survives_a_server_restart) {
  fixture test;
  test.client->Put("k", "v").value();
  const auto address = test.service->Address();
  test.service.reset();
  standins::kv_standin_options options;
  options.listen = address;
  test.service = kv_standin::Start(options).value();
  BOOST_TEST(!test.client->Get("k").value().has_value());
}

// Guards against a long path that overflows the stack of a connection thread
// through the recursion of std::regex.
BOOST_AUTO_TEST_CASE(long_paths_are_refused) {
  fixture test;
  http_connection connection(ParseEndpoint(test.service->Address()).value());
  const auto status = [&](std::size_t length) {
    http_request call;
    call.target = "/" + std::string(length - 1, 'a');
    return connection.Exchange(call, kCallTimeout, kCallTimeout).value().status;
  };
  BOOST_TEST(status(8000) == 404);
  BOOST_TEST(status(8001) == 414);
}

}  // namespace
}  // namespace apricotwheel
