#include "dispatch/dispatch_outcome.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace apricotwheel {

namespace {

constexpr duration kDefaultRetryAfter = std::chrono::seconds(1);

constexpr std::array<std::string_view, 17> kDroppedHeaders = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "idempotency-key",
    "apricotwheel-ticket",
    "apricotwheel-deadline-ms",
    "apricotwheel-class",
    "apricotwheel-repeatable",
    "apricotwheel-epoch",
};

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return lower;
}

// Appends the lower-case names of a comma-separated header value.
void AppendNames(std::string_view value, std::vector<std::string>& names) {
  while (!value.empty()) {
    const auto comma = value.find(',');
    std::string_view name = value.substr(0, comma);
    while (!name.empty() && (name.front() == ' ' || name.front() == '\t')) {
      name.remove_prefix(1);
    }
    while (!name.empty() && (name.back() == ' ' || name.back() == '\t')) {
      name.remove_suffix(1);
    }
    if (!name.empty()) names.push_back(LowerCase(name));
    if (comma == std::string_view::npos) return;
    value.remove_prefix(comma + 1);
  }
}

int StatusOfNotRun(std::string_view why) {
  if (why == reason::kInvalid) return 400;
  if (why == reason::kUnknownService) return 404;
  if (why == reason::kKeyReused) return 409;
  if (why == reason::kTooLarge) return 413;
  if (why == reason::kDeadline) return 504;
  return 503;
}

}  // namespace

std::string_view ToString(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kCompleted:
      return "completed";
    case request_outcome::kNotRun:
      return "not_run";
    case request_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

service_response MakeNotRun(std::string_view why) {
  service_response response;
  response.outcome = request_outcome::kNotRun;
  response.status = StatusOfNotRun(why);
  response.reason = why;
  if (response.status == 503) response.retry_after = kDefaultRetryAfter;
  return response;
}

service_response MakeUnknown(std::string_view why, std::string worker) {
  service_response response;
  response.outcome = request_outcome::kUnknown;
  response.status = why == reason::kDeadline ? 504 : 502;
  response.reason = why;
  response.worker = std::move(worker);
  return response;
}

bool IsRetryableElsewhere(const service_response& response) {
  return response.outcome == request_outcome::kNotRun && response.status == 503;
}

call_effect EffectOfFailedPeerCall(error_kind kind) {
  // The peer handlers of the dispatcher never respond with a failure. The peer
  // node responds `overloaded` only if it did not call the handler. It never
  // responds `shutting_down`, so that kind is treated like any other error.
  switch (kind) {
    case error_kind::kUnavailable:
    case error_kind::kNotFound:
    case error_kind::kOverloaded:
      return call_effect::kNotRun;
    default:
      return call_effect::kMayHaveRun;
  }
}

bool IsRepeatableMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
         method == "PUT" || method == "DELETE";
}

header_list EndToEndHeaders(const header_list& headers) {
  std::vector<std::string> named;
  for (const auto& [name, value] : headers) {
    if (LowerCase(name) == "connection") AppendNames(value, named);
  }
  header_list kept;
  for (const auto& header : headers) {
    const std::string name = LowerCase(header.first);
    if (std::find(kDroppedHeaders.begin(), kDroppedHeaders.end(), name) !=
            kDroppedHeaders.end() ||
        std::find(named.begin(), named.end(), name) != named.end()) {
      continue;
    }
    kept.push_back(header);
  }
  return kept;
}

}  // namespace apricotwheel
