#include "clients/request_limits.h"

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>

namespace apricotwheel {

namespace {

// Chunk sizes of 16 hexadecimal digits and short extensions fit.
constexpr std::size_t kMaxSizeLineBytes = 256;
// Memory above this is returned to the system when it has been freed.
constexpr std::size_t kTrimBytes = 4 << 20;
constexpr std::string_view kLineEnd = "\r\n";

constexpr std::array<refusal_answer,
                     static_cast<std::size_t>(refusal_reason::kCount)>
    kAnswers = {{
        {"none", 0, "", "", false},
        {"closed", 0, "", "", false},
        {"connection_limit", 503, "too many connections",
         "reuse connections or try again later"},
        {"slot_taken", 503, "too many connections and an incomplete request",
         "send whole requests or try again later"},
        {"idle_slot_taken", 0, "", ""},
        {"empty_lines", 400, "too many empty lines before the request",
         "send requests without empty lines between them"},
        {"malformed_head", 400, "the head of the request is malformed",
         "send a head as in RFC 9112, with one body length"},
        {"target_too_long", 414, "the request line is too long",
         "send a shorter target"},
        {"field_too_long", 431, "a header field is too long",
         "send shorter header fields"},
        {"too_many_fields", 431, "there are too many header fields",
         "send fewer header fields"},
        {"head_too_long", 431, "the head of the request is too long",
         "send fewer or shorter header fields"},
        {"head_timeout", 408, "the head of the request took too long",
         "send the head without pauses"},
        {"content_coding", 415, "the body has a content coding",
         "send the body without Content-Encoding"},
        {"malformed_body", 400, "the chunks of the body are malformed",
         "send chunks as in RFC 9112"},
        {"body_too_large", 413, "the body is too large",
         "send a smaller body or raise max_body_bytes"},
        {"body_timeout", 408, "the body of the request took too long",
         "send the body without pauses"},
        {"memory", 503, "there is no memory for the request",
         "try again later"},
    }};

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string_view TrimBlanks(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool ParseWhole(std::string_view text, int base, std::size_t& number) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  // A number that is too large is a length over any limit.
  if (parsed.ec == std::errc::result_out_of_range) number = SIZE_MAX;
  return !text.empty() && parsed.ptr == end &&
         parsed.ec != std::errc::invalid_argument;
}

}  // namespace

const refusal_answer& AnswerOf(refusal_reason reason) {
  return kAnswers.at(static_cast<std::size_t>(reason));
}

std::string FormatRefusal(refusal_reason reason) {
  const refusal_answer& answer = AnswerOf(reason);
  const bool is_overload = answer.status == 503;
  const std::string body =
      R"({"error":{"kind":")" +
      std::string(is_overload ? "overloaded" : "invalid_argument") +
      R"(","message":")" + std::string(answer.message) + R"(","remedy":")" +
      std::string(answer.remedy) + R"("},"outcome":"not_run","reason":")" +
      std::string(answer.reason) + R"("})";
  return "HTTP/1.1 " + std::to_string(answer.status) + " Refused\r\n" +
         (is_overload ? "Retry-After: 1\r\n" : "") +
         (answer.status == 415 ? "Accept-Encoding: identity\r\n" : "") +
         "Apricotwheel-Outcome: not_run\r\nApricotwheel-Reason: " +
         std::string(answer.reason) +
         "\r\nContent-Type: application/json\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t head_reader::Take(std::string_view bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size() && !is_complete_ &&
         refusal_ == refusal_reason::kNone) {
    TakeByte(bytes[taken++]);
  }
  return taken;
}

void head_reader::Refuse(refusal_reason reason) {
  if (refusal_ == refusal_reason::kNone) refusal_ = reason;
}

void head_reader::TakeByte(char byte) {
  if (byte == '\0') return Refuse(refusal_reason::kMalformedHead);
  text_ += byte;
  const bool is_request_line = line_begin_ == 0;
  if (text_.size() - line_begin_ > limits_->max_line_bytes) {
    return Refuse(is_request_line ? refusal_reason::kLongTarget
                                  : refusal_reason::kLongField);
  }
  if (text_.size() > limits_->max_head_bytes) {
    return Refuse(is_request_line ? refusal_reason::kLongTarget
                                  : refusal_reason::kLongHead);
  }
  if (is_request_line && (byte == '?' || byte == '&')) ++parameter_count_;
  if (byte == '\n') EndLine();
}

void head_reader::EndLine() {
  std::string_view line(text_);
  line.remove_prefix(line_begin_);
  // The library ends lines at LF and passes over those without CR, so their
  // meaning would depend on the reader.
  if (!line.ends_with(kLineEnd)) {
    return Refuse(refusal_reason::kMalformedHead);
  }
  line.remove_suffix(kLineEnd.size());
  if (line.empty() && line_begin_ == 0) {
    text_.clear();
    if (++empty_lines_ > limits_->max_empty_lines) {
      Refuse(refusal_reason::kEmptyLines);
    }
    return;
  }
  if (line.empty()) return EndHead();
  if (line_begin_ > 0) EndField(line);
  line_begin_ = text_.size();
}

void head_reader::EndField(std::string_view line) {
  if (++field_count_ > limits_->max_fields) {
    return Refuse(refusal_reason::kFieldCount);
  }
  const auto colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  // A name with blanks or a continued line could hide a length from one reader.
  if (colon == std::string_view::npos || name.empty() ||
      name.find_first_of(" \t") != std::string_view::npos) {
    return Refuse(refusal_reason::kMalformedHead);
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (EqualsIgnoreCase(name, "Content-Length")) {
    std::size_t length = 0;
    if (!ParseWhole(value, 10, length) ||
        (has_length_ && length != body_bytes_)) {
      return Refuse(refusal_reason::kMalformedHead);
    }
    has_length_ = true;
    body_bytes_ = length;
  } else if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
    if (!EqualsIgnoreCase(value, "chunked") ||
        framing_ == body_framing::kChunked) {
      return Refuse(refusal_reason::kMalformedHead);
    }
    framing_ = body_framing::kChunked;
  } else if (EqualsIgnoreCase(name, "Content-Encoding") && !value.empty() &&
             !EqualsIgnoreCase(value, "identity")) {
    // The library would unpack the body to any size.
    return Refuse(refusal_reason::kContentCoding);
  }
}

void head_reader::EndHead() {
  if (framing_ == body_framing::kChunked && has_length_) {
    return Refuse(refusal_reason::kMalformedHead);
  }
  if (has_length_) framing_ = body_framing::kLength;
  if (body_bytes_ > limits_->max_body_bytes) {
    return Refuse(refusal_reason::kLongBody);
  }
  is_complete_ = true;
}

void body_reader::Begin(body_framing framing, std::size_t length) {
  is_chunked_ = framing == body_framing::kChunked;
  remaining_ = framing == body_framing::kLength ? length : 0;
  if (is_chunked_) {
    state_ = state::kSizeLine;
  } else {
    state_ = remaining_ > 0 ? state::kData : state::kComplete;
  }
}

std::size_t body_reader::Take(std::string_view bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size() && !IsComplete() &&
         refusal_ == refusal_reason::kNone) {
    if (state_ == state::kData) {
      taken += TakeData(bytes.size() - taken);
    } else {
      TakeLineByte(bytes[taken++]);
    }
  }
  return taken;
}

std::size_t body_reader::TakeData(std::size_t available) {
  const std::size_t count = std::min(available, remaining_);
  remaining_ -= count;
  data_bytes_ += count;
  if (remaining_ == 0) {
    state_ = is_chunked_ ? state::kDataEnd : state::kComplete;
  }
  return count;
}

void body_reader::TakeLineByte(char byte) {
  const bool is_trailer = state_ == state::kTrailer;
  line_ += byte;
  if (is_trailer && ++trailer_bytes_ > limits_->max_line_bytes) {
    return Refuse(refusal_reason::kLongHead);
  }
  if (byte == '\0' || (!is_trailer && line_.size() > kMaxSizeLineBytes)) {
    return Refuse(refusal_reason::kMalformedBody);
  }
  if (byte != '\n') return;
  if (!line_.ends_with(kLineEnd)) {
    return Refuse(refusal_reason::kMalformedBody);
  }
  line_.resize(line_.size() - kLineEnd.size());
  EndLine();
  line_.clear();
}

void body_reader::EndLine() {
  if (state_ == state::kTrailer) {
    if (line_.empty()) state_ = state::kComplete;
    return;
  }
  if (state_ == state::kDataEnd) {
    if (!line_.empty()) return Refuse(refusal_reason::kMalformedBody);
    state_ = state::kSizeLine;
    return;
  }
  const std::string_view line = line_;
  const std::string_view size_text = TrimBlanks(line.substr(0, line.find(';')));
  if (!line_.empty() && (line_.front() == ' ' || line_.front() == '\t')) {
    return Refuse(refusal_reason::kMalformedBody);
  }
  if (!ParseWhole(size_text, 16, remaining_)) {
    return Refuse(refusal_reason::kMalformedBody);
  }
  if (remaining_ > limits_->max_body_bytes - data_bytes_) {
    return Refuse(refusal_reason::kLongBody);
  }
  state_ = remaining_ > 0 ? state::kData : state::kTrailer;
}

double request_memory::Weight(const holder& held, time_point now) {
  const auto age = std::max<std::int64_t>(1, ToMs(now - held.since));
  return static_cast<double>(held.bytes) * static_cast<double>(age);
}

bool request_memory::MakeRoom(std::size_t bytes, int for_connection,
                              time_point now) {
  while (held_ - closing_ + bytes > max_bytes_) {
    auto heaviest = holders_.end();
    for (auto it = holders_.begin(); it != holders_.end(); ++it) {
      if (it->second.is_complete || it->second.is_closing) continue;
      if (heaviest == holders_.end() ||
          Weight(it->second, now) > Weight(heaviest->second, now)) {
        heaviest = it;
      }
    }
    // Memory of closed connections is freed by their threads. Until then at
    // most half as much again is granted.
    if (heaviest == holders_.end() || heaviest->first == for_connection ||
        held_ + bytes > max_bytes_ + max_bytes_ / 2) {
      return false;
    }
    heaviest->second.is_closing = true;
    closing_ += heaviest->second.bytes;
    close_(heaviest->first);
  }
  return true;
}

bool request_memory::Hold(int connection, std::size_t bytes, time_point now) {
  const std::lock_guard lock(mutex_);
  auto& held = holders_[connection];
  if (held.is_closing) return false;
  if (held.bytes == 0) held.since = now;
  if (bytes <= held.bytes) return true;
  const std::size_t added = bytes - held.bytes;
  if (!MakeRoom(added, connection, now)) return false;
  held.bytes = bytes;
  held_ += added;
  return true;
}

memory_grant request_memory::Reserve(int connection, std::size_t bytes,
                                     time_point now) {
  const std::lock_guard lock(mutex_);
  auto& held = holders_[connection];
  if (held.bytes + bytes > max_bytes_) return memory_grant::kTooLarge;
  if (!MakeRoom(bytes, connection, now)) return memory_grant::kNoneNow;
  if (held.bytes == 0) held.since = now;
  held.bytes += bytes;
  held_ += bytes;
  if (held.is_closing) closing_ += bytes;
  return memory_grant::kGranted;
}

void request_memory::SetComplete(int connection) {
  const std::lock_guard lock(mutex_);
  holders_[connection].is_complete = true;
}

bool request_memory::Release(int connection) {
  const std::lock_guard lock(mutex_);
  const auto found = holders_.find(connection);
  if (found == holders_.end()) return false;
  held_ -= found->second.bytes;
  freed_ += found->second.bytes;
  if (found->second.is_closing) closing_ -= found->second.bytes;
  holders_.erase(found);
  if (freed_ < kTrimBytes) return false;
  freed_ = 0;
  return true;
}

bool request_memory::IsClosing(int connection) const {
  const std::lock_guard lock(mutex_);
  const auto found = holders_.find(connection);
  return found != holders_.end() && found->second.is_closing;
}

std::size_t request_memory::HeldBytes() const {
  const std::lock_guard lock(mutex_);
  return held_;
}

std::size_t MachineMemoryBytes() {
  std::size_t bytes = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
                      static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  for (const char* path : {"/sys/fs/cgroup/memory.max",
                           "/sys/fs/cgroup/memory/memory.limit_in_bytes"}) {
    std::ifstream file(path);
    std::size_t limit = 0;
    if (file >> limit && limit > 0) bytes = std::min(bytes, limit);
  }
  return bytes;
}

}  // namespace apricotwheel
