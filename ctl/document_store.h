#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clients/kv_client.h"
#include "config/document.h"
#include "ctl/command.h"

namespace apricotwheel::ctl {

struct stored_document {
  document_envelope envelope;
  std::uint64_t kv_revision = 0;  // Revision of the key, for compare-and-swap.
};

// Reads and writes the operators' document in the key-value service.
class document_store {
 public:
  // Fails with `invalid_argument` if the context names no service.
  static result<std::unique_ptr<document_store>> Create(
      const command_context& context);

  // Returns the stored document, if there is one. Fails with `unavailable`
  // instead of `timeout`, because a read has no effect that could be unknown.
  result<std::optional<stored_document>> Read();

  // Writes `text` as the revision after `current` by compare-and-swap, then its
  // audit entry. First writes the audit entry of `current` if it is missing,
  // because the writer of `current` may have died between its two writes.
  // Fails with `conflict` if another document was written since `current`, with
  // `timeout` if the effect is unknown.
  result<document_envelope> Write(const std::optional<stored_document>& current,
                                  std::string text, std::string summary);

  struct audit_trail {
    std::vector<std::string> entries;  // JSON, oldest first.
    std::optional<document_envelope> current;
  };
  // Returns the audit entries, with that of the current revision even if it is
  // not written yet.
  result<audit_trail> ReadAudit();

 private:
  document_store(const command_context& context,
                 std::unique_ptr<kv_client> client);

  result<void> EnsureAuditEntry(const document_envelope& envelope);

  const command_context& context_;
  std::unique_ptr<kv_client> client_;
};

// Returns the key of a revision's audit entry.
std::string AuditKey(std::uint64_t revision);

// Joins `changes` into a text of about 400 bytes at most, such as
// "7 changes: workload a: instances 1 -> 2; ...".
std::string SummarizeDiff(const std::vector<std::string>& changes);

// Prints the revision and the author of the stored document and, with `base`,
// the differences between `base` and that document.
void PrintConflict(const command_context& context, document_store& store,
                   const std::optional<std::string>& base);

}  // namespace apricotwheel::ctl
