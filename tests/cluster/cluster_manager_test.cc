#include "cluster/cluster_manager.h"

#include <httplib.h>

#include "tests/cluster/test_cell.h"

namespace apricotwheel {
namespace {

// A member dies. Its partitions must get a new owner under a higher epoch, and
// the partitions of the other members must not move.
BOOST_FIXTURE_TEST_CASE(a_dead_member_is_replaced, cell_fixture) {
  const auto before = daemons[0]->manager->View()->owners;
  daemons.pop_back();
  BOOST_REQUIRE(Eventually([&] { return HasConverged(); }));
  const auto after = daemons[0]->manager->View()->owners;
  for (const auto& [name, entry] : before.partitions) {
    const auto& next = after.partitions.at(name);
    if (entry.owner == "d2.1") {
      BOOST_TEST(next.epoch > entry.epoch);
    } else {
      BOOST_TEST((next == entry));
    }
  }
}

// Writes documents with a lower revision and with invalid text after a valid
// one: neither may become active. Then marks a VM as leaving in the list of
// some daemons: all daemons must see that VM and the drained one as leaving, or
// they would place new work there.
BOOST_FIXTURE_TEST_CASE(documents_and_leaving_vms_reach_all_daemons,
                        cell_fixture) {
  PutDocument(EncodedEnvelope(5, "vm3"));
  BOOST_TEST(Eventually([&] { return AllHaveRevision(5); }));
  PutDocument(EncodedEnvelope(4, ""));
  PutDocument(EncodedEnvelope(6, "", "[broken"));
  BOOST_TEST(Eventually(
      [&] { return !daemons[2]->manager->Status().document_error.empty(); }));
  BOOST_TEST(AllHaveRevision(5));
  PutDocument(EncodedEnvelope(7, "vm4"));
  BOOST_TEST(Eventually([&] { return AllHaveRevision(7); }));
  BOOST_TEST(daemons[2]->manager->Status().document_error.empty());

  httplib::Client admin("http://" + list->Address());
  BOOST_REQUIRE(admin.Post("/admin/leaving", R"({"id":"vm7"})", "text/plain"));
  for (const auto& daemon : daemons) {
    BOOST_TEST(Eventually([&] {
      return daemon->SeesLeaving("vm7") && daemon->SeesLeaving("vm4") &&
             !daemon->SeesLeaving("vm3");
    }));
  }
}

// The key-value service refuses all calls until every lease has expired. The
// daemons must notice the expiry and keep their view, and after the outage no
// ownership may move although all member records were deleted.
BOOST_FIXTURE_TEST_CASE(an_outage_moves_no_ownership, cell_fixture) {
  const auto before = daemons[0]->manager->View()->owners;
  kv->SetFaults({kv_outage::kRefuse, 0, 0});
  BOOST_TEST(Eventually([&] { return !daemons[0]->manager->HoldsLease(); }));
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_TEST((daemons[0]->manager->View()->owners == before));
  BOOST_TEST(!daemons[0]->manager->Status().kv_reachable);
  kv->SetFaults({});
  BOOST_TEST(Eventually([&] { return HasConverged(); }));
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(HasConverged());
  BOOST_TEST((daemons[0]->manager->View()->owners == before));
}

// A planned stop must hand over all ownership, call the callback before the
// assignment is written, and delete the member record without waiting for the
// lease to expire.
BOOST_FIXTURE_TEST_CASE(hand_over_moves_all_ownership, cell_fixture) {
  auto& leaving = *daemons[2]->manager;
  leaving.AnnounceLeaving();
  BOOST_TEST(Eventually([&] {
    const auto view = daemons[0]->manager->View();
    const auto* record = view->FindMember("d2.1");
    return record != nullptr && record->leaving;
  }));
  int steps = 0;
  const auto deadline = runtime_clock::Running()->Now() + milliseconds(5000);
  const auto done = Attempt([&] {
    return leaving.HandOverOwnership(deadline, [&](const assignment& next) {
      ++steps;
      for (const auto& entry : next.shards) BOOST_TEST(entry.owner != "d2.1");
    });
  });
  BOOST_TEST(static_cast<bool>(done));
  BOOST_TEST(steps >= 1);
  BOOST_TEST(!writer->Get("apricotwheel/cluster/members/d2.1").value());
  daemons.pop_back();
  BOOST_TEST(Eventually([&] { return HasConverged(); }));
}

// Only a peer has the newest document and announces its revision by gossip. The
// daemon must fetch it, and must not return to an older document that is
// written to the key-value service afterwards.
BOOST_AUTO_TEST_CASE(a_newer_document_is_fetched_from_a_peer) {
  cell_fixture cell(1);
  cell.PutDocument(EncodedEnvelope(1, ""));
  BOOST_TEST(Eventually([&] { return cell.AllHaveRevision(1); }));
  const auto other = StartDocumentPeer("other.1", EncodedEnvelope(9, ""));
  const member record{"other.1", "other", "fd", "", other->ListenAddress(),
                      true};
  cell.writer->Put("apricotwheel/cluster/members/other.1", EncodeMember(record))
      .value();
  auto& manager = *cell.daemons[0]->manager;
  BOOST_TEST(Eventually([&] { return manager.View()->members.size() == 2; }));
  other->SetAddress("d0.1", cell.daemons[0]->peers->ListenAddress());
  wire::gossipT gossip;
  gossip.sequence = 1;
  gossip.document_revision = 9;
  gossip.free_total = std::make_unique<wire::resources>();
  other->Post("d0.1", MakeMessage(std::move(gossip)));
  BOOST_TEST(Eventually([&] { return cell.AllHaveRevision(9); }));
  cell.PutDocument(EncodedEnvelope(2, ""));
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(cell.AllHaveRevision(9));
}

}  // namespace
}  // namespace apricotwheel
