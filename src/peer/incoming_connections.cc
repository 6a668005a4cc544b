#include "peer/incoming_connections.h"

#include <algorithm>
#include <utility>

namespace apricotwheel {

namespace {

// The rest of the descriptors serves callers, workers and the store.
constexpr std::size_t kDescriptorShare = 4;
constexpr std::size_t kMinConnections = 64;
// Connections in a handshake, besides one for each member: after a restart all
// members connect at once. A handshake takes a few milliseconds.
constexpr std::size_t kMaxUnauthenticated = 64;
// Senders that hold the key but are not on the member list, for example because
// they have just joined.
constexpr std::size_t kMaxStrangers = 64;
// A member keeps one connection. Others may be left over from a broken link, or
// serve single calls by address.
constexpr std::size_t kMaxPerMember = 4;

}  // namespace

std::size_t ConnectionsForDescriptors(std::size_t max_descriptors) {
  return std::max(kMinConnections, max_descriptors / kDescriptorShare);
}

std::size_t incoming_connections::Count(sender_kind kind) const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [&](const auto& row) { return row.second.kind == kind; }));
}

bool incoming_connections::CloseOldest(sender_kind kind) {
  const auto oldest =
      std::find_if(connections_.begin(), connections_.end(),
                   [&](const auto& row) { return row.second.kind == kind; });
  if (oldest == connections_.end()) return false;
  // Its reader thread ends.
  oldest->second.connection->Close();
  connections_.erase(oldest);
  return true;
}

std::optional<incoming_connections::connection_id> incoming_connections::Add(
    std::shared_ptr<peer_connection> connection, std::size_t member_count) {
  const std::lock_guard lock(mutex_);
  if (Count(sender_kind::kUnauthenticated) >=
      kMaxUnauthenticated + member_count) {
    CloseOldest(sender_kind::kUnauthenticated);
  }
  if (connections_.size() >= max_connections_ &&
      !CloseOldest(sender_kind::kUnauthenticated) &&
      !CloseOldest(sender_kind::kStranger)) {
    return std::nullopt;
  }
  connections_[++last_id_].connection = std::move(connection);
  return last_id_;
}

bool incoming_connections::SetSender(connection_id id,
                                     const std::string& sender,
                                     bool is_member) {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(id);
  if (found == connections_.end()) return false;
  if (!is_member && Count(sender_kind::kStranger) >= kMaxStrangers) {
    return false;
  }
  found->second.sender = sender;
  found->second.kind =
      is_member ? sender_kind::kMember : sender_kind::kStranger;
  const auto is_of_sender = [&](const auto& row) {
    return row.second.sender == sender;
  };
  const auto count =
      std::count_if(connections_.begin(), connections_.end(), is_of_sender);
  if (count > static_cast<std::ptrdiff_t>(kMaxPerMember)) {
    const auto oldest =
        std::find_if(connections_.begin(), connections_.end(), is_of_sender);
    oldest->second.connection->Close();
    connections_.erase(oldest);
  }
  return true;
}

void incoming_connections::Remove(connection_id id) {
  const std::lock_guard lock(mutex_);
  connections_.erase(id);
}

void incoming_connections::CloseAll() {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, incoming] : connections_) incoming.connection->Close();
}

}  // namespace apricotwheel
