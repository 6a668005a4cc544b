#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "kernel/clock.h"

namespace apricotwheel {

// Bounds of one request. Legal clients send heads of 16,384 bytes, bodies of
// 262,144 bytes and take 3,000 ms for a head; the defaults lie above that.
struct request_limits {
  std::size_t max_head_bytes = 32 << 10;
  // With its line end. The HTTP library refuses longer lines, too.
  std::size_t max_line_bytes = 8192;
  std::size_t max_fields = 2048;
  std::size_t max_empty_lines = 16;  // Before a request.
  std::size_t max_body_bytes = 1 << 20;
  duration head_time = std::chrono::seconds(10);
  duration body_time = std::chrono::seconds(30);
};

enum class refusal_reason {
  kNone,
  kClosed,  // The peer closed in the midst of a request; there is no answer.
  kConnectionLimit,
  kSlotTaken,      // Another connection took the slot of an incomplete request.
  kIdleSlotTaken,  // The same without any byte of a request.
  kEmptyLines,
  kMalformedHead,
  kLongTarget,
  kLongField,
  kFieldCount,
  kLongHead,
  kHeadTimeout,
  kContentCoding,
  kMalformedBody,
  kLongBody,
  kBodyTimeout,
  kMemory,
  kCount
};

struct refusal_answer {
  std::string_view reason;  // Also the label of the metric.
  int status;               // 0 if the connection is closed without an answer.
  std::string_view message;
  std::string_view remedy;
  bool is_counted = true;  // In the metric and the log.
};
const refusal_answer& AnswerOf(refusal_reason reason);
// Returns a whole HTTP response that ends the connection. All refusals happen
// before a handler is called, so the outcome is `not_run`.
std::string FormatRefusal(refusal_reason reason);

enum class body_framing { kNone, kLength, kChunked };

// Collects the head of one request and checks it against the limits. It accepts
// only heads whose body framing the HTTP library reads in the same way.
class head_reader {
 public:
  explicit head_reader(const request_limits& limits) : limits_(&limits) {}

  // Takes bytes until the head is complete or refused; returns their number.
  std::size_t Take(std::string_view bytes);

  bool IsComplete() const { return is_complete_; }
  bool HasBytes() const { return empty_lines_ > 0 || !text_.empty(); }
  refusal_reason Refusal() const { return refusal_; }
  // The head from the request line to the empty line, both included.
  const std::string& Text() const { return text_; }
  std::size_t FieldCount() const { return field_count_; }
  // An upper bound of the parameters in the query of the target.
  std::size_t ParameterCount() const { return parameter_count_; }
  body_framing Framing() const { return framing_; }
  std::size_t BodyBytes() const { return body_bytes_; }  // For kLength.

 private:
  void TakeByte(char byte);
  void EndLine();
  void EndField(std::string_view line);
  void EndHead();
  void Refuse(refusal_reason reason);

  const request_limits* limits_;
  std::string text_;
  std::size_t line_begin_ = 0;
  std::size_t empty_lines_ = 0;
  std::size_t field_count_ = 0;
  std::size_t parameter_count_ = 0;
  body_framing framing_ = body_framing::kNone;
  std::size_t body_bytes_ = 0;
  bool has_length_ = false;
  bool is_complete_ = false;
  refusal_reason refusal_ = refusal_reason::kNone;
};

// Follows the body of one request and checks it against the limits.
class body_reader {
 public:
  explicit body_reader(const request_limits& limits) : limits_(&limits) {}
  void Begin(body_framing framing, std::size_t length);

  // Takes bytes until the body is complete or refused; returns their number.
  std::size_t Take(std::string_view bytes);

  bool IsComplete() const { return state_ == state::kComplete; }
  refusal_reason Refusal() const { return refusal_; }
  std::size_t DataBytes() const { return data_bytes_; }

 private:
  enum class state { kData, kSizeLine, kDataEnd, kTrailer, kComplete };
  std::size_t TakeData(std::size_t available);
  void TakeLineByte(char byte);
  void EndLine();
  void Refuse(refusal_reason reason) { refusal_ = reason; }

  const request_limits* limits_;
  state state_ = state::kComplete;
  bool is_chunked_ = false;
  std::size_t remaining_ = 0;  // Of the body or chunk.
  std::size_t data_bytes_ = 0;
  std::size_t trailer_bytes_ = 0;
  std::string line_;
  refusal_reason refusal_ = refusal_reason::kNone;
};

enum class memory_grant {
  kGranted,
  kNoneNow,   // Others hold too much.
  kTooLarge,  // No request may hold so much.
};

// Counts the memory that the requests of all connections of a listener hold. If
// it is short, the connection is closed whose incomplete request has held the
// most bytes for the longest time (bytes times age). Ordinary requests are
// small and complete within milliseconds, so clients that hold memory go first.
// Thread-safe.
class request_memory {
 public:
  // `close` ends the reading of a connection; it is called with the lock held,
  // so that a connection cannot end and its descriptor be reused before.
  request_memory(std::size_t max_bytes, std::function<void(int)> close)
      : max_bytes_(max_bytes), close_(std::move(close)) {}

  // Sets the bytes that the incomplete request of a connection holds. Returns
  // false if there is no memory for them or the connection is being closed.
  bool Hold(int connection, std::size_t bytes, time_point now);
  // Adds to the bytes that a request holds until it is released.
  memory_grant Reserve(int connection, std::size_t bytes, time_point now);
  // A complete request is being handled and is not closed.
  void SetComplete(int connection);
  // The request has ended. Returns whether so much has been freed since the
  // last time that free memory should be returned to the system.
  bool Release(int connection);
  // Whether the connection was closed to free memory.
  bool IsClosing(int connection) const;
  std::size_t HeldBytes() const;

 private:
  struct holder {
    std::size_t bytes = 0;
    time_point since;
    bool is_complete = false;
    bool is_closing = false;
  };
  // Both are called with mutex_ held.
  bool MakeRoom(std::size_t bytes, int for_connection, time_point now);
  static double Weight(const holder& held, time_point now);

  const std::size_t max_bytes_;
  const std::function<void(int)> close_;
  mutable std::mutex mutex_;
  std::map<int, holder> holders_;
  std::size_t held_ = 0;
  std::size_t closing_ = 0;  // Part of held_ that is about to be freed.
  std::size_t freed_ = 0;
};

// Returns the memory of this machine: the least of the physical memory and the
// limit of the control group.
std::size_t MachineMemoryBytes();

}  // namespace apricotwheel
