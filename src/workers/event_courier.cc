#include "workers/event_courier.h"

#include <iterator>
#include <map>
#include <utility>

#include "kernel/thread_group.h"

namespace apricotwheel {

namespace {

// Covers the group commit of the receiver and one retry of it.
constexpr auto kDeliveryTimeout = milliseconds(2000);
constexpr std::size_t kEventsPerMessage = 512;

using event_list = std::vector<wire::running_taskT>;

std::vector<std::string> SendTo(const event_courier_options& options,
                                const std::string& owner,
                                const event_list& events) {
  wire::task_eventsT body;
  for (const auto& event : events) {
    body.tasks.push_back(std::make_unique<wire::running_taskT>(event));
  }
  const auto message = MakeMessage(std::move(body));
  const auto reply = Attempt(
      [&] { return options.peers->Call(owner, message, kDeliveryTimeout); });
  if (!reply) return {};
  const auto* ack = reply->body.Astask_events_ack();
  return ack == nullptr ? std::vector<std::string>{} : ack->accepted;
}

}  // namespace

bool DeliverEvents(const event_courier_options& options,
                   const worker_manager::task_event_sink& local_sink) {
  const auto view = options.cluster->View();
  if (!view) return true;
  std::map<std::string, std::vector<event_list>> by_owner;
  bool undeliverable = false;
  for (auto& event : options.fleet->PendingEvents()) {
    const auto shard = event.spec->shard;
    if (shard >= kShardCount || view->owners.shards[shard].owner.empty()) {
      undeliverable = true;
      continue;
    }
    auto& parts = by_owner[view->owners.shards[shard].owner];
    if (parts.empty() || parts.back().size() >= kEventsPerMessage) {
      parts.emplace_back();
    }
    parts.back().push_back(std::move(event));
  }
  std::atomic<std::size_t> missing = 0;
  const auto deliver = [&](const std::string& owner, const event_list& events) {
    std::vector<std::string> accepted;
    if (owner != options.member_id) {
      accepted = SendTo(options, owner, events);
    } else if (local_sink) {
      accepted = local_sink(events);
    }
    options.fleet->OnAccepted(events, accepted);
    if (accepted.size() < events.size()) ++missing;
  };
  // A slow owner must not hold up the events of the others.
  thread_group threads;
  for (const auto& [owner, parts] : by_owner) {
    const auto send_all = [&deliver, &owner = owner, &parts = parts] {
      for (const auto& part : parts) deliver(owner, part);
    };
    if (by_owner.size() == 1 ||
        !Attempt([&] { return threads.Spawn("events", send_all); })) {
      send_all();
    }
  }
  threads.JoinAll();
  return undeliverable || missing > 0;
}

}  // namespace apricotwheel
