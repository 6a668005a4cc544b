#include <boost/test/unit_test.hpp>

#include "cluster/cluster_manager.h"
#include "tests/cluster/test_cell.h"

namespace apricotwheel {
namespace {

// Returns an address on which no process listens.
std::string FreeAddress() {
  return StartDocumentPeer("free.1", "")->ListenAddress();
}

bool OwnsNothing(const cluster_view& view, const std::string& id) {
  const auto is_own = [&](const auto& entry) {
    return entry.second.owner == id;
  };
  return std::none_of(view.owners.partitions.begin(),
                      view.owners.partitions.end(), is_own) &&
         std::none_of(
             view.owners.shards.begin(), view.owners.shards.end(),
             [&](const ownership& entry) { return entry.owner == id; });
}

// A daemon restarts in an outage of the key-value service, with one lagging and
// one current seed peer. It must activate only the newest document, also when
// later only the lagging seed peer responds, and must own nothing before it has
// a lease.
BOOST_AUTO_TEST_CASE(the_newest_document_of_the_seed_peers_is_active) {
  cell_fixture cell(2);
  cell.PutDocument(EncodedEnvelope(8, "vm3"));
  BOOST_REQUIRE(Eventually([&] { return cell.AllHaveRevision(8); }));
  cell.kv->SetFaults({kv_outage::kRefuse, 0, 0});
  cell.daemons.pop_back();
  const auto lagging = StartDocumentPeer("lagging.1", EncodedEnvelope(3, ""));
  cell.daemons.push_back(std::make_unique<test_daemon>(
      "d1", cell.kv->Address(), cell.list->Address(),
      std::vector<std::string>{lagging->ListenAddress(), FreeAddress(),
                               cell.daemons[0]->peers->ListenAddress()},
      "2"));
  auto& restarted = *cell.daemons[1];
  BOOST_REQUIRE(
      Eventually([&] { return restarted.manager->Document() != nullptr; }));
  BOOST_TEST(Eventually([&] { return restarted.SeesLeaving("vm3"); }));
  BOOST_TEST(restarted.manager->Status().document_missing_reason.empty());
  // Longer than two request intervals. After the stop of the current seed peer
  // only the lagging one responds.
  cell.daemons[0]->peers->Stop();
  std::this_thread::sleep_for(milliseconds(3500));
  const std::vector<std::uint64_t> only_newest = {8};
  BOOST_TEST(restarted.Revisions() == only_newest);
  BOOST_TEST(!restarted.manager->HoldsLease());
  BOOST_TEST(OwnsNothing(*restarted.manager->View(), "d1.2"));
  cell.kv->SetFaults({});
  BOOST_TEST(Eventually([&] {
    return restarted.manager->HoldsLease() &&
           !OwnsNothing(*restarted.manager->View(), "d1.2");
  }));
  BOOST_TEST(restarted.Revisions() == only_newest);
}

// One seed peer has an invalid document with the highest revision, the other
// one starts later with a valid document. The daemon must report the invalid
// document and activate the valid one as soon as it is available.
BOOST_AUTO_TEST_CASE(a_document_is_activated_when_a_seed_peer_has_one) {
  const auto kv = kv_standin::Start({}).value();
  const auto list = StartVmList();
  kv->SetFaults({kv_outage::kRefuse, 0, 0});
  const auto address = FreeAddress();
  const auto broken =
      StartDocumentPeer("broken.1", EncodedEnvelope(9, "", "[broken"));
  test_daemon daemon("d0", kv->Address(), list->Address(),
                     {broken->ListenAddress(), address});
  BOOST_TEST(Eventually(
      [&] { return !daemon.manager->Status().document_error.empty(); }));
  BOOST_TEST(!daemon.manager->Document());
  const auto late =
      StartDocumentPeer("late.1", EncodedEnvelope(4, ""), address);
  BOOST_TEST(Eventually(
      [&] { return daemon.manager->Status().document_revision == 4; }));
}

// The key-value service hangs and no seed peer is reachable or configured. The
// daemon must report why it has no document, and must have no document, lease
// or members.
BOOST_AUTO_TEST_CASE(the_reason_is_reported_without_a_reachable_seed_peer) {
  const auto kv = kv_standin::Start({}).value();
  const auto list = StartVmList();
  kv->SetFaults({kv_outage::kHang, 0, 0});
  const auto address = FreeAddress();
  test_daemon seeded("d0", kv->Address(), list->Address(), {address});
  test_daemon alone("d1", kv->Address(), list->Address());
  const auto has = [](const test_daemon& daemon, const std::string& text) {
    return daemon.manager->Status().document_missing_reason.find(text) !=
           std::string::npos;
  };
  BOOST_TEST(Eventually([&] { return has(seeded, address); }));
  BOOST_TEST(Eventually([&] { return has(alone, "seed_peers"); }));
  for (const auto* daemon : {&seeded, &alone}) {
    BOOST_TEST(!daemon->manager->Document());
    BOOST_TEST(!daemon->manager->HoldsLease());
    BOOST_TEST(daemon->manager->View()->members.empty());
  }
  kv->SetFaults({});
  BOOST_TEST(Eventually([&] {
    return has(seeded, "holds no valid document") &&
           has(alone, "holds no valid document");
  }));
}

}  // namespace
}  // namespace apricotwheel
