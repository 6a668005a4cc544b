#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster/cluster_manager.h"
#include "testing/kv_standin.h"
#include "testing/vmlist_standin.h"

// Helpers for the cluster tests: cluster managers with short intervals that use
// stand-ins of the key-value service and the VM list service.
namespace apricotwheel {

using standins::kv_outage;
using standins::kv_standin;
using standins::vmlist_standin;

inline const std::string kPeerKey(32, 'k');

template <class Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return condition();
}

inline std::unique_ptr<vmlist_standin> StartVmList() {
  standins::vmlist_standin_options options;
  options.cell.version = 1;
  for (int i = 0; i < 12; ++i) {
    const auto id = std::to_string(i);
    options.cell.vms.push_back(
        {"vm" + id, "127.0.0.1:1", "fd", "r" + id, vm_state::kLive, {}});
  }
  return vmlist_standin::Start(options).value();
}

inline std::string EncodedEnvelope(std::uint64_t revision,
                                   const std::string& drain,
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
  mutable std::mutex mutex;
  std::vector<std::uint64_t> revisions;  // Of all activated documents.

  test_daemon(const std::string& name, const std::string& kv_address,
              const std::string& list_address,
              std::vector<std::string> seeds = {},
              const std::string& incarnation = "1") {
    kv = kv_client::Create({kv_address, milliseconds(200), milliseconds(400)})
             .value();
    list = vm_list_client::Create({list_address, milliseconds(400)}).value();
    peer_node_options peer;
    peer.member_id = name + "." + incarnation;
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
    options.settings.seed_peers = std::move(seeds);
    options.kv = kv.get();
    options.vm_list = list.get();
    options.peers = peers.get();
    manager = cluster_manager::Create(options).value();
    manager->SetDocumentCallback([this](const active_document_ptr& next) {
      std::lock_guard guard(mutex);
      revisions.push_back(next->envelope.revision);
    });
    manager->Start().value();
  }
  ~test_daemon() {
    manager->Stop();
    peers->Stop();
  }
  std::vector<std::uint64_t> Revisions() const {
    std::lock_guard guard(mutex);
    return revisions;
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
  std::unique_ptr<vmlist_standin> list = StartVmList();
  std::unique_ptr<vmlist_standin> stale_list = StartVmList();
  std::vector<std::unique_ptr<test_daemon>> daemons;

  explicit cell_fixture(int count = 3) {
    for (int i = 0; i < count; ++i) {
      daemons.push_back(std::make_unique<test_daemon>(
          "d" + std::to_string(i), kv->Address(),
          (i == 1 ? stale_list : list)->Address()));
    }
    BOOST_REQUIRE(Eventually([&] { return HasConverged(); }));
  }
  // Returns true if all daemons hold a lease, see all members and the same
  // assignment, and every partition has the planned owner.
  bool HasConverged() const {
    for (const auto& daemon : daemons) {
      const auto view = daemon->manager->View();
      if (!daemon->manager->HoldsLease() ||
          view->members.size() != daemons.size() ||
          view->owners.partitions.size() != 12 ||
          view->owners != daemons[0]->manager->View()->owners) {
        return false;
      }
      for (const auto& [name, entry] : view->owners.partitions) {
        if (view->FindMember(entry.owner) == nullptr) return false;
      }
      if (PlanAssignment(view->owners, view->members, PartitionNames(*view)) !=
          view->owners) {
        return false;
      }
    }
    return true;
  }
  static std::vector<std::string> PartitionNames(const cluster_view& view) {
    std::vector<std::string> names;
    for (const auto& [name, entry] : view.owners.partitions) {
      names.push_back(name);
    }
    return names;
  }
  bool AllHaveRevision(std::uint64_t revision) const {
    return std::all_of(daemons.begin(), daemons.end(), [&](const auto& daemon) {
      return daemon->manager->Status().document_revision == revision;
    });
  }
  void PutDocument(const std::string& text) const {
    writer->Put(kDocumentKey, text).value();
  }
};

// Starts a peer that responds only to document requests, with one fixed
// document.
inline std::unique_ptr<peer_node> StartDocumentPeer(
    const std::string& id, const std::string& envelope,
    const std::string& address = "127.0.0.1:0") {
  peer_node_options options;
  options.member_id = id;
  options.listen_address = address;
  options.key = kPeerKey;
  auto node = peer_node::Start(options).value();
  node->SetHandler(wire::body::document_request,
                   [envelope](const auto&, const auto&) {
                     wire::document_responseT reply;
                     reply.envelope = envelope;
                     return MakeMessage(std::move(reply));
                   });
  return node;
}

}  // namespace apricotwheel
