#include <nlohmann/json.hpp>

#include "config/document.h"
#include "config/yaml_tree.h"

namespace apricotwheel {
namespace {

using nlohmann::json;

// Limit of the author, change id and summary. Authors and summaries come from
// the command line, and without a limit the envelope could exceed the size of a
// stored value.
constexpr std::size_t kMaxFieldBytes = 4096;

json MetadataOf(const document_envelope& envelope) {
  return {{"revision", envelope.revision},
          {"previous_revision", envelope.previous_revision},
          {"author", envelope.author},
          {"written_at_ms", envelope.written_at_ms},
          {"change_id", envelope.change_id},
          {"summary", envelope.summary}};
}

// Invalid UTF-8 is replaced by replacement characters instead of throwing an
// exception.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto FailCorrupt(std::string message) {
  return Fail(error_kind::kCorrupt,
              "the stored document is damaged: " + std::move(message),
              "read the audit trail and apply a known good document");
}

}  // namespace

std::string EncodeEnvelope(const document_envelope& envelope) {
  json value = MetadataOf(envelope);
  value["text"] = envelope.text;
  return Dump(value);
}

std::string EncodeAuditEntry(const document_envelope& envelope) {
  return Dump(MetadataOf(envelope));
}

result<document_envelope> DecodeEnvelope(std::string_view text) {
  // The envelope is one flat object. The callback discards nested values,
  // because the parser would otherwise build them in memory at any depth.
  const json value = json::parse(
      text.begin(), text.end(),
      [](int depth, json::parse_event_t, json&) { return depth <= 1; }, false);
  if (value.is_discarded() || !value.is_object()) {
    return FailCorrupt("it is not a JSON object");
  }
  document_envelope envelope;
  const auto number = [&](const char* key, auto& target) {
    const auto found = value.find(key);
    if (found == value.end() || !found->is_number_unsigned()) return false;
    const auto parsed = found->get<std::uint64_t>();
    if (parsed > std::uint64_t{INT64_MAX}) return false;
    target = static_cast<std::remove_reference_t<decltype(target)>>(parsed);
    return true;
  };
  const auto string = [&](const char* key, std::size_t limit, auto& target) {
    const auto found = value.find(key);
    if (found == value.end() || !found->is_string()) return false;
    target = found->template get<std::string>();
    return target.size() <= limit;
  };
  if (!number("revision", envelope.revision) || envelope.revision == 0) {
    return FailCorrupt("revision is missing or wrong");
  }
  if (!number("previous_revision", envelope.previous_revision) ||
      envelope.previous_revision + 1 != envelope.revision) {
    return FailCorrupt("previous_revision is missing or wrong");
  }
  if (!number("written_at_ms", envelope.written_at_ms)) {
    return FailCorrupt("written_at_ms is missing or wrong");
  }
  if (!string("author", kMaxFieldBytes, envelope.author) ||
      !string("change_id", kMaxFieldBytes, envelope.change_id) ||
      !string("summary", kMaxFieldBytes, envelope.summary)) {
    return FailCorrupt("author, change_id or summary is missing or too long");
  }
  if (!string("text", kMaxTextBytes, envelope.text)) {
    return FailCorrupt("text is missing or too long");
  }
  return envelope;
}

}  // namespace apricotwheel
