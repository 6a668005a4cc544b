#include <algorithm>
#include <functional>
#include <queue>

#include "bench/request_model.h"

namespace apricotwheel::bench {
namespace {

class balance_model {
 public:
  balance_model(const request_setup& setup, const balance_policy& policy)
      : setup_(setup),
        policy_(policy),
        free_slots_(setup.daemons, 0),
        queues_(setup.daemons),
        known_scores_(setup.daemons, std::vector<double>(setup.daemons, 0)) {
    for (std::size_t i = 0; i < setup.instances; ++i) {
      free_slots_[(i / setup.rack_size) % setup.daemons] += setup.slots;
    }
    total_slots_ = free_slots_;
    ExchangeScores();
  }

  balance_result Run(const std::vector<request_input>& requests) {
    double next_gossip = setup_.gossip_interval_ms;
    for (const request_input& input : requests) {
      while (next_gossip <= input.arrival) {
        ProcessEvents(next_gossip);
        ExchangeScores();
        next_gossip += setup_.gossip_interval_ms;
      }
      ProcessEvents(input.arrival);
      event request{input.arrival,
                    event_kind::kArrival,
                    0,
                    input.entry,
                    input.arrival,
                    0,
                    input.service,
                    0,
                    0};
      request.owner = ChooseOwner(input.entry);
      if (request.owner != input.entry)
        known_scores_[input.entry][request.owner] -= 1;
      request.hop_delay = HopDelay(input.entry, request.owner);
      request.time += request.hop_delay;
      events_.push(request);
    }
    ProcessEvents(1e300);
    return std::move(result_);
  }

 private:
  enum class event_kind { kArrival, kEnd, kScoreUpdate };
  struct event {
    double time;
    event_kind kind;
    std::size_t owner;
    std::size_t entry;  // Of a score update: its sender.
    double arrival;
    double hop_delay;  // First hop; not counted as waiting.
    double service;
    int moves;
    double published_score;
    bool operator>(const event& other) const { return time > other.time; }
  };

  // A daemon without instances cannot serve requests and gets the lowest score.
  double Score(std::size_t daemon) const {
    if (total_slots_[daemon] == 0) return -1e9;
    return static_cast<double>(free_slots_[daemon]) -
           static_cast<double>(queues_[daemon].size());
  }

  double HopDelay(std::size_t from, std::size_t to) const {
    return from == to ? 0 : setup_.one_way_delay_ms;
  }

  void ExchangeScores() {
    for (auto& scores : known_scores_) {
      for (std::size_t i = 0; i < setup_.daemons; ++i) scores[i] = Score(i);
    }
  }

  std::size_t ChooseOwner(std::size_t self) {
    known_scores_[self][self] = Score(self);
    std::size_t best = self;
    // Each daemon starts the search at its successor. Otherwise daemons with
    // equal scores would all choose the same owner.
    for (std::size_t step = 1; step < setup_.daemons; ++step) {
      const std::size_t i = (self + step) % setup_.daemons;
      if (known_scores_[self][i] > known_scores_[self][best]) best = i;
    }
    return best;
  }

  void StartRequest(event request, double now) {
    result_.waits.push_back(
        std::max(0.0, now - request.arrival - request.hop_delay));
    request.time = now + request.service;
    request.kind = event_kind::kEnd;
    events_.push(request);
  }

  void PublishScore(std::size_t owner, double now) {
    if (total_slots_[owner] == 0 || Score(owner) > policy_.max_published_score)
      return;
    for (std::size_t i = 0; i < setup_.daemons; ++i) {
      if (i == owner) continue;
      events_.push({now + setup_.one_way_delay_ms, event_kind::kScoreUpdate, i,
                    owner, 0, 0, 0, 0, Score(owner)});
      ++result_.control_messages;
    }
  }

  void MoveRequest(std::size_t from, std::size_t to, event request,
                   double now) {
    known_scores_[from][to] -= 1;
    ++request.moves;
    ++result_.moves;
    request.owner = to;
    request.time =
        now + (policy_.forward_through_entry
                   ? HopDelay(from, request.entry) + HopDelay(request.entry, to)
                   : setup_.one_way_delay_ms);
    events_.push(request);
  }

  // Moves queued requests, newest first, while the last known score of a peer
  // is sufficiently higher.
  void MoveQueuedRequests(std::size_t owner, double now) {
    auto& queue = queues_[owner];
    for (std::size_t i = 0; i < queue.size();) {
      const std::size_t best = ChooseOwner(owner);
      if (known_scores_[owner][best] - Score(owner) <
          policy_.min_score_difference)
        return;
      const std::size_t index = queue.size() - 1 - i;
      if (queue[index].moves >= policy_.max_moves) {
        ++i;
        continue;
      }
      const event moved = queue[index];
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
      MoveRequest(owner, best, moved, now);
    }
  }

  void HandleArrival(const event& request) {
    const std::size_t owner = request.owner;
    if (free_slots_[owner] > 0) {
      --free_slots_[owner];
      StartRequest(request, request.time);
    } else {
      auto& queue = queues_[owner];
      queue.insert(std::upper_bound(queue.begin(), queue.end(), request,
                                    [](const event& left, const event& right) {
                                      return left.arrival < right.arrival;
                                    }),
                   request);
      MoveQueuedRequests(owner, request.time);
    }
    PublishScore(owner, request.time);
  }

  void ProcessEvents(double until) {
    while (!events_.empty() && events_.top().time <= until) {
      const event next_event = events_.top();
      events_.pop();
      if (next_event.kind == event_kind::kArrival) {
        HandleArrival(next_event);
      } else if (next_event.kind == event_kind::kScoreUpdate) {
        known_scores_[next_event.owner][next_event.entry] =
            next_event.published_score;
        MoveQueuedRequests(next_event.owner, next_event.time);
      } else {
        auto& queue = queues_[next_event.owner];
        if (queue.empty()) {
          ++free_slots_[next_event.owner];
        } else {
          const event next = queue.front();
          queue.erase(queue.begin());
          StartRequest(next, next_event.time);
        }
        known_scores_[next_event.entry][next_event.owner] =
            Score(next_event.owner);
        PublishScore(next_event.owner, next_event.time);
      }
    }
  }

  request_setup setup_;
  balance_policy policy_;
  std::vector<std::size_t> free_slots_;
  std::vector<std::size_t> total_slots_;  // By daemon.
  std::vector<std::vector<event>> queues_;
  // Last known scores by observing daemon and owner.
  std::vector<std::vector<double>> known_scores_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  balance_result result_;
};

}  // namespace

balance_result RunBalanced(const std::vector<request_input>& requests,
                           const request_setup& setup,
                           const balance_policy& policy) {
  return balance_model(setup, policy).Run(requests);
}

}  // namespace apricotwheel::bench
