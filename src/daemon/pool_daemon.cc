#include "daemon/pool_daemon.h"

#include <utility>

#include "daemon/daemon_events.h"
#include "daemon/daemon_options.h"
#include "daemon/http_reply.h"
#include "kernel/random.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kPeerKeyBytes = 32;
constexpr std::string_view kPeerKeyKey = "apricotwheel/peer-key";
constexpr auto kBootRetry = milliseconds(100);
// Times of a planned stop in which other daemons take the pools, and in which
// the membership ends.
constexpr auto kLeaveTime = milliseconds(1500);
constexpr auto kResignTime = milliseconds(500);
constexpr std::size_t kMaxProbeConnections = 16;
constexpr std::size_t kMaxOperatorConnections = 8;

// All daemons share one key, which the first of them writes. It keeps out
// processes that cannot read the key-value service.
result<std::string> SharedPeerKey(kv_client& kv) {
  BOOST_LEAF_AUTO(stored, kv.Get(kPeerKeyKey));
  if (stored) return stored->value;
  std::string fresh = RandomHex(kPeerKeyBytes);
  kv_put_options only_first;
  only_first.expected_revision = 0;
  BOOST_LEAF_CHECK(kv.Put(kPeerKeyKey, fresh, only_first));
  return fresh;
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
      boot_signal_(clock_) {}

pool_daemon::~pool_daemon() { StopParts(); }

result<std::unique_ptr<pool_daemon>> pool_daemon::Start(
    daemon_settings settings, clock_ptr clock, log_sink log) {
  std::unique_ptr<pool_daemon> daemon(
      new pool_daemon(std::move(settings), std::move(clock), std::move(log)));
  BOOST_LEAF_CHECK(daemon->Open());
  return daemon;
}

result<void> pool_daemon::Open() {
  BOOST_LEAF_AUTO(adapter, plugin_registry<service_adapter>::Instance().Find(
                               settings_.service_adapter));
  service_adapter_options options;
  options.kv_address = settings_.kv_address;
  options.advisor_address = settings_.advisor_address;
  options.log = log_;
  BOOST_LEAF_ASSIGN(ports_, adapter->open(options));
  kv_ = kv_client::Create(ports_.key_value, options.call_timeout);
  gate_ = std::make_unique<queue_gateway>(clock_, log_);

  BOOST_LEAF_ASSIGN(callers_, http_listener::Bind(CallerListenerOptions(
                                  settings_, settings_.caller_address)));
  ports_.add_caller_api(callers_->Server(), *gate_);

  http_listener_options probes;
  probes.address = settings_.readiness_address;
  probes.max_connections = kMaxProbeConnections;
  BOOST_LEAF_ASSIGN(probes_, http_listener::Bind(probes));
  ports_.add_readiness_api(probes_->Server(), [this] { return IsReady(); });

  http_listener_options operators;
  operators.address = settings_.http_address;
  operators.max_connections = kMaxOperatorConnections;
  BOOST_LEAF_ASSIGN(operators_, http_listener::Bind(operators));
  operators_->Server().Get(
      "/metrics", [this](const httplib::Request&, httplib::Response& reply) {
        process_metrics_.Update(Totals());
        ReplyMetrics(reply, *metrics_);
      });
  BOOST_LEAF_CHECK(callers_->Start());
  BOOST_LEAF_CHECK(probes_->Start());
  BOOST_LEAF_CHECK(operators_->Start());
  Emit(log_, kDaemonStarted,
       {Field("member", member_id_), Field("http", operators_->Address()),
        Field("callers", callers_->Address()),
        Field("peer", settings_.peer_address),
        Field("adapter", settings_.service_adapter)});
  return threads_.Spawn("boot", [this] { Boot(); });
}

void pool_daemon::Boot() {
  while (!boot_signal_.StopRequested()) {
    auto key = Attempt([&] { return SharedPeerKey(*kv_); });
    outcome<void> started;
    if (key) {
      const std::lock_guard lock(parts_mutex_);
      if (stopping_) return;
      started = Attempt([&] { return StartParts(std::move(*key)); });
      if (started) return;
    }
    Emit(log_, kStartDelayed,
         {Field("reason", Describe(key ? started.failure : key.failure))});
    if (boot_signal_.WaitFor(kBootRetry)) return;
  }
}

result<void> pool_daemon::StartParts(std::string peer_key) {
  // What an earlier try left holds the peer address.
  configuration_.reset();
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
  host.platform = &ports_;
  host.metrics = &pool_metrics_;
  host.clock = clock_;
  host.log = log_;
  host_ = std::make_unique<pool_host>(std::move(host));
  BOOST_LEAF_CHECK(host_->Start());
  BOOST_LEAF_CHECK(directory_->Start());
  gate_->Open({kv_.get(), peers_.get(), directory_.get(), host_.get(),
               &pool_metrics_, clock_, log_});
  configuration_ = std::make_unique<kv_watcher>(
      kv_watcher_options{ports_.configuration_key, kv_.get(), clock_, log_},
      kv_watcher::callbacks{
          [this](const kv_event& event) { ConfigurationChanged(event); },
          [](bool) {}});
  return configuration_->Start();
}

void pool_daemon::ConfigurationChanged(const kv_event& event) {
  if (event.deleted || event.entry.key != ports_.configuration_key) return;
  auto table =
      Attempt([&] { return ports_.decode_configuration(event.entry.value); });
  if (!table) {
    // The last good one stays in force.
    Emit(log_, pool_events::kConfigurationInvalid,
         {Field("revision", event.entry.revision),
          Field("reason", Describe(table.failure))});
    return;
  }
  std::vector<std::string> pools;
  for (const pool_rules& pool : table->pools) {
    if (!pool.is_standby) pools.push_back(pool.name);
  }
  gate_->SetTable(std::move(*table));
  directory_->SetPools(std::move(pools));
}

control_totals pool_daemon::Totals() {
  control_totals totals;
  totals.kv_calls = kv_->CallCount();
  const std::lock_guard lock(parts_mutex_);
  if (!peers_) return totals;
  totals.peer_bytes_sent = peers_->BytesSent();
  totals.peer_bytes_received = peers_->BytesReceived();
  totals.peer_messages_sent = peers_->MessagesSent();
  return totals;
}

bool pool_daemon::IsReady() const { return !stopping_ && gate_->IsOpen(); }

void pool_daemon::DrainAndStop() {
  Emit(log_, kStopRequested, {Field("member", member_id_)});
  stopping_ = true;
  boot_signal_.RequestStop();
  threads_.JoinAll();
  const auto asked_at = clock_->Now();
  if (host_) host_->HandOverPools(asked_at + duration(kLeaveTime));
  // Callers go on using open connections until the balancer has seen that this
  // daemon is not ready.
  clock_->SleepUntil(asked_at + settings_.readiness_grace);
  StopParts();
  Emit(log_, kDaemonStopped, {Field("member", member_id_)});
}

void pool_daemon::StopParts() {
  if (std::exchange(stopped_, true)) return;
  stopping_ = true;
  boot_signal_.RequestStop();
  threads_.JoinAll();
  if (callers_) callers_->Stop();
  if (probes_) probes_->Stop();
  if (operators_) operators_->Stop();
  if (kv_) kv_->InterruptWatches();
  if (configuration_) configuration_->Stop();
  if (host_) host_->Stop();
  // Not before: the other daemons drop their links to one that is no member.
  if (directory_) {
    directory_->Resign(clock_->Now() + duration(kResignTime));
    directory_->Stop();
  }
  if (peers_) peers_->Stop();
}

}  // namespace apricotwheel
