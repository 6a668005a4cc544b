#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace apricotwheel::bench {

// Times are in milliseconds.
struct request_input {
  double arrival = 0;
  double service = 0;
  std::size_t entry = 0;     // Daemon that receives the request.
  std::size_t instance = 0;  // Used by random choice only.
};

struct request_setup {
  std::size_t instances = 0;
  std::size_t slots = 0;
  std::size_t daemons = 0;
  std::size_t rack_size = 0;
  double one_way_delay_ms = 0;
  double gossip_interval_ms = 0;
  int handover_limit = 0;
  bool send_slot_offers = false;
};

// Policy that moves queued requests between owners. The score of an owner is
// its number of free slots minus its queued requests. An owner sends its score
// to all others after each change while it is at most `max_published_score`. It
// forwards queued requests to a peer whose last known score is higher by
// `min_score_difference` or more.
struct balance_policy {
  double max_published_score = 1;
  double min_score_difference = 3;
  int max_moves = 1;
  bool forward_through_entry = true;  // Two hops per move; else one.
};

struct balance_result {
  std::vector<double> waits;
  std::uint64_t control_messages = 0;
  std::uint64_t moves = 0;
};

balance_result RunBalanced(const std::vector<request_input>& requests,
                           const request_setup& setup,
                           const balance_policy& policy);

}  // namespace apricotwheel::bench
