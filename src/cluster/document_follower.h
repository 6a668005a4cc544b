#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_manager.h"

namespace apricotwheel {

// Holds the document in force. Its revision only rises. Thread-safe.
class document_follower {
 public:
  document_follower(std::vector<std::string> policy_names, log_sink log,
                    prometheus::Registry& metrics);

  // Set before the first offer. Called in the order of revisions.
  void OnDocument(cluster_manager::document_listener listener) {
    listener_ = std::move(listener);
  }

  // Puts an encoded envelope into force if it is valid and newer. An invalid
  // one changes only `Fault`.
  void Offer(std::string_view encoded);

  active_document_ptr Current() const;
  std::uint64_t Revision() const;
  std::string Fault() const;
  // True if a peer's `revision` is worth fetching: newer than the one in force
  // and not known to be invalid.
  bool Wants(std::uint64_t revision) const;

 private:
  void Reject(std::uint64_t revision, std::string reason);

  const std::vector<std::string> policy_names_;
  const log_sink log_;
  prometheus::Counter* const invalid_documents_;
  prometheus::Gauge* const revision_gauge_;
  cluster_manager::document_listener listener_;
  std::mutex offer_mutex_;  // Orders offers and the listener's calls.
  mutable std::mutex mutex_;
  active_document_ptr current_;
  std::uint64_t rejected_revision_ = 0;
  std::string fault_;
};

}  // namespace apricotwheel
