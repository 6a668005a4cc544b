#include "ctl/document_store.h"

#include <algorithm>

#include "config/fields.h"
#include "ctl/files.h"
#include "kernel/random.h"

namespace apricotwheel::ctl {
namespace {

// The key-value service accepts values of up to 1 MB. A text within the limit
// of the validator can exceed that when JSON escapes lengthen it.
constexpr std::size_t kMaxEnvelopeBytes = 1'000'000;

// Converts `timeout`, which means an unknown effect, to `unavailable`, because
// a read has no effect.
error ToReadError(error failure) {
  if (failure.kind == error_kind::kTimeout) {
    failure.kind = error_kind::kUnavailable;
  }
  return failure;
}

}  // namespace

std::string AuditKey(std::uint64_t revision) {
  std::string number = std::to_string(revision);
  number.insert(0, number.size() < 12 ? 12 - number.size() : 0, '0');
  return std::string(kAuditPrefix) + number;
}

std::string SummarizeDiff(const std::vector<std::string>& changes) {
  constexpr std::size_t kMaxSummary = 400;
  if (changes.empty()) return "only comments or layout";
  std::string text = std::to_string(changes.size()) +
                     (changes.size() == 1 ? " change: " : " changes: ");
  bool is_first = true;
  for (const auto& change : changes) {
    if (text.size() + change.size() > kMaxSummary) {
      text += is_first ? "see diff" : "; ...";
      break;
    }
    if (!is_first) text += "; ";
    text += change;
    is_first = false;
  }
  return text;
}

document_store::document_store(const command_context& context,
                               std::unique_ptr<kv_client> client)
    : context_(context), client_(std::move(client)) {}

result<std::unique_ptr<document_store>> document_store::Create(
    const command_context& context) {
  if (!IsAddress(context.kv_address)) {
    return Fail(error_kind::kInvalidArgument,
                "the key-value service's address is missing or invalid",
                "write --kv ip:port");
  }
  kv_client_options options;
  options.address = context.kv_address;
  BOOST_LEAF_AUTO(client, kv_client::Create(options));
  return std::unique_ptr<document_store>(
      new document_store(context, std::move(client)));
}

result<std::optional<stored_document>> document_store::Read() {
  auto entry = Attempt([&] { return client_->Get(kDocumentKey); });
  if (!entry) return Fail(ToReadError(entry.failure));
  if (!entry->has_value()) return std::optional<stored_document>();
  stored_document stored;
  stored.kv_revision = (*entry)->revision;
  BOOST_LEAF_ASSIGN(stored.envelope, DecodeEnvelope((*entry)->value));
  return std::optional<stored_document>(std::move(stored));
}

result<void> document_store::EnsureAuditEntry(
    const document_envelope& envelope) {
  const std::string key = AuditKey(envelope.revision);
  const auto written = Attempt([&] {
    return client_->PutConfirmed(key, EncodeAuditEntry(envelope), 0,
                                 *context_.clock,
                                 context_.clock->Now() + context_.timeout);
  });
  // A conflict means that the entry exists. Every writer derives the same entry
  // from the envelope.
  if (!written && written.failure.kind != error_kind::kConflict) {
    return Fail(written.failure);
  }
  return {};
}

result<document_envelope> document_store::Write(
    const std::optional<stored_document>& current, std::string text,
    std::string summary) {
  document_envelope next;
  next.revision = 1;
  if (current) {
    const auto audited =
        Attempt([&] { return EnsureAuditEntry(current->envelope); });
    if (!audited) {
      // The document is unchanged, whether or not the audit entry was written.
      error failure = ToReadError(audited.failure);
      failure.message = "the audit entry of revision " +
                        std::to_string(current->envelope.revision) +
                        " cannot be confirmed: " + failure.message;
      return Fail(std::move(failure));
    }
    next.revision = current->envelope.revision + 1;
  }
  next.previous_revision = next.revision - 1;
  next.author = context_.author;
  next.written_at_ms = WallClockMs();
  next.change_id = RandomHex(16);
  next.summary = std::move(summary);
  next.text = std::move(text);
  const std::string value = EncodeEnvelope(next);
  if (value.size() > kMaxEnvelopeBytes) {
    return Fail(error_kind::kInvalidArgument,
                "the stored form of the document has " +
                    std::to_string(value.size()) + " bytes, the limit is " +
                    std::to_string(kMaxEnvelopeBytes),
                "shorten the document");
  }
  const std::uint64_t expected = current ? current->kv_revision : 0;
  BOOST_LEAF_CHECK(
      client_->PutConfirmed(kDocumentKey, value, expected, *context_.clock,
                            context_.clock->Now() + context_.timeout));
  const auto audited = Attempt([&] { return EnsureAuditEntry(next); });
  if (!audited) {
    context_.err << "warning: revision " << next.revision
                 << " is in force, but its audit entry is not written ("
                 << Describe(audited.failure)
                 << "); the next change writes it\n";
  }
  return next;
}

result<document_store::audit_trail> document_store::ReadAudit() {
  audit_trail trail;
  auto entries = Attempt([&] { return client_->List(kAuditPrefix); });
  if (!entries) return Fail(ToReadError(entries.failure));
  std::sort(entries->begin(), entries->end(),
            [](const kv_entry& left, const kv_entry& right) {
              return left.key < right.key;
            });
  for (auto& entry : *entries) trail.entries.push_back(std::move(entry.value));
  BOOST_LEAF_AUTO(stored, Read());
  if (!stored) return trail;
  trail.current = std::move(stored->envelope);
  const std::string key = AuditKey(trail.current->revision);
  const bool is_listed =
      std::any_of(entries->begin(), entries->end(),
                  [&](const kv_entry& entry) { return entry.key == key; });
  if (!is_listed) trail.entries.push_back(EncodeAuditEntry(*trail.current));
  return trail;
}

void PrintConflict(const command_context& context, document_store& store,
                   const std::optional<std::string>& base) {
  const auto stored = Attempt([&] { return store.Read(); });
  if (!stored || !stored->has_value()) {
    context.err << "the stored document cannot be read now\n";
    return;
  }
  const auto& envelope = (*stored)->envelope;
  context.err << "revision " << envelope.revision << " by " << envelope.author
              << " is stored: " << envelope.summary << "\n";
  if (!base) return;
  const auto before = ValidateDocument("base", *base).document;
  const auto after = ValidateDocument("stored", envelope.text).document;
  if (!before || !after) {
    context.err << "no diff: one of the two documents is not valid\n";
    return;
  }
  const auto changes = DiffDocuments(*before, *after);
  context.err << "changes from your base to the stored document:\n";
  for (const auto& change : changes) context.err << "  " << change << "\n";
  if (changes.empty()) context.err << "  only comments or layout\n";
}

}  // namespace apricotwheel::ctl
