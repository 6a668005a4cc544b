#include "cluster/cluster_manager.h"

#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <thread>

#include "testing/kv_standin.h"
#include "testing/vmlist_standin.h"

namespace apricotwheel {
namespace {

using standins::kv_outage;
using standins::kv_standin;
using standins::vmlist_standin;

const std::string kPeerKey(32, 'k');

template <class Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return condition();
}

std::unique_ptr<vmlist_standin> StartList() {
  standins::vmlist_standin_options options;
  options.cell.version = 1;
  for (int i = 0; i < 12; ++i) {
    const auto id = std::to_string(i);
    options.cell.vms.push_back(
        {"vm" + id, "127.0.0.1:1", "fd", "r" + id, vm_state::kLive, {}});
  }
  return vmlist_standin::Start(options).value();
}

std::string Envelope(std::uint64_t revision, const std::string& drain,
                     const std::string& cell = "test") {
  document_envelope envelope;
  envelope.revision = revision;
  envelope.previous_revision = revision - 1;
  envelope.author = "tester";
  envelope.change_id = std::to_string(revision);
  envelope.text = "version: 1\ncell: " + cell +
                  "\nteams: []\nworkloads: []\ndrain: [" + drain + "]\n";
  return EncodeEnvelope(envelope);
}

struct test_daemon {
  std::unique_ptr<kv_client> kv;
  std::unique_ptr<vm_list_client> list;
  std::unique_ptr<peer_node> peers;
  std::unique_ptr<cluster_manager> manager;

  test_daemon(const std::string& name, const std::string& kv_address,
              const std::string& list_address) {
    kv = kv_client::Create({kv_address, milliseconds(200), milliseconds(400)})
             .value();
    list = vm_list_client::Create({list_address, milliseconds(400)}).value();
    peer_node_options peer;
    peer.member_id = name + ".1";
    peer.listen_address = "127.0.0.1:0";
    peer.key = kPeerKey;
    peers = peer_node::Start(peer).value();
    cluster_manager_options options;
    options.member_id = peer.member_id;
    options.settings.name = name;
    options.settings.failure_domain = "fd";
    options.settings.peer_address = peers->ListenAddress();
    options.settings.lease_ttl = milliseconds(1000);
    options.settings.lease_renew_interval = milliseconds(250);
    options.settings.clock_margin = milliseconds(100);
    options.settings.gossip_interval = milliseconds(50);
    options.settings.vm_list_interval = milliseconds(100);
    options.kv = kv.get();
    options.vm_list = list.get();
    options.peers = peers.get();
    manager = cluster_manager::Create(options).value();
    manager->Start().value();
  }
  ~test_daemon() {
    manager->Stop();
    peers->Stop();
  }
  bool SeesLeaving(const std::string& id) const {
    const auto vms = manager->Vms();
    for (const auto& vm : vms->vms) {
      if (vm.id == id) return vm.state == vm_state::kLeaving;
    }
    return false;
  }
};

struct cell_fixture {
  std::unique_ptr<kv_standin> kv = kv_standin::Start({}).value();
  std::unique_ptr<kv_client> writer =
      kv_client::Create({kv->Address()}).value();
  std::unique_ptr<vmlist_standin> list = StartList();
  std::unique_ptr<vmlist_standin> stale_list = StartList();
  std::vector<std::unique_ptr<test_daemon>> daemons;

  explicit cell_fixture(int count = 3) {
    for (int i = 0; i < count; ++i) {
      daemons.push_back(std::make_unique<test_daemon>(
          "d" + std::to_string(i), kv->Address(),
          (i == 1 ? stale_list : list)->Address()));
    }
    BOOST_REQUIRE(Eventually([&] { return IsSettled(); }));
  }
  // All daemons see all members, and every partition has a live owner.
  bool IsSettled() const {
    for (const auto& one : daemons) {
      const auto view = one->manager->View();
      if (!one->manager->HoldsLease() ||
          view->members.size() != daemons.size() ||
          view->owners.partitions.size() != 12 ||
          view->owners != daemons[0]->manager->View()->owners) {
        return false;
      }
      for (const auto& [name, entry] : view->owners.partitions) {
        if (view->FindMember(entry.owner) == nullptr) return false;
      }
      if (PlanAssignment(view->owners, view->members, Names(*view)) !=
          view->owners) {
        return false;
      }
    }
    return true;
  }
  static std::vector<std::string> Names(const cluster_view& view) {
    std::vector<std::string> names;
    for (const auto& [name, entry] : view.owners.partitions) {
      names.push_back(name);
    }
    return names;
  }
  bool AllHaveRevision(std::uint64_t revision) const {
    return std::all_of(daemons.begin(), daemons.end(), [&](const auto& one) {
      return one->manager->Status().document_revision == revision;
    });
  }
  void Put(const std::string& text) const {
    writer->Put(kDocumentKey, text).value();
  }
};

// Guards against partitions that stay with a dead member or change owner under
// the same epoch, and against others that move.
BOOST_FIXTURE_TEST_CASE(a_dead_member_is_replaced, cell_fixture) {
  const auto before = daemons[0]->manager->View()->owners;
  daemons.pop_back();
  BOOST_REQUIRE(Eventually([&] { return IsSettled(); }));
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

// Guards against an older or invalid document in force, and against new work
// for a VM that only another daemon's list or the document names as leaving.
BOOST_FIXTURE_TEST_CASE(documents_and_marks_reach_all, cell_fixture) {
  Put(Envelope(5, "vm3"));
  BOOST_TEST(Eventually([&] { return AllHaveRevision(5); }));
  Put(Envelope(4, ""));
  Put(Envelope(6, "", "[broken"));
  BOOST_TEST(Eventually(
      [&] { return !daemons[2]->manager->Status().document_fault.empty(); }));
  BOOST_TEST(AllHaveRevision(5));
  Put(Envelope(7, "vm4"));
  BOOST_TEST(Eventually([&] { return AllHaveRevision(7); }));
  BOOST_TEST(daemons[2]->manager->Status().document_fault.empty());

  httplib::Client admin("http://" + list->Address());
  BOOST_REQUIRE(admin.Post("/admin/leaving", R"({"id":"vm7"})", "text/plain"));
  for (const auto& one : daemons) {
    BOOST_TEST(Eventually([&] {
      return one->SeesLeaving("vm7") && one->SeesLeaving("vm4") &&
             !one->SeesLeaving("vm3");
    }));
  }
}

// Guards against a view that is lost in an outage, a lease that is believed
// after its end, and owners that move because all leases ended in the outage.
BOOST_FIXTURE_TEST_CASE(an_outage_moves_nothing, cell_fixture) {
  const auto before = daemons[0]->manager->View()->owners;
  kv->SetFaults({kv_outage::kRefuse, 0, 0});
  BOOST_TEST(Eventually([&] { return !daemons[0]->manager->HoldsLease(); }));
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_TEST((daemons[0]->manager->View()->owners == before));
  BOOST_TEST(!daemons[0]->manager->Status().kv_reachable);
  kv->SetFaults({});
  BOOST_TEST(Eventually([&] { return IsSettled(); }));
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(IsSettled());
  BOOST_TEST((daemons[0]->manager->View()->owners == before));
}

// Guards against a planned stop that leaves ownership behind, commits before
// the state was sent, or waits for the lease's end.
BOOST_FIXTURE_TEST_CASE(hand_over_moves_all_ownership, cell_fixture) {
  auto& leaving = *daemons[2]->manager;
  leaving.AnnounceLeaving();
  BOOST_TEST(Eventually([&] {
    const auto* record = daemons[0]->manager->View()->FindMember("d2.1");
    return record != nullptr && record->leaving;
  }));
  int steps = 0;
  const auto deadline = runtime_clock::Running()->Now() + milliseconds(5000);
  const auto done = Attempt([&] {
    return leaving.HandOver(deadline, [&](const assignment& next) {
      ++steps;
      for (const auto& entry : next.shards) BOOST_TEST(entry.owner != "d2.1");
    });
  });
  BOOST_TEST(static_cast<bool>(done));
  BOOST_TEST(steps >= 1);
  BOOST_TEST(!writer->Get("apricotwheel/cluster/members/d2.1").value());
  daemons.pop_back();
  BOOST_TEST(Eventually([&] { return IsSettled(); }));
}

// Guards against a document that stays old when only a peer has the newer one,
// and against a later return to the older stored one.
BOOST_AUTO_TEST_CASE(a_newer_document_is_fetched_from_a_peer) {
  cell_fixture cell(1);
  cell.Put(Envelope(1, ""));
  BOOST_TEST(Eventually([&] { return cell.AllHaveRevision(1); }));
  peer_node_options options;
  options.member_id = "other.1";
  options.listen_address = "127.0.0.1:0";
  options.key = kPeerKey;
  const auto other = peer_node::Start(options).value();
  other->Handle(wire::body::document_request, [](const auto&, const auto&) {
    wire::document_responseT reply;
    reply.envelope = Envelope(9, "");
    return MakeMessage(std::move(reply));
  });
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
  cell.Put(Envelope(2, ""));
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(cell.AllHaveRevision(9));
}

}  // namespace
}  // namespace apricotwheel
