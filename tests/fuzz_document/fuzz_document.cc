#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "config/document.h"
#include "config/drain_edit.h"
#include "config/settings.h"

// Guards against inputs that crash a parser, against results with neither a
// value nor an error, and against an edit of the drain list that turns a valid
// document into an invalid one.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace apricotwheel;  // NOLINT(google-build-using-namespace)
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto check = CheckDocument("fuzz", text, {});
  if ((check.document == nullptr) == check.faults.empty()) std::abort();
  const auto settings = CheckSettings("fuzz", text);
  if (settings.settings.has_value() != settings.faults.empty()) std::abort();
  const auto envelope = Attempt([&] { return DecodeEnvelope(text); });
  if (!envelope && envelope.failure.message.empty()) std::abort();
  if (!check.document) return 0;
  const auto edited =
      Attempt([&] { return EditDrainList(text, {"vm-1"}, {}); });
  if (edited && !CheckDocument("fuzz", *edited, {}).document) std::abort();
  return 0;
}
