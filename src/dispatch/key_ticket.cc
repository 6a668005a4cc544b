#include <xxhash.h>

#include <charconv>

#include "dispatch/key_registry.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kRandomHexDigits = 32;

// Reads the number before the next '.' and removes both from `text`.
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
  // Without the length, the fields "ab", "c" and "a", "bc" could have the same
  // digest.
  return XXH64(field.data(), field.size(), seed + field.size());
}

}  // namespace

std::string EncodeTicket(const ticket& issued) {
  return std::to_string(issued.shard) + "." + std::to_string(issued.epoch) +
         "." + std::to_string(issued.issued_at_ms) + "." + issued.random;
}

std::optional<ticket> DecodeTicket(std::string_view text) {
  ticket decoded;
  if (!TakeNumber(text, decoded.shard) || !TakeNumber(text, decoded.epoch) ||
      !TakeNumber(text, decoded.issued_at_ms) || decoded.shard >= kShardCount ||
      decoded.epoch == 0 || text.size() != kRandomHexDigits ||
      text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  decoded.random = text;
  return decoded;
}

std::optional<std::uint32_t> ShardOfRequest(const service_request& request) {
  if (request.ticket.empty()) return ShardOf(request.idempotency_key);
  const auto decoded = DecodeTicket(request.ticket);
  if (!decoded) return std::nullopt;
  return decoded->shard;
}

std::uint64_t DigestOf(const service_request& request) {
  std::uint64_t digest = HashField(0, request.service);
  digest = HashField(digest, request.method);
  digest = HashField(digest, request.path);
  return HashField(digest, request.body);
}

}  // namespace apricotwheel
