#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "jobs/job_manager.h"
#include "testing/cell_file.h"
#include "testing/kv_standin.h"
#include "testing/vmlist_standin.h"
#include "testing/worker_standin.h"

namespace apricotwheel {
namespace {

using namespace standins;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr std::string_view kDocument = R"(version: 1
cell: test
teams:
  - name: red
    quota: {cpu_milli: 100000, memory_mib: 100000, accelerators: 0}
    weight: 1
workloads:
  - name: shop
    kind: service
    team: red
    class: service
    instances: 3
    resources: {cpu_milli: 1000, memory_mib: 512, accelerators: 0}
  - name: audit
    kind: batch
    team: red
    class: batch
    run_ms: 200
    instances: 2
    resources: {cpu_milli: 1000, memory_mib: 512, accelerators: 0}
)";

// Runs a service and a batch job through all parts: the document, the claims,
// the place requests, the workers' task lists and the committed final state.
BOOST_AUTO_TEST_CASE(service_and_batch_job_run) {
  const auto clock = runtime_clock::Running();
  auto kv_service = kv_standin::Start({}).value();
  const auto cell = BuildCell({{"w", 4, {4000, 8192, 0}, 2}}, 2, 23'710);
  worker_standin_options worker_options;
  worker_options.cell = cell;
  auto workers_standin = worker_standin::Start(worker_options).value();
  vmlist_standin_options list_options;
  list_options.cell = cell;
  auto list_service = vmlist_standin::Start(list_options).value();
  auto kv = kv_client::Create({kv_service->Address()}).value();
  auto vms = vm_list_client::Create({list_service->Address()}).value();
  document_envelope envelope;
  envelope.revision = 1;
  envelope.text = kDocument;
  BOOST_REQUIRE(bool(Attempt(
      [&] { return kv->Put(kDocumentKey, EncodeEnvelope(envelope)); })));
  const auto metrics = std::make_shared<prometheus::Registry>();
  peer_node_options peer;
  peer.member_id = "d1.1";
  peer.listen_address = "127.0.0.1:0";
  peer.key = std::string(32, 'k');
  peer.clock = clock;
  peer.metrics = metrics;
  auto peers = peer_node::Start(peer).value();
  daemon_settings settings;
  settings.name = "d1";
  settings.failure_domain = "a";
  settings.http_address = "127.0.0.1:1";
  settings.peer_address = peers->ListenAddress();
  cluster_manager_options cluster_options{settings, "d1.1",    {},
                                          kv.get(), vms.get(), peers.get(),
                                          clock,    {},        metrics};
  auto cluster = cluster_manager::Create(cluster_options).value();
  worker_manager_options worker_manager_config{
      settings, "d1.1", cluster.get(), peers.get(), clock, {}, metrics, 1};
  auto workers = worker_manager::Create(worker_manager_config).value();
  job_manager_options job_manager_config{
      settings,    "d1.1", kv.get(), cluster.get(), workers.get(),
      peers.get(), clock,  {},       metrics};
  auto jobs = job_manager::Create(job_manager_config).value();
  BOOST_REQUIRE(bool(Attempt([&] { return workers->Start(); })));
  BOOST_REQUIRE(bool(Attempt([&] { return jobs->Start(); })));
  BOOST_REQUIRE(bool(Attempt([&] { return cluster->Start(); })));

  const auto deadline = clock->Now() + std::chrono::seconds(20);
  while (clock->Now() < deadline && workers->Instances().size() < 3) {
    clock->SleepFor(milliseconds(50));
  }
  BOOST_TEST(workers->Instances().size() == 3u);
  const auto submitted = jobs->Submit(R"({"workload": "audit"})");
  BOOST_REQUIRE_MESSAGE(submitted.status == 201, submitted.body);
  const std::string id = json::parse(submitted.body)["job_id"];
  const auto ended = jobs->Get(id, std::chrono::seconds(15));
  BOOST_TEST(json::parse(ended.body)["state"] == "finished");
  const auto records = Attempt([&] { return kv->List("apricotwheel/jobs/"); });
  BOOST_REQUIRE(bool(records));
  bool stored = false;
  for (const auto& entry : *records) {
    stored = stored || entry.value.find(id) != std::string::npos;
  }
  BOOST_TEST(stored);
  for (std::size_t i = 0; i < workers_standin->AgentCount(); ++i) {
    BOOST_TEST(workers_standin->Agent(i).CapacityBreachCount() == 0u);
  }
  workers->ReleaseWorkers();
  jobs->Stop();
  workers->Stop();
  cluster->Stop();
  peers->Stop();
}

}  // namespace
}  // namespace apricotwheel
