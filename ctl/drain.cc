#include "config/drain_edit.h"
#include "ctl/document_store.h"
#include "ctl/files.h"
#include "kernel/random.h"

namespace apricotwheel::ctl {
namespace {

// Operators rarely race. More conflicts than this mean that another program
// rewrites the document continuously.
constexpr int kMaxAttempts = 8;

// Performs one read-modify-write of the drain list. Returns the message to
// print; fails with `conflict` if the document was changed in between.
result<std::string> TryUpdateDrainList(const command_context& context,
                                       document_store& store,
                                       const argument_list& vms) {
  BOOST_LEAF_AUTO(stored, store.Read());
  if (!stored) {
    return Fail(error_kind::kNotFound, "no document is stored",
                "write the first one with `apricotwheelctl apply`");
  }
  const argument_list no_vms;
  BOOST_LEAF_AUTO(
      text, EditDrainList(stored->envelope.text, context.undo ? no_vms : vms,
                          context.undo ? vms : no_vms));
  if (text == stored->envelope.text) {
    return "revision " + std::to_string(stored->envelope.revision) +
           " has this drain list already";
  }
  const auto before =
      ValidateDocument("stored", stored->envelope.text).document;
  const auto after = ValidateDocument("edited", text).document;
  std::string summary = "drain list";
  if (before && after) summary = SummarizeDiff(DiffDocuments(*before, *after));
  BOOST_LEAF_AUTO(written, store.Write(stored, std::move(text), summary));
  return "revision " + std::to_string(written.revision) +
         " is in force: " + summary;
}

}  // namespace

int RunDrain(const command_context& context, const argument_list& arguments) {
  if (arguments.empty()) {
    return ReportUsageError(context, "VM ids are expected",
                            "write drain VM...");
  }
  auto store = Attempt([&] { return document_store::Create(context); });
  if (!store) return ReportError(context, store.failure);
  random_source random = SystemRandom();
  for (int attempt = 1;; ++attempt) {
    const auto updated = Attempt(
        [&] { return TryUpdateDrainList(context, **store, arguments); });
    if (updated) {
      context.out << *updated << "\n";
      return kOk;
    }
    if (updated.failure.kind != error_kind::kConflict ||
        attempt == kMaxAttempts) {
      return ReportError(context, updated.failure);
    }
    context.clock->SleepFor(BackoffWithJitter(random, attempt, milliseconds(20),
                                              milliseconds(1000)));
  }
}

}  // namespace apricotwheel::ctl
