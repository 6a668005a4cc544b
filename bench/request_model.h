#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace apricotwheel::bench {

struct request_input {
  double arrival = 0;
  double service = 0;
  std::size_t entry = 0;     // Daemon that the balancer chose.
  std::size_t instance = 0;  // For random choice.
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

// The rule with queues at the owners that move. Each owner tells all others its
// free slots less queued requests at each change while that is at most
// `publish_below`. An owner that queues a request sends it on if a peer is
// believed to be better by `difference` or more.
struct balance_policy {
  double max_published_score = 1;
  double min_score_difference = 3;
  int max_moves = 1;
  bool forward_through_entry =
      true;  // A moved request takes two hops, else one.
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
