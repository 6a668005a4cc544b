#include <algorithm>
#include <functional>
#include <queue>

#include "bench/request_model.h"

namespace apricotwheel::bench {
namespace {

class balance_model {
 public:
  balance_model(const request_setup& setup, const balance_rule& rule)
      : setup_(setup),
        rule_(rule),
        free_(setup.daemons, 0),
        queues_(setup.daemons),
        view_(setup.daemons, std::vector<double>(setup.daemons, 0)) {
    for (std::size_t i = 0; i < setup.instances; ++i) {
      free_[(i / setup.rack_size) % setup.daemons] += setup.slots;
    }
    total_ = free_;
    Gossip();
  }

  balance_result Run(const std::vector<request_input>& requests) {
    double next_gossip = setup_.gossip;
    for (const request_input& each : requests) {
      while (next_gossip <= each.arrival) {
        Advance(next_gossip);
        Gossip();
        next_gossip += setup_.gossip;
      }
      Advance(each.arrival);
      event request{each.arrival,
                    event_kind::kArrival,
                    0,
                    each.entry,
                    each.arrival,
                    0,
                    each.service,
                    0,
                    0};
      request.owner = Best(each.entry);
      if (request.owner != each.entry) view_[each.entry][request.owner] -= 1;
      request.delay = Hop(each.entry, request.owner);
      request.at += request.delay;
      events_.push(request);
    }
    Advance(1e300);
    return std::move(result_);
  }

 private:
  enum class event_kind { kArrival, kEnd, kState };
  struct event {
    double at;
    event_kind kind;
    std::size_t owner;
    std::size_t entry;  // Of a state: its sender.
    double arrival;
    double delay;  // Of the first hop, which is not waiting.
    double service;
    int moves;
    double state;
    bool operator>(const event& other) const { return at > other.at; }
  };

  // A daemon without instances can serve nothing and is never chosen.
  double Score(std::size_t daemon) const {
    if (total_[daemon] == 0) return -1e9;
    return static_cast<double>(free_[daemon]) -
           static_cast<double>(queues_[daemon].size());
  }

  double Hop(std::size_t from, std::size_t to) const {
    return from == to ? 0 : setup_.one_way;
  }

  void Gossip() {
    for (auto& view : view_) {
      for (std::size_t i = 0; i < setup_.daemons; ++i) view[i] = Score(i);
    }
  }

  std::size_t Best(std::size_t self) {
    view_[self][self] = Score(self);
    std::size_t best = self;
    // The search starts at another daemon in each, so that equal views do not
    // lead all to one.
    for (std::size_t step = 1; step < setup_.daemons; ++step) {
      const std::size_t i = (self + step) % setup_.daemons;
      if (view_[self][i] > view_[self][best]) best = i;
    }
    return best;
  }

  void Start(event request, double now) {
    result_.waits.push_back(
        std::max(0.0, now - request.arrival - request.delay));
    request.at = now + request.service;
    request.kind = event_kind::kEnd;
    events_.push(request);
  }

  void Publish(std::size_t owner, double now) {
    if (total_[owner] == 0 || Score(owner) > rule_.publish_below) return;
    for (std::size_t i = 0; i < setup_.daemons; ++i) {
      if (i == owner) continue;
      events_.push({now + setup_.one_way, event_kind::kState, i, owner, 0, 0, 0,
                    0, Score(owner)});
      ++result_.control_messages;
    }
  }

  void Move(std::size_t from, std::size_t to, event request, double now) {
    view_[from][to] -= 1;
    ++request.moves;
    ++result_.moves;
    request.owner = to;
    request.at = now + (rule_.through_entry
                            ? Hop(from, request.entry) + Hop(request.entry, to)
                            : setup_.one_way);
    events_.push(request);
  }

  // Sends queued requests on while a peer is believed to serve them earlier.
  void Balance(std::size_t owner, double now) {
    auto& queue = queues_[owner];
    for (std::size_t i = 0; i < queue.size();) {
      const std::size_t best = Best(owner);
      if (view_[owner][best] - Score(owner) < rule_.difference) return;
      const std::size_t at = queue.size() - 1 - i;  // The newest first.
      if (queue[at].moves >= rule_.max_moves) {
        ++i;
        continue;
      }
      const event moved = queue[at];
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(at));
      Move(owner, best, moved, now);
    }
  }

  void Arrive(const event& request) {
    const std::size_t owner = request.owner;
    if (free_[owner] > 0) {
      --free_[owner];
      Start(request, request.at);
    } else {
      auto& queue = queues_[owner];
      queue.insert(std::upper_bound(queue.begin(), queue.end(), request,
                                    [](const event& left, const event& right) {
                                      return left.arrival < right.arrival;
                                    }),
                   request);
      Balance(owner, request.at);
    }
    Publish(owner, request.at);
  }

  void Advance(double until) {
    while (!events_.empty() && events_.top().at <= until) {
      const event now = events_.top();
      events_.pop();
      if (now.kind == event_kind::kArrival) {
        Arrive(now);
      } else if (now.kind == event_kind::kState) {
        view_[now.owner][now.entry] = now.state;
        Balance(now.owner, now.at);
      } else {
        auto& queue = queues_[now.owner];
        if (queue.empty()) {
          ++free_[now.owner];
        } else {
          const event next = queue.front();
          queue.erase(queue.begin());
          Start(next, now.at);
        }
        view_[now.entry][now.owner] = Score(now.owner);
        Publish(now.owner, now.at);
      }
    }
  }

  request_setup setup_;
  balance_rule rule_;
  std::vector<std::size_t> free_;
  std::vector<std::size_t> total_;  // Slots by daemon.
  std::vector<std::vector<event>> queues_;
  std::vector<std::vector<double>> view_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  balance_result result_;
};

}  // namespace

balance_result RunBalanced(const std::vector<request_input>& requests,
                           const request_setup& setup,
                           const balance_rule& rule) {
  return balance_model(setup, rule).Run(requests);
}

}  // namespace apricotwheel::bench
