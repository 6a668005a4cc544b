#include <algorithm>
#include <deque>
#include <functional>
#include <queue>

#include "bench/bench_report.h"
#include "bench/request_model.h"

namespace apricotwheel::bench {
namespace {

// Returns the waiting times with one first-come first-served queue for
// `servers` slots.
std::vector<double> SimulateSharedQueue(
    const std::vector<request_input>& requests, std::size_t servers) {
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (std::size_t i = 0; i < servers; ++i) free_at.push(0);
  std::vector<double> waits;
  for (const request_input& each : requests) {
    const double start = std::max(each.arrival, free_at.top());
    free_at.pop();
    free_at.push(start + each.service);
    waits.push_back(start - each.arrival);
  }
  return waits;
}

// Returns the waiting times if each request goes to a random instance with its
// own queue.
std::vector<double> SimulateRandomChoice(
    const std::vector<request_input>& requests, const request_setup& setup) {
  std::vector<std::vector<request_input>> by_instance(setup.instances);
  for (const request_input& each : requests) {
    by_instance[each.instance].push_back(each);
  }
  std::vector<double> waits;
  for (const auto& each : by_instance) {
    const auto part = SimulateSharedQueue(each, setup.slots);
    waits.insert(waits.end(), part.begin(), part.end());
  }
  return waits;
}

// Simulates the dispatch rule of section 6.1 of docs/design.md without moves.
// The score of a daemon is its number of free slots minus its queued requests.
// The entry forwards a request to the daemon with the highest score, on a tie
// to itself. It knows its own current score, and the others' scores from gossip
// and responses minus the requests that it has sent since. With a hand-over
// limit, an owner without a free slot forwards the request to an owner whose
// known score is positive, and each dispatch carries the sender's score.
class owner_dispatch_model {
 public:
  explicit owner_dispatch_model(const request_setup& setup)
      : setup_(setup),
        free_slots_(setup.daemons, 0),
        queues_(setup.daemons),
        known_scores_(setup.daemons, std::vector<double>(setup.daemons, 0)),
        has_queue_notice_(setup.daemons,
                          std::vector<bool>(setup.daemons, false)) {
    // Daemons own whole racks, so they own different numbers of slots.
    for (std::size_t i = 0; i < setup.instances; ++i) {
      free_slots_[(i / setup.rack_size) % setup.daemons] += setup.slots;
    }
    total_slots_ = free_slots_;
    ExchangeScores();
  }

  std::vector<double> Run(const std::vector<request_input>& requests) {
    double next_gossip = setup_.gossip_interval_ms;
    for (const request_input& each : requests) {
      while (next_gossip <= each.arrival) {
        ProcessEvents(next_gossip);
        ExchangeScores();
        next_gossip += setup_.gossip_interval_ms;
      }
      ProcessEvents(each.arrival);
      const std::size_t owner = ChooseOwner(each.entry);
      if (owner != each.entry) known_scores_[each.entry][owner] -= 1;
      const double delay = owner == each.entry ? 0 : setup_.one_way_delay_ms;
      events_.push({each.arrival + delay, event_kind::kArrival, owner,
                    each.entry, each.arrival, delay, each.service, 0});
    }
    ProcessEvents(1e300);
    return std::move(waits_);
  }

  std::uint64_t ControlMessages() const { return control_messages_; }

 private:
  enum class event_kind { kArrival, kEnd, kQueuedNotice, kSlotOffer };
  struct event {
    double time;
    event_kind kind;
    std::size_t owner;
    std::size_t entry;
    double arrival;
    double hop_delay;
    double service;
    int handovers;
    bool operator>(const event& other) const { return time > other.time; }
  };

  // A daemon without instances cannot serve requests and gets the lowest score.
  double Score(std::size_t daemon) const {
    if (total_slots_[daemon] == 0) return -1e9;
    return static_cast<double>(free_slots_[daemon]) -
           static_cast<double>(queues_[daemon].size());
  }

  void ExchangeScores() {
    for (auto& scores : known_scores_) {
      for (std::size_t i = 0; i < setup_.daemons; ++i) scores[i] = Score(i);
    }
  }

  std::size_t ChooseOwner(std::size_t entry) const {
    std::size_t best = entry;
    double best_score = Score(entry);
    for (std::size_t i = 0; i < setup_.daemons; ++i) {
      if (i == entry || known_scores_[entry][i] <= best_score) continue;
      best = i;
      best_score = known_scores_[entry][i];
    }
    return best;
  }

  void StartRequest(const event& request, double now) {
    // The delay of the first hop is network time and not counted as waiting.
    waits_.push_back(now - request.arrival - request.hop_delay);
    event end = request;
    end.time = now + request.service;
    end.kind = event_kind::kEnd;
    events_.push(end);
  }

  void HandleArrival(const event& request) {
    if (setup_.handover_limit > 0 && request.handovers == 0) {
      known_scores_[request.owner][request.entry] = Score(request.entry);
    }
    if (free_slots_[request.owner] > 0) {
      --free_slots_[request.owner];
      StartRequest(request, request.time);
      return;
    }
    const std::size_t other = ChooseOwner(request.owner);
    if (request.handovers < setup_.handover_limit && other != request.owner &&
        known_scores_[request.owner][other] > 0) {
      known_scores_[request.owner][other] -= 1;
      event sent = request;
      sent.time += setup_.one_way_delay_ms;
      sent.owner = other;
      ++sent.handovers;
      events_.push(sent);
      return;
    }
    queues_[request.owner].push_back(request);
    if (!setup_.send_slot_offers) return;
    for (std::size_t i = 0; i < setup_.daemons; ++i) {
      if (i != request.owner) {
        SendControlMessage(event_kind::kQueuedNotice, i, request.owner,
                           request.time);
      }
    }
  }

  // Sends a message from daemon `from` to daemon `owner`.
  void SendControlMessage(event_kind kind, std::size_t owner, std::size_t from,
                          double now) {
    events_.push(
        {now + setup_.one_way_delay_ms, kind, owner, from, 0, 0, 0, 0});
    ++control_messages_;
  }

  void OfferSlots(std::size_t owner, double now) {
    if (!setup_.send_slot_offers) return;
    std::size_t remaining = free_slots_[owner];
    for (std::size_t i = 0; i < setup_.daemons && remaining > 0; ++i) {
      if (!has_queue_notice_[owner][i]) continue;
      has_queue_notice_[owner][i] = false;
      SendControlMessage(event_kind::kSlotOffer, i, owner, now);
      --remaining;
    }
  }

  void HandleSlotOffer(std::size_t owner, std::size_t to, double now) {
    if (queues_[owner].empty()) return;
    event request = queues_[owner].front();
    queues_[owner].pop_front();
    request.time = now + setup_.one_way_delay_ms;
    request.owner = to;
    request.handovers = setup_.handover_limit;
    events_.push(request);
    if (!queues_[owner].empty()) {
      SendControlMessage(event_kind::kQueuedNotice, to, owner, now);
    }
  }

  void ProcessEvents(double until) {
    while (!events_.empty() && events_.top().time <= until) {
      const event next_event = events_.top();
      events_.pop();
      if (next_event.kind == event_kind::kArrival) {
        HandleArrival(next_event);
        continue;
      }
      if (next_event.kind == event_kind::kQueuedNotice) {
        has_queue_notice_[next_event.owner][next_event.entry] = true;
        OfferSlots(next_event.owner, next_event.time);
        continue;
      }
      if (next_event.kind == event_kind::kSlotOffer) {
        HandleSlotOffer(next_event.owner, next_event.entry, next_event.time);
        continue;
      }
      if (queues_[next_event.owner].empty()) {
        ++free_slots_[next_event.owner];
        OfferSlots(next_event.owner, next_event.time);
      } else {
        const event next = queues_[next_event.owner].front();
        queues_[next_event.owner].pop_front();
        StartRequest(next, next_event.time);
      }
      // The response carries the owner's score to the entry.
      known_scores_[next_event.entry][next_event.owner] =
          Score(next_event.owner);
    }
  }

  request_setup setup_;
  std::vector<std::size_t> free_slots_;
  std::vector<std::size_t> total_slots_;  // By daemon.
  std::vector<std::deque<event>> queues_;
  // Last known scores by observing daemon and owner.
  std::vector<std::vector<double>> known_scores_;
  std::vector<std::vector<bool>> has_queue_notice_;  // By owner and sender.
  std::uint64_t control_messages_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<double> waits_;
};

}  // namespace

void RunRequestBench(const std::string& deployment, const json& input,
                     const figure_printer& out) {
  request_setup setup;
  setup.instances = input.at("instances");
  setup.slots = input.at("slots");
  setup.daemons = input.at("daemons");
  setup.rack_size = input.at("rack_size");
  setup.one_way_delay_ms = input.at("one_way_ms");
  const double mean = input.at("mean_ms");
  const auto servers = setup.instances * setup.slots;
  const double gap =
      mean / (static_cast<double>(servers) * input.at("load").get<double>());
  random_source random{21};
  std::vector<request_input> requests(input.at("count").get<std::size_t>());
  double now = 0;
  for (request_input& each : requests) {
    now += Exponential(random, gap);
    each = {now, Exponential(random, mean), NextBelow(random, setup.daemons),
            NextBelow(random, setup.instances)};
  }
  const auto line = [&](const std::string& name, std::vector<double>& waits) {
    out.PrintFigure("request_waiting_p50_ms." + deployment + "." + name,
                    Quantile(waits, 0.5), "ms");
    out.PrintFigure("request_waiting_p99_ms." + deployment + "." + name,
                    Quantile(waits, 0.99), "ms");
    out.PrintFigure("request_waiting_p999_ms." + deployment + "." + name,
                    Quantile(waits, 0.999), "ms");
    return Quantile(waits, 0.99);
  };
  auto waits = SimulateSharedQueue(requests, servers);
  const double shared = line("shared-queue", waits);
  // The summary figures below use the first gossip interval and the rule of
  // section 6.1 of docs/design.md, in which queued requests move through the
  // entry.
  double owner = 0;
  for (const json& gossip : input.at("gossip_ms")) {
    setup.gossip_interval_ms = gossip;
    waits = owner_dispatch_model(setup).Run(requests);
    const double p99 = line("owner-dispatch-gossip-" + gossip.dump(), waits);
    out.PrintFigure("no_moves_p99_over_shared_queue." + deployment +
                        ".gossip-" + gossip.dump(),
                    p99 / shared, "ratio");
    request_setup changed = setup;
    changed.handover_limit = input.at("handover_limit");
    waits = owner_dispatch_model(changed).Run(requests);
    const double handed = line("hand-over-gossip-" + gossip.dump(), waits);
    out.PrintFigure("hand_over_p99_over_shared_queue." + deployment +
                        ".gossip-" + gossip.dump(),
                    handed / shared, "ratio");
    changed.send_slot_offers = true;
    owner_dispatch_model with_offers(changed);
    waits = with_offers.Run(requests);
    const double offered = line("offers-gossip-" + gossip.dump(), waits);
    out.PrintFigure("offers_p99_over_shared_queue." + deployment + ".gossip-" +
                        gossip.dump(),
                    offered / shared, "ratio");
    out.PrintFigure("offers_messages_per_request." + deployment + ".gossip-" +
                        gossip.dump(),
                    static_cast<double>(with_offers.ControlMessages()) /
                        static_cast<double>(requests.size()),
                    "messages");
    for (const bool through_entry : {true, false}) {
      balance_policy policy;
      policy.forward_through_entry = through_entry;
      policy.max_moves = through_entry ? 1 : 3;
      auto balanced = RunBalanced(requests, setup, policy);
      const std::string kind = through_entry ? "moves" : "direct-moves";
      const double moved =
          line(kind + "-gossip-" + gossip.dump(), balanced.waits);
      if (through_entry && owner == 0) owner = moved;
      out.PrintFigure(kind + "_p99_over_shared_queue." + deployment +
                          ".gossip-" + gossip.dump(),
                      moved / shared, "ratio");
      out.PrintFigure(
          kind + "_messages_per_request." + deployment + ".gossip-" +
              gossip.dump(),
          static_cast<double>(balanced.control_messages + balanced.moves) /
              static_cast<double>(requests.size()),
          "messages");
    }
  }
  waits = SimulateRandomChoice(requests, setup);
  const double random_choice = line("random-instance", waits);
  out.PrintFigure("waiting_p99_over_shared_queue." + deployment, owner / shared,
                  "ratio");
  out.PrintFigure("waiting_p99_over_random." + deployment,
                  owner / random_choice, "ratio");
}

}  // namespace apricotwheel::bench
