#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_manager.h"

namespace apricotwheel {

// What peers last published about themselves. A message with `free_total` is
// complete; one without repeats that the content of its sequence is unchanged.
// Thread-safe.
class gossip_cache {
 public:
  explicit gossip_cache(clock_ptr clock) : clock_(std::move(clock)) {}

  // Returns true if the message carried newer content.
  bool Receive(const std::string& sender, const wire::gossipT& message);

  std::vector<peer_summary> PeerSummaries() const;
  // True if the member announced a planned stop.
  bool IsDraining(std::string_view member_id) const;
  // Removes senders that have been silent for a minute; returns their ids.
  std::vector<std::string> RemoveSilentPeers();

 private:
  const clock_ptr clock_;
  mutable std::mutex mutex_;
  std::map<std::string, peer_summary, std::less<>> summaries_;
};

// Turns a stream of own summaries into messages: complete if the content has
// changed and in every ninth round, else only revisions. A peer that missed a
// complete message has the next one at most 9 intervals later (2.25 s with the
// default interval), within the 5 s in which leaving VMs must be known
// everywhere.
class gossip_composer {
 public:
  // `content` has every field but `sequence`.
  wire::gossipT ComposeMessage(wire::gossipT content);

 private:
  std::uint64_t sequence_ = 0;
  int messages_since_complete_ = 0;
  std::vector<std::uint8_t> last_content_;
};

}  // namespace apricotwheel
