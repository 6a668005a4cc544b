#include "workers/task_event_sender.h"

#include <iterator>
#include <map>
#include <utility>

#include "kernel/thread_group.h"

namespace apricotwheel {

namespace {

// The receiver acknowledges events after its group commit; the timeout covers
// that commit and one retry of it.
constexpr auto kDeliveryTimeout = milliseconds(2000);
constexpr std::size_t kMaxEventsPerMessage = 512;

using event_list = std::vector<wire::running_taskT>;

std::vector<std::string> SendToOwner(const task_event_sender_options& options,
                                     const std::string& owner,
                                     const event_list& events) {
  wire::task_eventsT body;
  for (const auto& event : events) {
    body.tasks.push_back(std::make_unique<wire::running_taskT>(event));
  }
  const auto message = MakeMessage(std::move(body));
  const auto response = Attempt(
      [&] { return options.peers->Call(owner, message, kDeliveryTimeout); });
  if (!response) return {};
  const auto* ack = response->body.Astask_events_ack();
  return ack == nullptr ? std::vector<std::string>{} : ack->accepted;
}

}  // namespace

bool SendPendingEvents(
    const task_event_sender_options& options,
    const worker_manager::task_events_handler& local_handler) {
  const auto view = options.cluster->View();
  if (!view) return true;
  std::map<std::string, std::vector<event_list>> by_owner;
  bool has_event_without_owner = false;
  for (auto& event : options.fleet->PendingEvents()) {
    const auto shard = event.spec->shard;
    if (shard >= kShardCount || view->owners.shards[shard].owner.empty()) {
      has_event_without_owner = true;
      continue;
    }
    auto& batches = by_owner[view->owners.shards[shard].owner];
    if (batches.empty() || batches.back().size() >= kMaxEventsPerMessage) {
      batches.emplace_back();
    }
    batches.back().push_back(std::move(event));
  }
  std::atomic<std::size_t> incomplete_batches = 0;
  const auto send_batch = [&](const std::string& owner,
                              const event_list& events) {
    std::vector<std::string> accepted;
    if (owner != options.member_id) {
      accepted = SendToOwner(options, owner, events);
    } else if (local_handler) {
      accepted = local_handler(events);
    }
    options.fleet->OnEventsAccepted(events, accepted);
    if (accepted.size() < events.size()) ++incomplete_batches;
  };
  // Uses one thread per owner, so that a slow owner does not delay the events
  // of the others.
  thread_group threads;
  for (const auto& [owner, batches] : by_owner) {
    const auto send_all = [&send_batch, &owner = owner, &batches = batches] {
      for (const auto& batch : batches) send_batch(owner, batch);
    };
    if (by_owner.size() == 1 ||
        !Attempt([&] { return threads.Spawn("events", send_all); })) {
      send_all();
    }
  }
  threads.JoinAll();
  return has_event_without_owner || incomplete_batches > 0;
}

}  // namespace apricotwheel
