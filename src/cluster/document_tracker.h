#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster_manager.h"

namespace apricotwheel {

// Validates documents and holds the active one, whose revision never decreases.
// Thread-safe.
class document_tracker {
 public:
  document_tracker(std::vector<std::string> policy_names, log_sink log,
                   prometheus::Registry& metrics);

  // Set before the first `TryActivate`. The calls follow the order of the
  // revisions.
  void SetDocumentCallback(cluster_manager::document_callback callback) {
    on_document_changed_ = std::move(callback);
  }

  // Activates the document of an encoded envelope if it is valid and newer than
  // the active one. An invalid document changes only `LastError`.
  void TryActivate(std::string_view encoded);

  active_document_ptr Current() const;
  std::uint64_t Revision() const;
  std::string LastError() const;
  // Returns true if the document `revision` of a peer is newer than the active
  // one and was not rejected as invalid.
  bool ShouldFetch(std::uint64_t revision) const;

 private:
  void Reject(std::uint64_t revision, const std::string& reason);

  const std::vector<std::string> policy_names_;
  const log_sink log_;
  prometheus::Counter* const invalid_documents_;
  prometheus::Gauge* const revision_gauge_;
  cluster_manager::document_callback on_document_changed_;
  std::mutex activation_mutex_;  // Keeps activations and callbacks in order.
  mutable std::mutex mutex_;
  active_document_ptr current_;
  std::uint64_t rejected_revision_ = 0;
  std::string last_error_;
};

}  // namespace apricotwheel
