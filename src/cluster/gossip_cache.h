#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_manager.h"

namespace apricotwheel {

// Caches the last gossip content of each peer. A message with `free_total` is
// complete. A message without it only confirms that the content with its
// sequence number is unchanged. Thread-safe.
class gossip_cache {
 public:
  explicit gossip_cache(clock_ptr clock) : clock_(std::move(clock)) {}

  // Returns true if the message had newer content.
  bool Receive(const std::string& sender, const wire::gossipT& message);

  std::vector<peer_summary> PeerSummaries() const;
  // Returns true if the member announced a planned stop.
  bool IsDraining(std::string_view member_id) const;
  // Removes the peers that sent no message for a minute and returns their ids.
  std::vector<std::string> RemoveSilentPeers();

 private:
  const clock_ptr clock_;
  mutable std::mutex mutex_;
  std::map<std::string, peer_summary, std::less<>> summaries_;
};

// Composes the gossip messages of this daemon. A message is complete if the
// content has changed and in every ninth gossip interval, otherwise it has only
// the sequence number and the document revision. A peer that missed a complete
// message gets the next one at most 9 intervals later. With the default
// interval that is 2.25 s, within the 5 s in which all daemons must know a
// leaving VM.
class gossip_composer {
 public:
  // `content` has all fields set except `sequence`.
  wire::gossipT ComposeMessage(wire::gossipT content);

 private:
  std::uint64_t sequence_ = 0;
  int messages_since_complete_ = 0;
  std::vector<std::uint8_t> last_content_;
};

}  // namespace apricotwheel
