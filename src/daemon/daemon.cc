#include "daemon/daemon.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "daemon/daemon_events.h"
#include "daemon/daemon_options.h"
#include "daemon/http_responses.h"
#include "daemon/job_api.h"
#include "daemon/service_api.h"
#include "daemon/status_api.h"
#include "kernel/random.h"
#include "placement/cell_state.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kMinPeerKeyBytes = 32;
constexpr auto kInFlightPollInterval = milliseconds(10);
// Bounds the hand-over that follows the drain in a planned stop.
constexpr auto kHandOverTimeout = milliseconds(5000);

result<std::string> ReadPeerKey(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(error_kind::kIo, "cannot read the peer key file " + path,
                "create it with 32 or more random bytes and make it readable");
  }
  std::string key((std::istreambuf_iterator<char>(file)),
                  std::istreambuf_iterator<char>());
  if (key.size() < kMinPeerKeyBytes) {
    return Fail(error_kind::kInvalidArgument,
                "the peer key file " + path + " holds " +
                    std::to_string(key.size()) + " bytes, the minimum is 32",
                "use a key of 32 or more random bytes, the same on all VMs");
  }
  return key;
}

// Adds the error body of docs/api.md to the error responses of the HTTP library
// itself (malformed request, body over the limit, unknown route). No handler
// has run by then, so the outcome is `not_run`.
void AddErrorHandler(httplib::Server& server) {
  server.set_error_handler(
      [](const httplib::Request&, httplib::Response& response) {
        if (!response.body.empty()) return;
        const bool too_large = response.status == 413;
        WriteErrorResponse(
            response, response.status,
            {error_kind::kInvalidArgument,
             "the request was refused with status " +
                 std::to_string(response.status),
             too_large ? "send a smaller body or raise max_body_bytes"
                       : "see docs/api.md for the routes and their arguments"},
            error_outcome{request_outcome::kNotRun,
                          too_large ? "body_too_large" : "malformed_request"});
      });
}

}  // namespace

daemon_process::daemon_process(daemon_settings settings, clock_ptr clock,
                               log_sink log)
    : settings_(std::move(settings)),
      member_id_(MakeMemberId(settings_)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      metrics_(std::make_shared<prometheus::Registry>()) {}

daemon_process::~daemon_process() { StopComponents(); }

result<std::unique_ptr<daemon_process>> daemon_process::Start(
    daemon_settings settings, clock_ptr clock, log_sink log) {
  std::unique_ptr<daemon_process> process(new daemon_process(
      std::move(settings), std::move(clock), std::move(log)));
  BOOST_LEAF_CHECK(process->CreateComponents());
  process->ConnectManagers();
  process->AddRoutes();
  BOOST_LEAF_CHECK(process->StartComponents());
  return process;
}

result<void> daemon_process::CreateComponents() {
  BOOST_LEAF_ASSIGN(kv_, kv_client::Create({settings_.kv_address}));
  BOOST_LEAF_ASSIGN(vm_list_,
                    vm_list_client::Create({settings_.vm_list_address}));

  peer_node_options peer = PeerOptions(settings_);
  peer.member_id = member_id_;
  BOOST_LEAF_ASSIGN(peer.key, ReadPeerKey(settings_.peer_key_file));
  peer.clock = clock_;
  peer.log = log_;
  peer.metrics = metrics_;
  BOOST_LEAF_ASSIGN(peers_, peer_node::Start(std::move(peer)));

  cluster_manager_options cluster;
  cluster.settings = settings_;
  cluster.member_id = member_id_;
  cluster.policy_names = PolicyNames();
  cluster.kv = kv_.get();
  cluster.vm_list = vm_list_.get();
  cluster.peers = peers_.get();
  cluster.clock = clock_;
  cluster.log = log_;
  cluster.metrics = metrics_;
  BOOST_LEAF_ASSIGN(cluster_, cluster_manager::Create(std::move(cluster)));

  const std::uint64_t seed = SystemRandom().state;
  BOOST_LEAF_ASSIGN(
      workers_,
      worker_manager::Create({settings_, member_id_, cluster_.get(),
                              peers_.get(), clock_, log_, metrics_, seed}));
  BOOST_LEAF_ASSIGN(
      jobs_, job_manager::Create({settings_, member_id_, kv_.get(),
                                  cluster_.get(), workers_.get(), peers_.get(),
                                  clock_, log_, metrics_}));
  BOOST_LEAF_ASSIGN(
      dispatcher_,
      dispatcher::Create({settings_, member_id_, cluster_.get(), workers_.get(),
                          peers_.get(), clock_, log_, metrics_, seed}));

  http_listener_options http =
      CallerListenerOptions(settings_, settings_.http_address);
  http.log = log_;
  http.metrics = metrics_;
  BOOST_LEAF_ASSIGN(http_, http_listener::Bind(std::move(http)));
  return {};
}

void daemon_process::ConnectManagers() {
  workers_->SetInstancesCallback(
      [this](std::span<const instance_record> instances) {
        dispatcher_->SetInstances(instances);
      });
  cluster_->SetGossipSource([this](wire::gossipT& gossip) {
    workers_->FillGossip(gossip);
    dispatcher_->FillGossip(gossip);
  });
}

void daemon_process::AddRoutes() {
  httplib::Server& server = http_->Server();
  AddErrorHandler(server);
  AddServiceRoutes(server, *dispatcher_);
  AddJobRoutes(server, *jobs_);
  status_sources sources;
  sources.settings = &settings_;
  sources.member_id = member_id_;
  sources.cluster = cluster_.get();
  sources.workers = workers_.get();
  sources.jobs = jobs_.get();
  sources.request_dispatcher = dispatcher_.get();
  sources.peers = peers_.get();
  sources.kv = kv_.get();
  sources.stopping = &stopping_;
  sources.metrics = metrics_;
  AddStatusRoutes(server, std::move(sources));
}

result<void> daemon_process::StartComponents() {
  // The cluster manager starts after the managers above, because they register
  // the callbacks that it calls.
  BOOST_LEAF_CHECK(dispatcher_->Start());
  BOOST_LEAF_CHECK(workers_->Start());
  BOOST_LEAF_CHECK(jobs_->Start());
  BOOST_LEAF_CHECK(cluster_->Start());
  BOOST_LEAF_CHECK(http_->Start());
  Emit(log_, kDaemonStarted,
       {Field("member", member_id_), Field("http", http_->Address()),
        Field("peer", peers_->ListenAddress())});
  return {};
}

const std::string& daemon_process::HttpAddress() const {
  return http_->Address();
}

void daemon_process::DrainAndStop() {
  Emit(log_, kStopRequested, {Field("member", member_id_)});
  stopping_ = true;
  cluster_->AnnounceLeaving();
  // The load balancer and the peers notice with a delay that this daemon is not
  // ready. Requests that arrive until then are served.
  clock_->SleepFor(settings_.readiness_grace);
  dispatcher_->StartDraining();
  WaitForInFlightRequests(clock_->Now() + settings_.drain_timeout);
  HandOverOwnership(clock_->Now() + kHandOverTimeout);
  StopComponents();
  Emit(log_, kDaemonStopped, {Field("member", member_id_)});
}

void daemon_process::WaitForInFlightRequests(time_point deadline) {
  while (dispatcher_->InFlightRequests() > 0 && clock_->Now() < deadline) {
    clock_->SleepFor(kInFlightPollInterval);
  }
  const std::size_t in_flight_requests = dispatcher_->InFlightRequests();
  Emit(log_, in_flight_requests == 0 ? kDrainFinished : kDrainTimedOut,
       {Field("in_flight", in_flight_requests)});
}

void daemon_process::HandOverOwnership(time_point deadline) {
  const auto handed_over = Attempt([&] {
    return cluster_->HandOverOwnership(deadline, [&](const assignment& next) {
      dispatcher_->HandOverKeyRecords(next, deadline);
      workers_->ReleaseWorkers();
    });
  });
  if (!handed_over) {
    Emit(log_, kHandOverFailed,
         {Field("reason", Describe(handed_over.failure))});
  }
}

void daemon_process::StopComponents() {
  if (std::exchange(stopped_, true)) return;
  stopping_ = true;
  if (http_) http_->Stop();
  if (dispatcher_) dispatcher_->Stop();
  if (jobs_) jobs_->Stop();
  if (workers_) workers_->Stop();
  if (cluster_) cluster_->Stop();
  if (peers_) peers_->Stop();
}

}  // namespace apricotwheel
