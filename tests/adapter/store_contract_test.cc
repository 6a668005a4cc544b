#include <boost/test/unit_test.hpp>

#include "platform/store.h"
#include "tests/adapter/scripted_peer.h"

namespace apricotwheel {
namespace {

using nlohmann::json;
using testing::scripted_peer;
using testing::scripted_response;

struct rig {
  scripted_peer peer;
  std::unique_ptr<kv_client> kv;

  rig() {
    service_adapter_options options;
    options.kv_address = peer.Address();
    options.call_timeout = milliseconds(300);
    auto store = Attempt([&] { return fleet::OpenStore(options); });
    kv = kv_client::Create(std::move(*store), options.call_timeout);
  }
};

json Item(const std::string& key, const std::string& base64, int revision) {
  return {{"key", key},          {"value", base64}, {"revision", revision},
          {"created", revision}, {"lease", 0},      {"at_revision", 530}};
}

BOOST_AUTO_TEST_CASE(a_key_is_read) {
  rig test;
  test.peer.EnqueueResponse(200, Item("my/leader", "bm9kZS0x", 412));
  const auto entry = Attempt([&] { return test.kv->Get("my/lea der"); });
  BOOST_REQUIRE(entry);
  BOOST_TEST(test.peer.LastRequest().target == "/api/kv-key?key=my/lea%20der");
  BOOST_TEST((*entry.value)->value == "node-1");
  BOOST_TEST((*entry.value)->revision == 412);
  test.peer.EnqueueResponse(404);
  const auto missing = Attempt([&] { return test.kv->Get("none"); });
  BOOST_REQUIRE(missing);
  BOOST_TEST(!missing.value->has_value());
}

// A listing is read in pages. Pages are not a snapshot, so a watch starts at
// the revision of the first page.
BOOST_AUTO_TEST_CASE(a_listing_is_read_in_pages) {
  rig test;
  test.peer.EnqueueResponse(200, {{"items", {Item("a/1", "eA==", 5)}},
                                  {"has_more", true},
                                  {"at_revision", 10}});
  test.peer.EnqueueResponse(200, {{"items", {Item("a/2", "eXk=", 11)}},
                                  {"has_more", false},
                                  {"at_revision", 12}});
  const auto listing = Attempt([&] { return test.kv->ListWithRevision("a/"); });
  BOOST_REQUIRE(listing);
  BOOST_TEST(test.peer.LastRequest().target ==
             "/api/kv-range?prefix=a/&after=a/1");
  BOOST_TEST(listing->revision == 10);
  BOOST_REQUIRE_EQUAL(listing->entries.size(), 2);
  BOOST_TEST(listing->entries[0].value == "x");
  BOOST_TEST(listing->entries[1].value == "yy");
}

BOOST_AUTO_TEST_CASE(a_watch_reports_changes_and_lost_history) {
  rig test;
  test.peer.EnqueueResponse(
      200, {{"events",
             {Item("my/leader", "bm9kZS0x", 412),
              {{"key", "my/old"}, {"revision", 413}, {"deleted", true}}}},
            {"at_revision", 413}});
  const auto seen =
      Attempt([&] { return test.kv->Watch("my/", 411, milliseconds(50)); });
  BOOST_REQUIRE(seen);
  BOOST_TEST(test.peer.LastRequest().target ==
             "/api/kv-watch?prefix=my/&after=411&wait_ms=50");
  BOOST_TEST(seen->revision == 413);
  BOOST_REQUIRE_EQUAL(seen->events.size(), 2);
  BOOST_TEST(!seen->events[0].deleted);
  BOOST_TEST(seen->events[1].deleted);
  BOOST_TEST(seen->events[1].entry.key == "my/old");
  test.peer.EnqueueResponse(410);
  const auto lost =
      Attempt([&] { return test.kv->Watch("my/", 411, milliseconds(50)); });
  BOOST_REQUIRE(lost);
  BOOST_TEST(lost->history_lost);
}

BOOST_AUTO_TEST_CASE(a_transaction_carries_all_fields) {
  rig test;
  test.peer.EnqueueResponse(200, {{"revision", 414}});
  kv_transaction writes;
  writes.conditions = {{"my/leader", 0}};
  writes.puts = {{"my/leader", "node-1", "77120"}, {"my/plain", "x", ""}};
  writes.removals = {"my/old"};
  const auto written = Attempt([&] { return test.kv->Commit(writes); });
  BOOST_REQUIRE(written);
  BOOST_TEST(*written == 414);
  BOOST_TEST(
      (test.peer.LastRequest().body ==
       json{{"precondition", {{{"key", "my/leader"}, {"revision", 0}}}},
            {"puts",
             {{{"key", "my/leader"}, {"value", "bm9kZS0x"}, {"lease", 77120}},
              {{"key", "my/plain"}, {"value", "eA=="}}}},
            {"deletes", {"my/old"}}}));
}

BOOST_AUTO_TEST_CASE(each_failure_of_a_transaction_has_its_error_kind) {
  const std::vector<std::pair<scripted_response, error_kind>> cases = {
      {{412, {{"items", json::array()}}}, error_kind::kConflict},
      {{404}, error_kind::kNotFound},
      {{403}, error_kind::kInvalidArgument},
      {{429}, error_kind::kUnavailable},  // Not applied.
      {{503}, error_kind::kUnavailable},
      {{500}, error_kind::kTimeout},  // May have been applied.
      {{200, json::object(), true}, error_kind::kTimeout},
      {{200, json::object(), false, milliseconds(500)}, error_kind::kTimeout},
      {{200, {{"revision", "text"}}}, error_kind::kCorrupt},
  };
  for (const auto& [response, expected] : cases) {
    rig test;
    test.peer.EnqueueResponse(response);
    kv_transaction writes;
    writes.puts = {{"key", "value", ""}};
    const auto written = Attempt([&] { return test.kv->Commit(writes); });
    BOOST_TEST(!written);
    BOOST_TEST(
        (written.failure.kind == expected),
        "status " << response.status << ": " << Describe(written.failure));
  }
}

BOOST_AUTO_TEST_CASE(leases_are_granted_renewed_and_ended) {
  rig test;
  test.peer.EnqueueResponse(200, {{"lease", 77120}, {"ttl_ms", 3000}});
  const auto lease =
      Attempt([&] { return test.kv->GrantLease(milliseconds(3000)); });
  BOOST_REQUIRE(lease);
  BOOST_TEST(*lease == "77120");
  BOOST_TEST(test.peer.LastRequest().body.at("ttl_ms") == 3000);
  test.peer.EnqueueResponse(200, {{"ttl_ms", 3000}});
  BOOST_TEST(
      static_cast<bool>(Attempt([&] { return test.kv->RenewLease(*lease); })));
  BOOST_TEST(test.peer.LastRequest().target == "/api/kv-keep/77120");
  test.peer.EnqueueResponse(404);
  const auto ended = Attempt([&] { return test.kv->RenewLease(*lease); });
  BOOST_TEST((ended.failure.kind == error_kind::kNotFound));
  test.peer.EnqueueResponse(200);
  BOOST_TEST(
      static_cast<bool>(Attempt([&] { return test.kv->RevokeLease(*lease); })));
  BOOST_TEST(test.peer.LastRequest().method == "DELETE");
  BOOST_TEST(test.peer.LastRequest().target == "/api/kv-lease-end/77120");
}

// Values may contain any bytes.
BOOST_AUTO_TEST_CASE(any_bytes_are_encoded) {
  rig test;
  for (std::size_t size = 0; size < 7; ++size) {
    std::string bytes;
    for (std::size_t at = 0; at < size; ++at) {
      bytes += static_cast<char>(0xff - at * 37);
    }
    test.peer.EnqueueResponse(200, {{"revision", 1}});
    kv_transaction writes;
    writes.puts = {{"key", bytes, ""}};
    BOOST_REQUIRE(Attempt([&] { return test.kv->Commit(writes); }));
    const auto sent = test.peer.LastRequest().body.at("puts").at(0).at("value");
    test.peer.EnqueueResponse(200, Item("key", sent.get<std::string>(), 1));
    const auto read = Attempt([&] { return test.kv->Get("key"); });
    BOOST_REQUIRE(read);
    BOOST_TEST((*read.value)->value == bytes);
  }
}

}  // namespace
}  // namespace apricotwheel
