#include <xxhash.h>

#include <charconv>

#include "dispatch/key_registry.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kRandomLength = 32;  // Hex digits.

// Reads the number before the next '.', and moves `text` behind it.
template <class Number>
bool TakeNumber(std::string_view& text, Number& number) {
  const auto [end, fault] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc() || end == text.data() + text.size() || *end != '.') {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
  return true;
}

std::uint64_t HashField(std::uint64_t seed, std::string_view field) {
  // The length keeps "ab" + "c" apart from "a" + "bc".
  return XXH64(field.data(), field.size(), seed + field.size());
}

}  // namespace

std::string EncodeTicket(const ticket& made) {
  return std::to_string(made.shard) + "." + std::to_string(made.epoch) + "." +
         std::to_string(made.made_at_ms) + "." + made.random;
}

std::optional<ticket> DecodeTicket(std::string_view text) {
  ticket read;
  if (!TakeNumber(text, read.shard) || !TakeNumber(text, read.epoch) ||
      !TakeNumber(text, read.made_at_ms) || read.shard >= kShardCount ||
      read.epoch == 0 || text.size() != kRandomLength ||
      text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  read.random = text;
  return read;
}

std::optional<std::uint32_t> ShardOfRequest(const service_request& request) {
  if (request.ticket.empty()) return ShardOf(request.idempotency_key);
  const auto used = DecodeTicket(request.ticket);
  if (!used) return std::nullopt;
  return used->shard;
}

std::uint64_t DigestOf(const service_request& request) {
  std::uint64_t digest = HashField(0, request.service);
  digest = HashField(digest, request.method);
  digest = HashField(digest, request.path);
  return HashField(digest, request.body);
}

}  // namespace apricotwheel
