#include "cluster/vm_tracker.h"

#include <httplib.h>

#include <boost/test/unit_test.hpp>

#include "tests/cluster/test_cell.h"

namespace apricotwheel {
namespace {

vm_list ListOf(std::uint64_t version, const std::vector<std::string>& racks) {
  vm_list list;
  list.version = version;
  for (const auto& rack : racks) {
    list.vms.push_back(
        {"vm-" + rack, "127.0.0.1:1", "fd", rack, vm_state::kLive, {}});
  }
  return list;
}

bool IsLeaving(const vm_tracker& tracker, const std::string& id) {
  const auto merged = tracker.MergedList();
  for (const auto& vm : merged->vms) {
    if (vm.id == id) return vm.state == vm_state::kLeaving;
  }
  return false;
}

// A partition whose rack is missing from the list must be kept for 10 s and
// then be dropped, but only if a list read after that time still omits it.
BOOST_AUTO_TEST_CASE(a_partition_is_dropped_after_ten_seconds_of_absence) {
  const auto clock = runtime_clock::Paused();
  vm_tracker tracker(clock);
  assignment owners;
  owners.partitions["fd/a"] = {"d0.1", 3};
  owners.partitions["fd/b"] = {"d0.1", 3};
  const std::vector<std::string> both = {"fd/a", "fd/b"};
  const std::vector<std::string> only_a = {"fd/a"};
  const auto names = [&] {
    return tracker.AssignablePartitions(owners).value();
  };
  BOOST_TEST(!tracker.AssignablePartitions(owners));
  tracker.UpdateList(ListOf(1, {"a", "b"}));
  BOOST_TEST(names() == both);
  tracker.UpdateList(ListOf(2, {"a"}));
  BOOST_TEST(names() == both);
  clock->Advance(milliseconds(9900));
  tracker.UpdateList(ListOf(2, {"a"}));
  BOOST_TEST(names() == both);
  tracker.UpdateList(ListOf(3, {"a", "b"}));  // Restarts the 10 s.
  BOOST_TEST(names() == both);
  tracker.UpdateList(ListOf(4, {"a"}));
  BOOST_TEST(names() == both);
  clock->Advance(milliseconds(30'000));
  BOOST_TEST(names() == both);  // The list has not been read since.
  tracker.UpdateList(ListOf(4, {"a"}));
  BOOST_TEST(names() == only_a);
  tracker.UpdateList(ListOf(5, {"a", "b"}));
  BOOST_TEST(names() == both);
}

// A peer that reported a leaving VM dies. Its report must be kept while the
// list of this daemon is older than the list of the peer, and no longer.
BOOST_AUTO_TEST_CASE(leaving_vms_of_a_dead_peer_stay_until_the_list_is_as_new) {
  vm_tracker tracker(runtime_clock::Paused());
  tracker.UpdateList(ListOf(1, {"a", "b"}));
  tracker.SetPeerLeavingVms("d1.1", {"vm-b"}, 5);
  tracker.RemovePeer("d1.1");
  BOOST_TEST(IsLeaving(tracker, "vm-b"));
  tracker.UpdateList(ListOf(4, {"a", "b"}));
  BOOST_TEST(IsLeaving(tracker, "vm-b"));
  tracker.UpdateList(ListOf(6, {"a", "b"}));
  BOOST_TEST(!IsLeaving(tracker, "vm-b"));
}

// One daemon reads a list that never shows a VM as leaving. It must learn this
// from its peers within 5 s and keep it after the peers are gone, or it would
// place new work there.
BOOST_FIXTURE_TEST_CASE(a_lagging_list_does_not_hide_a_leaving_vm,
                        cell_fixture) {
  httplib::Client admin("http://" + list->Address());
  const auto sent_at = runtime_clock::Running()->Now();
  BOOST_REQUIRE(admin.Post("/admin/leaving", R"({"id":"vm7"})", "text/plain"));
  for (const auto& daemon : daemons) {
    BOOST_TEST(Eventually([&] { return daemon->SeesLeaving("vm7"); }));
  }
  BOOST_TEST((runtime_clock::Running()->Now() - sent_at < milliseconds(5000)));
  BOOST_TEST(daemons[1]->manager->Status().vm_list_version == 1U);
  daemons.pop_back();
  daemons.erase(daemons.begin());
  // Longer than the 10 s after which the link to a removed peer is closed.
  for (int i = 0; i < 120; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    BOOST_REQUIRE(daemons[0]->SeesLeaving("vm7"));
  }
  BOOST_TEST(daemons[0]->manager->View()->members.size() == 1U);
}

}  // namespace
}  // namespace apricotwheel
