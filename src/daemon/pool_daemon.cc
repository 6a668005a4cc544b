#include "daemon/pool_daemon.h"

#include <utility>

#include "daemon/daemon_events.h"
#include "daemon/daemon_options.h"
#include "daemon/http_responses.h"
#include "kernel/random.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kPeerKeyBytes = 32;
constexpr std::string_view kPeerKeyEntry = "apricotwheel/peer-key";
constexpr auto kStartRetryInterval = milliseconds(100);
// Bounds of two steps of a planned stop: other daemons take the pools over, and
// this daemon ends its membership.
constexpr auto kPoolHandOverTimeout = milliseconds(1500);
constexpr auto kResignTimeout = milliseconds(500);
constexpr std::size_t kMaxReadinessConnections = 16;
constexpr std::size_t kMaxOperatorConnections = 8;

// Returns the peer key that all daemons share, which keeps out processes
// without access to the key-value service. The first daemon creates it; if
// another one creates it at the same time, the call fails and a retry reads
// that key.
result<std::string> ReadOrCreatePeerKey(kv_client& kv) {
  BOOST_LEAF_AUTO(stored, kv.Get(kPeerKeyEntry));
  if (stored) return stored->value;
  std::string new_key = RandomHex(kPeerKeyBytes);
  kv_put_options create_only;
  create_only.expected_revision = 0;
  BOOST_LEAF_CHECK(kv.Put(kPeerKeyEntry, new_key, create_only));
  return new_key;
}

}  // namespace

pool_daemon::pool_daemon(daemon_settings settings, clock_ptr clock,
                         log_sink log)
    : settings_(std::move(settings)),
      member_id_(MakeMemberId(settings_)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      metrics_(std::make_shared<prometheus::Registry>()),
      pool_metrics_(metrics_),
      process_metrics_(*metrics_),
      startup_stop_signal_(clock_) {}

pool_daemon::~pool_daemon() { StopComponents(); }

result<std::unique_ptr<pool_daemon>> pool_daemon::Start(
    daemon_settings settings, clock_ptr clock, log_sink log) {
  std::unique_ptr<pool_daemon> daemon(
      new pool_daemon(std::move(settings), std::move(clock), std::move(log)));
  BOOST_LEAF_CHECK(daemon->StartListeners());
  return daemon;
}

result<void> pool_daemon::StartListeners() {
  BOOST_LEAF_AUTO(adapter, plugin_registry<service_adapter>::Instance().Find(
                               settings_.service_adapter));
  service_adapter_options options;
  options.kv_address = settings_.kv_address;
  options.advisor_address = settings_.advisor_address;
  options.log = log_;
  BOOST_LEAF_ASSIGN(platform_, adapter->open(options));
  kv_ = kv_client::Create(platform_.key_value, options.call_timeout);
  gateway_ = std::make_unique<queue_gateway>(clock_, log_);

  http_listener_options callers =
      CallerListenerOptions(settings_, settings_.caller_address);
  callers.log = log_;
  callers.metrics = metrics_;
  BOOST_LEAF_ASSIGN(caller_listener_, http_listener::Bind(std::move(callers)));
  platform_.add_caller_api(caller_listener_->Server(), *gateway_);

  http_listener_options probes = ServiceListenerOptions(
      settings_, settings_.readiness_address, kMaxReadinessConnections);
  probes.log = log_;
  probes.metrics = metrics_;
  BOOST_LEAF_ASSIGN(readiness_listener_,
                    http_listener::Bind(std::move(probes)));
  platform_.add_readiness_api(readiness_listener_->Server(),
                              [this] { return IsReady(); });

  http_listener_options operators = ServiceListenerOptions(
      settings_, settings_.http_address, kMaxOperatorConnections);
  operators.log = log_;
  operators.metrics = metrics_;
  BOOST_LEAF_ASSIGN(operator_listener_,
                    http_listener::Bind(std::move(operators)));
  operator_listener_->Server().Get(
      "/metrics", [this](const httplib::Request&, httplib::Response& response) {
        process_metrics_.Update(CollectTotals());
        WriteMetricsResponse(response, *metrics_);
      });
  BOOST_LEAF_CHECK(caller_listener_->Start());
  BOOST_LEAF_CHECK(readiness_listener_->Start());
  BOOST_LEAF_CHECK(operator_listener_->Start());
  Emit(log_, kDaemonStarted,
       {Field("member", member_id_),
        Field("http", operator_listener_->Address()),
        Field("callers", caller_listener_->Address()),
        Field("peer", settings_.peer_address),
        Field("adapter", settings_.service_adapter)});
  return threads_.Spawn("boot", [this] { StartComponentsWithRetry(); });
}

void pool_daemon::StartComponentsWithRetry() {
  while (!startup_stop_signal_.StopRequested()) {
    auto key = Attempt([&] { return ReadOrCreatePeerKey(*kv_); });
    outcome<void> started;
    if (key) {
      const std::lock_guard lock(components_mutex_);
      if (stopping_) return;
      started = Attempt([&] { return StartComponents(std::move(*key)); });
      if (started) return;
    }
    Emit(log_, kStartDelayed,
         {Field("reason", Describe(key ? started.failure : key.failure))});
    if (startup_stop_signal_.WaitFor(kStartRetryInterval)) return;
  }
}

result<void> pool_daemon::StartComponents(std::string peer_key) {
  // Components of a failed attempt still occupy the peer address, and the
  // handlers of the peers use the host.
  if (peers_) peers_->Stop();
  configuration_watcher_.reset();
  host_.reset();
  directory_.reset();
  peers_.reset();
  peer_node_options peer = PeerOptions(settings_);
  peer.member_id = member_id_;
  peer.key = std::move(peer_key);
  peer.clock = clock_;
  peer.log = log_;
  peer.metrics = metrics_;
  BOOST_LEAF_ASSIGN(peers_, peer_node::Start(std::move(peer)));

  pool_directory_options directory;
  directory.settings = settings_;
  directory.self = {member_id_,
                    settings_.name,
                    settings_.failure_domain,
                    settings_.http_address,
                    peers_->ListenAddress(),
                    false};
  directory.kv = kv_.get();
  directory.peers = peers_.get();
  directory.clock = clock_;
  directory.log = log_;
  directory_ = std::make_unique<pool_directory>(std::move(directory));

  pool_host_options host;
  host.settings = settings_;
  host.kv = kv_.get();
  host.peers = peers_.get();
  host.directory = directory_.get();
  host.platform = &platform_;
  host.metrics = &pool_metrics_;
  host.clock = clock_;
  host.log = log_;
  host_ = std::make_unique<pool_host>(std::move(host));
  BOOST_LEAF_CHECK(host_->Start());
  BOOST_LEAF_CHECK(directory_->Start());
  gateway_->Open({kv_.get(), peers_.get(), directory_.get(), host_.get(),
                  &pool_metrics_, clock_, log_});
  configuration_watcher_ = std::make_unique<kv_watcher>(
      kv_watcher_options{platform_.configuration_key, kv_.get(), clock_, log_},
      kv_watcher::callbacks{
          [this](const kv_event& event) { OnConfigurationChanged(event); },
          [](bool) {}});
  return configuration_watcher_->Start();
}

void pool_daemon::OnConfigurationChanged(const kv_event& event) {
  if (event.deleted || event.entry.key != platform_.configuration_key) return;
  auto table = Attempt(
      [&] { return platform_.decode_configuration(event.entry.value); });
  if (!table) {
    // The last valid configuration stays active.
    Emit(log_, pool_events::kConfigurationInvalid,
         {Field("revision", event.entry.revision),
          Field("reason", Describe(table.failure))});
    return;
  }
  std::vector<std::string> pools;
  for (const pool_rules& pool : table->pools) {
    if (!pool.is_standby) pools.push_back(pool.name);
  }
  host_->SetOrganisations(table->organisations);
  gateway_->SetTable(std::move(*table));
  directory_->SetPools(std::move(pools));
}

control_cost_totals pool_daemon::CollectTotals() {
  control_cost_totals totals;
  totals.kv_calls = kv_->CallCount();
  const std::lock_guard lock(components_mutex_);
  if (!peers_) return totals;
  totals.peer_bytes_sent = peers_->BytesSent();
  totals.peer_bytes_received = peers_->BytesReceived();
  totals.peer_messages_sent = peers_->MessagesSent();
  return totals;
}

bool pool_daemon::IsReady() const { return !stopping_ && gateway_->IsOpen(); }

void pool_daemon::DrainAndStop() {
  Emit(log_, kStopRequested, {Field("member", member_id_)});
  stopping_ = true;
  startup_stop_signal_.RequestStop();
  threads_.JoinAll();
  const auto drain_started_at = clock_->Now();
  if (host_)
    host_->HandOverPools(drain_started_at + duration(kPoolHandOverTimeout));
  // Callers keep using open connections until the load balancer notices that
  // this daemon is not ready.
  clock_->SleepUntil(drain_started_at + settings_.readiness_grace);
  StopComponents();
  Emit(log_, kDaemonStopped, {Field("member", member_id_)});
}

void pool_daemon::StopComponents() {
  if (std::exchange(stopped_, true)) return;
  stopping_ = true;
  startup_stop_signal_.RequestStop();
  threads_.JoinAll();
  if (caller_listener_) caller_listener_->Stop();
  if (readiness_listener_) readiness_listener_->Stop();
  if (operator_listener_) operator_listener_->Stop();
  if (kv_) kv_->InterruptWatches();
  if (configuration_watcher_) configuration_watcher_->Stop();
  if (host_) host_->Stop();
  // The membership ends after the host has stopped, because the other daemons
  // close their connections to a daemon that is no member.
  if (directory_) {
    directory_->Resign(clock_->Now() + duration(kResignTimeout));
    directory_->Stop();
  }
  if (peers_) peers_->Stop();
}

}  // namespace apricotwheel
