#include "cluster/document_tracker.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>

#include "cluster/cluster_events.h"

namespace apricotwheel {

document_tracker::document_tracker(std::vector<std::string> policy_names,
                                   log_sink log, prometheus::Registry& metrics)
    : policy_names_(std::move(policy_names)),
      log_(std::move(log)),
      invalid_documents_(
          &prometheus::BuildCounter()
               .Name("apricotwheel_cluster_invalid_documents_total")
               .Help("Documents refused as invalid.")
               .Register(metrics)
               .Add({})),
      revision_gauge_(&prometheus::BuildGauge()
                           .Name("apricotwheel_cluster_document_revision")
                           .Help("Revision of the document in force.")
                           .Register(metrics)
                           .Add({})) {}

void document_tracker::TryActivate(std::string_view encoded) {
  std::lock_guard order(activation_mutex_);
  auto envelope = Attempt([&] { return DecodeEnvelope(encoded); });
  if (!envelope) return Reject(0, Describe(envelope.failure));
  if (envelope->revision <= Revision()) return;
  auto check = CheckDocument("document", envelope->text, policy_names_);
  if (!check.document) {
    std::string reason = "revision " + std::to_string(envelope->revision);
    for (const auto& fault : check.faults) reason += "; " + Describe(fault);
    return Reject(envelope->revision, reason);
  }
  const auto next = std::make_shared<const active_document>(
      active_document{std::move(*envelope), std::move(check.document)});
  {
    std::lock_guard guard(mutex_);
    current_ = next;
    // The error of a newer revision stays, because that revision is still
    // stored.
    if (next->envelope.revision > rejected_revision_) last_error_.clear();
  }
  revision_gauge_->Set(static_cast<double>(next->envelope.revision));
  Emit(log_, cluster_events::kDocumentActivated,
       {Field("revision", next->envelope.revision),
        Field("author", next->envelope.author)});
  if (on_document_changed_) on_document_changed_(next);
}

void document_tracker::Reject(std::uint64_t revision,
                              const std::string& reason) {
  {
    std::lock_guard guard(mutex_);
    if (last_error_ == reason) return;
    rejected_revision_ = std::max(rejected_revision_, revision);
    last_error_ = reason;
  }
  invalid_documents_->Increment();
  Emit(log_, cluster_events::kDocumentInvalid, {Field("reason", reason)});
}

active_document_ptr document_tracker::Current() const {
  std::lock_guard guard(mutex_);
  return current_;
}

std::uint64_t document_tracker::Revision() const {
  std::lock_guard guard(mutex_);
  return current_ ? current_->envelope.revision : 0;
}

std::string document_tracker::LastError() const {
  std::lock_guard guard(mutex_);
  return last_error_;
}

bool document_tracker::ShouldFetch(std::uint64_t revision) const {
  std::lock_guard guard(mutex_);
  const auto active_revision = current_ ? current_->envelope.revision : 0;
  return revision > active_revision && revision != rejected_revision_;
}

}  // namespace apricotwheel
