#include "kernel/error.h"

namespace apricotwheel {

std::string_view ToString(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidArgument:
      return "invalid_argument";
    case error_kind::kNotFound:
      return "not_found";
    case error_kind::kConflict:
      return "conflict";
    case error_kind::kStaleEpoch:
      return "stale_epoch";
    case error_kind::kUnavailable:
      return "unavailable";
    case error_kind::kTimeout:
      return "timeout";
    case error_kind::kCapacity:
      return "capacity";
    case error_kind::kImpossible:
      return "impossible";
    case error_kind::kOverloaded:
      return "overloaded";
    case error_kind::kShuttingDown:
      return "shutting_down";
    case error_kind::kCorrupt:
      return "corrupt";
    case error_kind::kIo:
      return "io";
    case error_kind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Describe(const error& failure) {
  std::string text(ToString(failure.kind));
  text += ": ";
  text += failure.message;
  if (!failure.remedy.empty()) {
    text += "; ";
    text += failure.remedy;
  }
  return text;
}

boost::leaf::error_id Fail(error failure) {
  return boost::leaf::new_error(std::move(failure));
}

boost::leaf::error_id Fail(error_kind kind, std::string message,
                           std::string remedy) {
  return Fail(error{kind, std::move(message), std::move(remedy)});
}

}  // namespace apricotwheel
