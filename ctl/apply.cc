#include "ctl/document_store.h"
#include "ctl/files.h"

namespace apricotwheel::ctl {
namespace {

// Returns the text to compare with after a conflict with the expected revision.
// The key-value service stores only the current revision, so the text comes
// from the file that the operator names.
std::optional<std::string> ReadBaseFile(const command_context& context) {
  if (context.base_file.empty()) return std::nullopt;
  const auto text = Attempt([&] { return ReadFile(context.base_file); });
  if (text) return *text;
  context.err << "no diff: " << Describe(text.failure) << "\n";
  return std::nullopt;
}

int ReportRevisionMismatch(const command_context& context,
                           document_store& store, std::uint64_t expected,
                           std::uint64_t stored, const std::string& text) {
  const int code =
      ReportError(context, {error_kind::kConflict,
                            "revision " + std::to_string(expected) +
                                " was expected, but revision " +
                                std::to_string(stored) + " is stored",
                            "merge the changes and apply again"});
  auto base = ReadBaseFile(context);
  if (!base) {
    context.err << "without --base FILE the diff starts at the applied file\n";
    base = text;
  }
  PrintConflict(context, store, base);
  return code;
}

std::string SummarizeUpdate(const std::optional<stored_document>& current,
                            const cell_document& next) {
  if (!current) return "first document";
  const auto before =
      ValidateDocument("stored", current->envelope.text).document;
  if (!before) return "replaces a document that is not valid";
  return SummarizeDiff(DiffDocuments(*before, next));
}

int ApplyDocument(const command_context& context, document_store& store,
                  const std::string& text, const cell_document& document) {
  const auto current = Attempt([&] { return store.Read(); });
  if (!current) return ReportError(context, current.failure);
  const std::uint64_t revision =
      current->has_value() ? (*current)->envelope.revision : 0;
  if (context.expect_revision && *context.expect_revision != revision) {
    return ReportRevisionMismatch(context, store, *context.expect_revision,
                                  revision, text);
  }
  if (current->has_value() && (*current)->envelope.text == text) {
    context.out << "revision " << revision << " is this document already\n";
    return kOk;
  }
  const auto summary = SummarizeUpdate(*current, document);
  const auto written =
      Attempt([&] { return store.Write(*current, text, summary); });
  if (written) {
    context.out << "revision " << written->revision
                << " is in force: " << summary << "\n";
    return kOk;
  }
  const int code = ReportError(context, written.failure);
  if (written.failure.kind == error_kind::kConflict) {
    std::optional<std::string> base;
    if (current->has_value()) base = (*current)->envelope.text;
    PrintConflict(context, store, base);
  }
  return code;
}

}  // namespace

int RunApply(const command_context& context, const argument_list& arguments) {
  if (arguments.size() != 1) {
    return ReportUsageError(context, "one file is expected",
                            "write apply FILE");
  }
  const auto file = ReadDocument(context, arguments[0]);
  if (!file.document) return file.exit_code;
  auto store = Attempt([&] { return document_store::Create(context); });
  if (!store) return ReportError(context, store.failure);
  return ApplyDocument(context, **store, file.text, *file.document);
}

}  // namespace apricotwheel::ctl
