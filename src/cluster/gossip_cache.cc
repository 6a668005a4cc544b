#include "cluster/gossip_cache.h"

namespace apricotwheel {

namespace {

constexpr auto kSilentPeerTimeout = milliseconds(60'000);
constexpr int kMessagesBetweenComplete = 8;
// Each restart of a daemon adds a member id until the old one expires. Only
// authenticated daemons can send gossip.
constexpr std::size_t kMaxSummaries = 256;

std::vector<std::uint8_t> Encode(const wire::gossipT& content) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Creategossip(builder, &content));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

}  // namespace

bool gossip_cache::Receive(const std::string& sender,
                           const wire::gossipT& message) {
  std::lock_guard guard(mutex_);
  const auto found = summaries_.find(sender);
  const bool is_known = found != summaries_.end();
  // Handler threads can process two messages of one sender out of order.
  if (is_known && message.sequence < found->second.gossip.sequence) {
    return false;
  }
  if (is_known && message.sequence == found->second.gossip.sequence) {
    found->second.received_at = clock_->Now();
    return false;
  }
  // The complete message with this sequence number was missed.
  if (!message.free_total) return false;
  if (!is_known && summaries_.size() >= kMaxSummaries) return false;
  summaries_[sender] = {sender, message, clock_->Now()};
  return true;
}

std::vector<peer_summary> gossip_cache::PeerSummaries() const {
  std::lock_guard guard(mutex_);
  std::vector<peer_summary> all;
  all.reserve(summaries_.size());
  for (const auto& [id, summary] : summaries_) all.push_back(summary);
  return all;
}

bool gossip_cache::IsDraining(std::string_view member_id) const {
  std::lock_guard guard(mutex_);
  const auto found = summaries_.find(member_id);
  return found != summaries_.end() && found->second.gossip.draining;
}

std::vector<std::string> gossip_cache::RemoveSilentPeers() {
  std::lock_guard guard(mutex_);
  std::vector<std::string> removed;
  const auto oldest = clock_->Now() - kSilentPeerTimeout;
  std::erase_if(summaries_, [&](const auto& entry) {
    if (entry.second.received_at >= oldest) return false;
    removed.push_back(entry.first);
    return true;
  });
  return removed;
}

wire::gossipT gossip_composer::ComposeMessage(wire::gossipT content) {
  if (!content.free_total) {
    content.free_total = std::make_unique<wire::resources>();
  }
  content.sequence = 0;
  auto encoded = Encode(content);
  const bool has_changed = encoded != last_content_;
  if (has_changed) {
    last_content_ = std::move(encoded);
    ++sequence_;
  }
  const bool is_complete =
      has_changed || messages_since_complete_ >= kMessagesBetweenComplete;
  messages_since_complete_ = is_complete ? 0 : messages_since_complete_ + 1;
  if (is_complete) {
    content.sequence = sequence_;
    return content;
  }
  wire::gossipT unchanged;
  unchanged.sequence = sequence_;
  unchanged.document_revision = content.document_revision;
  return unchanged;
}

}  // namespace apricotwheel
