#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_manager.h"

namespace apricotwheel {

// Holds the document in force. Its revision only rises. Thread-safe.
class document_tracker {
 public:
  document_tracker(std::vector<std::string> policy_names, log_sink log,
                   prometheus::Registry& metrics);

  // Set before the first offer. Called in the order of revisions.
  void SetDocumentCallback(cluster_manager::document_callback callback) {
    on_document_changed_ = std::move(callback);
  }

  // Puts an encoded envelope into force if it is valid and newer. An invalid
  // one changes only `Fault`.
  void TryActivate(std::string_view encoded);

  active_document_ptr Current() const;
  std::uint64_t Revision() const;
  std::string LastError() const;
  // True if a peer's `revision` is worth fetching: newer than the one in force
  // and not known to be invalid.
  bool ShouldFetch(std::uint64_t revision) const;

 private:
  void Reject(std::uint64_t revision, const std::string& reason);

  const std::vector<std::string> policy_names_;
  const log_sink log_;
  prometheus::Counter* const invalid_documents_;
  prometheus::Gauge* const revision_gauge_;
  cluster_manager::document_callback on_document_changed_;
  std::mutex activation_mutex_;  // Orders offers and the listener's calls.
  mutable std::mutex mutex_;
  active_document_ptr current_;
  std::uint64_t rejected_revision_ = 0;
  std::string last_error_;
};

}  // namespace apricotwheel
