#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "peer/peer_connection.h"

namespace apricotwheel {

// Returns how many incoming connections a process with this limit of open files
// may hold.
std::size_t ConnectionsForDescriptors(std::size_t max_descriptors);

// The incoming connections of a node. Each has a thread and a descriptor, so
// their number is limited: by the number of members for connections of members,
// by fixed limits for everyone else. Members are never rejected because of
// others. Thread-safe.
class incoming_connections {
 public:
  using connection_id = std::uint64_t;

  explicit incoming_connections(std::size_t max_connections)
      : max_connections_(max_connections) {}

  // Adds a connection that has not authenticated yet. If there are too many of
  // these, the oldest one is closed. Returns nothing if only members are left
  // and the limit for the whole process is reached.
  std::optional<connection_id> Add(std::shared_ptr<peer_connection> connection,
                                   std::size_t member_count);
  // Records who connected. Closes the oldest connection of a member that has
  // too many. Returns false if the connection must be rejected.
  bool SetSender(connection_id id, const std::string& sender, bool is_member);
  void Remove(connection_id id);
  void CloseAll();

 private:
  enum class sender_kind { kUnauthenticated, kStranger, kMember };
  struct incoming_connection {
    std::shared_ptr<peer_connection> connection;
    sender_kind kind = sender_kind::kUnauthenticated;
    std::string sender;
  };

  // Called with mutex_ held, like the next one.
  std::size_t Count(sender_kind kind) const;
  bool CloseOldest(sender_kind kind);

  const std::size_t max_connections_;
  std::mutex mutex_;
  connection_id last_id_ = 0;
  std::map<connection_id, incoming_connection> connections_;  // Oldest first.
};

}  // namespace apricotwheel
