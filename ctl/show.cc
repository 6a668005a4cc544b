#include <nlohmann/json.hpp>

#include "ctl/document_store.h"
#include "ctl/files.h"

namespace apricotwheel::ctl {
namespace {

using nlohmann::json;

std::string FormatJson(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

error NoDocumentError() {
  return {error_kind::kNotFound, "no document is stored",
          "write the first one with `apricotwheelctl apply`"};
}

}  // namespace

int RunShow(const command_context& context, const argument_list& arguments) {
  if (!arguments.empty()) {
    return ReportUsageError(context, "show takes no argument", "remove it");
  }
  auto store = Attempt([&] { return document_store::Create(context); });
  if (!store) return ReportError(context, store.failure);
  const auto stored = Attempt([&] { return (*store)->Read(); });
  if (!stored) return ReportError(context, stored.failure);
  if (!stored->has_value()) return ReportError(context, NoDocumentError());
  const auto& envelope = (*stored)->envelope;
  if (context.json) {
    context.out << FormatJson(json::parse(EncodeEnvelope(envelope)));
    return kOk;
  }
  // Only the text goes to the output stream, so that it can be saved to a file,
  // edited and applied.
  context.err << "revision " << envelope.revision << " by " << envelope.author
              << ": " << envelope.summary << "\n";
  context.out << envelope.text;
  return kOk;
}

int RunDiff(const command_context& context, const argument_list& arguments) {
  if (arguments.size() != 1) {
    return ReportUsageError(context, "one file is expected", "write diff FILE");
  }
  const auto file = ReadDocument(context, arguments[0]);
  if (!file.document) return file.exit_code;
  auto store = Attempt([&] { return document_store::Create(context); });
  if (!store) return ReportError(context, store.failure);
  const auto stored = Attempt([&] { return (*store)->Read(); });
  if (!stored) return ReportError(context, stored.failure);
  if (!stored->has_value()) return ReportError(context, NoDocumentError());
  const auto& envelope = (*stored)->envelope;
  const auto before = ValidateDocument("stored document", envelope.text);
  if (!before.document) {
    PrintFaults(context, before.faults);
    return kFailed;
  }
  const auto changes = DiffDocuments(*before.document, *file.document);
  if (context.json) {
    context.out << FormatJson(
        {{"revision", envelope.revision}, {"changes", changes}});
    return kOk;
  }
  for (const auto& change : changes) context.out << change << "\n";
  if (changes.empty()) {
    context.out << "no difference to revision " << envelope.revision << "\n";
  }
  return kOk;
}

int RunAudit(const command_context& context, const argument_list& arguments) {
  if (!arguments.empty() || context.audit_limit < 1) {
    return ReportUsageError(context,
                            "audit takes no argument and a limit above 0",
                            "write audit --limit N");
  }
  auto store = Attempt([&] { return document_store::Create(context); });
  if (!store) return ReportError(context, store.failure);
  const auto trail = Attempt([&] { return (*store)->ReadAudit(); });
  if (!trail) return ReportError(context, trail.failure);
  const auto count = trail->entries.size();
  const auto limit = static_cast<std::size_t>(context.audit_limit);
  json list = json::array();
  std::vector<std::vector<std::string>> rows;
  for (std::size_t index = count > limit ? count - limit : 0; index < count;
       ++index) {
    const json entry = json::parse(trail->entries[index], nullptr, false);
    if (!entry.is_object()) {
      context.err << "warning: an audit entry is damaged\n";
      continue;
    }
    const auto field = [&](const char* key) {
      const auto found = entry.find(key);
      if (found == entry.end()) return std::string("-");
      return found->is_string() ? found->get<std::string>() : found->dump();
    };
    rows.push_back({field("revision"), field("written_at_ms"), field("author"),
                    field("summary")});
    list.push_back(entry);
  }
  if (context.json) {
    context.out << FormatJson(list);
  } else {
    PrintTable(context.out, {"revision", "written_at_ms", "author", "summary"},
               rows);
  }
  return kOk;
}

}  // namespace apricotwheel::ctl
