// Limits of requests, without a network.
#include "clients/request_limits.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "kernel/random.h"

namespace apricotwheel {
namespace {

request_limits LowLimits() {
  request_limits limits;
  limits.max_head_bytes = 256;
  limits.max_line_bytes = 100;
  limits.max_fields = 4;
  limits.max_empty_lines = 2;
  limits.max_body_bytes = 64;
  return limits;
}

std::string Repeat(std::string_view text, int count) {
  std::string repeated;
  while (count-- > 0) repeated += text;
  return repeated;
}

struct read_outcome {
  refusal_reason reason = refusal_reason::kNone;
  bool is_complete = false;
  std::size_t data_bytes = 0;
  std::size_t held_bytes = 0;
};

// Reads one request that arrives in pieces of `piece` bytes.
read_outcome Read(const request_limits& limits, std::string_view bytes,
                  std::size_t piece) {
  head_reader head(limits);
  body_reader body(limits);
  bool has_body = false;
  while (!bytes.empty()) {
    const auto part = bytes.substr(0, piece);
    std::size_t taken = 0;
    if (!head.IsComplete()) {
      taken = head.Take(part);
    } else {
      taken = body.Take(part);
    }
    bytes.remove_prefix(taken);
    if (head.IsComplete() && !has_body) {
      body.Begin(head.Framing(), head.BodyBytes());
      has_body = true;
    }
    if (head.Refusal() != refusal_reason::kNone ||
        body.Refusal() != refusal_reason::kNone || taken == 0) {
      break;
    }
  }
  read_outcome outcome;
  outcome.reason =
      head.Refusal() != refusal_reason::kNone ? head.Refusal() : body.Refusal();
  outcome.is_complete = has_body && body.IsComplete();
  outcome.data_bytes = body.DataBytes();
  outcome.held_bytes = head.Text().capacity();
  return outcome;
}

struct refused_case {
  const char* name;
  std::string bytes;
  refusal_reason reason;
};
std::ostream& operator<<(std::ostream& output, const refused_case& row) {
  return output << row.name;
}

const std::string kStart = "POST / HTTP/1.1\r\n";
const std::string kChunked = kStart + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<refused_case> kRefused = {
    {"target", "GET /" + std::string(200, 'a'), refusal_reason::kLongTarget},
    {"field", kStart + "A: " + std::string(200, 'a'),
     refusal_reason::kLongField},
    {"fields", kStart + Repeat("A: b\r\n", 5), refusal_reason::kFieldCount},
    {"head", kStart + Repeat("A: " + std::string(90, 'a') + "\r\n", 4),
     refusal_reason::kLongHead},
    {"empty lines", Repeat("\r\n", 3), refusal_reason::kEmptyLines},
    {"line end without CR", "GET / HTTP/1.1\n", refusal_reason::kMalformedHead},
    {"NUL", std::string("GET /\0", 6), refusal_reason::kMalformedHead},
    {"continued line", kStart + "A: b\r\n c\r\n",
     refusal_reason::kMalformedHead},
    {"blank before the colon", kStart + "Content-Length : 5\r\n",
     refusal_reason::kMalformedHead},
    {"two lengths", kStart + "Content-Length: 5\r\nContent-Length: 6\r\n",
     refusal_reason::kMalformedHead},
    {"length and chunks",
     kStart + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
     refusal_reason::kMalformedHead},
    {"encoded name of an encoding", kStart + "Transfer-Encoding: chun%6bed\r\n",
     refusal_reason::kMalformedHead},
    {"length", kStart + "Content-Length: 65\r\n\r\n",
     refusal_reason::kLongBody},
    {"length over 64 bits",
     kStart + "Content-Length: 99999999999999999999999\r\n\r\n",
     refusal_reason::kLongBody},
    {"chunk", kChunked + "41\r\n", refusal_reason::kLongBody},
    {"chunks", kChunked + Repeat("1\r\na\r\n", 65), refusal_reason::kLongBody},
    {"chunk size", kChunked + "1;" + std::string(300, 'a'),
     refusal_reason::kMalformedBody},
    {"chunk without its end", kChunked + "1\r\nab\r\n",
     refusal_reason::kMalformedBody},
    {"trailers", kChunked + "0\r\n" + Repeat("A: b\r\n", 20),
     refusal_reason::kLongHead},
};

// Guards against bytes without end that are read without a bound, and against
// a body whose end two readers see in different places.
BOOST_DATA_TEST_CASE(bytes_outside_the_limits_are_refused,
                     boost::unit_test::data::make(kRefused) *
                         boost::unit_test::data::make({1, 7, 4096}),
                     row, piece) {
  const auto outcome =
      Read(LowLimits(), row.bytes, static_cast<std::size_t>(piece));
  BOOST_TEST((outcome.reason == row.reason));
  BOOST_TEST(!outcome.is_complete);
}

// Guards against defaults that refuse a legal client.
BOOST_AUTO_TEST_CASE(legal_requests_are_read_with_the_defaults) {
  const request_limits limits;
  std::string many = kStart;
  while (many.size() + 20 < 16'384) many += "A: b-c-d\r\n";
  std::string wide = kStart;
  while (wide.size() + 8100 < 16'384) {
    wide += "A: " + std::string(8000, 'a') + "\r\n";
  }
  const std::string target =
      "GET /" + std::string(7999, 'a') + " HTTP/1.1\r\n\r\n";
  const std::string body(262'144, 'a');
  for (const std::string& bytes :
       {many + "\r\n", wide + "\r\n", target, "\r\n" + target,
        kStart + "Content-Length: 262144\r\n\r\n" + body,
        kChunked + "40000\r\n" + body + "\r\n0\r\nA: b\r\n\r\n"}) {
    for (const std::size_t piece : {1, 4096}) {
      const auto outcome = Read(limits, bytes, piece);
      BOOST_TEST((outcome.reason == refusal_reason::kNone));
      BOOST_TEST(outcome.is_complete);
    }
  }
}

// Guards against a crowd of clients, each within the limits, that together hold
// the machine's memory, and against ordinary callers that go before them.
BOOST_AUTO_TEST_CASE(memory_goes_from_those_that_hold_it) {
  std::vector<int> closed;
  request_memory memory(1000, [&](int id) { closed.push_back(id); });
  const time_point start;
  for (int id = 0; id < 10; ++id) {
    BOOST_TEST(memory.Hold(id, 100, start + milliseconds(id)));
  }
  // A small new request takes the place of the one that held most for longest.
  const auto later = start + milliseconds(100);
  BOOST_TEST(memory.Hold(20, 50, later));
  BOOST_TEST((closed == std::vector<int>{0}));
  BOOST_TEST(memory.IsClosing(0));
  BOOST_TEST(!memory.Hold(0, 101, later));
  memory.Release(0);
  BOOST_TEST(memory.HeldBytes() == 950U);
  // Requests that run are not closed.
  for (int id = 1; id < 10; ++id) memory.SetComplete(id);
  memory.SetComplete(20);
  BOOST_TEST(!memory.Hold(21, 100, later));
  BOOST_TEST(memory.Hold(21, 50, later));
  BOOST_TEST(closed.size() == 1U);
}

// Guards against memory that is granted faster than closed connections free it.
BOOST_AUTO_TEST_CASE(memory_of_closed_connections_counts_until_it_is_free) {
  request_memory memory(1000, [](int) {});
  const time_point start;
  int granted = 0;
  for (int id = 0; id < 100; ++id) {
    if (memory.Hold(id, 100, start + milliseconds(id))) ++granted;
  }
  BOOST_TEST(granted <= 15);
  BOOST_TEST(memory.HeldBytes() <= 1500U);
}

// Guards against a running request that takes more memory than there is, and
// against one that is told to come back and can never be served.
BOOST_AUTO_TEST_CASE(running_requests_reserve_memory) {
  std::vector<int> closed;
  request_memory memory(1000, [&](int id) { closed.push_back(id); });
  const time_point start;
  BOOST_TEST(memory.Hold(1, 100, start));
  memory.SetComplete(1);
  BOOST_TEST((memory.Reserve(1, 901, start) == memory_grant::kTooLarge));
  BOOST_TEST((memory.Reserve(1, 800, start) == memory_grant::kGranted));
  BOOST_TEST(memory.Hold(2, 100, start));
  memory.SetComplete(2);
  BOOST_TEST((memory.Reserve(2, 10, start) == memory_grant::kNoneNow));
  memory.Release(1);
  BOOST_TEST(memory.HeldBytes() == 100U);
  // Incomplete requests go first.
  BOOST_TEST(memory.Hold(3, 800, start));
  BOOST_TEST((memory.Reserve(2, 400, start + milliseconds(1)) ==
              memory_grant::kGranted));
  BOOST_TEST((closed == std::vector<int>{3}));
  memory.Release(3);
  memory.Release(2);
  BOOST_TEST(memory.HeldBytes() == 0U);
}

// Guards against memory errors, endless loops and memory without a bound on any
// bytes. Pieces of legal requests are joined at random, with single bytes
// changed. A run of more rounds: APRICOTWHEEL_FUZZ_ROUNDS.
BOOST_AUTO_TEST_CASE(random_bytes_are_read_within_the_bounds) {
  const std::vector<std::string> pieces = {
      "\r\n",
      "\n",
      "\r",
      "GET / HTTP/1.1\r\n",
      kStart,
      kChunked,
      "Content-Length: 10\r\n",
      "Content-Length: 99999999999999999999\r\n",
      "Transfer-Encoding: chunked\r\n",
      "A: b\r\n",
      "A:",
      ": ",
      "0\r\n\r\n",
      "5\r\nabcde\r\n",
      "ffffffffffffffff\r\n",
      "-1\r\n",
      "1;x=y\r\na\r\n",
      std::string(90, 'a'),
      std::string(1, '\0'),
      " ",
      "\t"};
  const char* const configured = std::getenv("APRICOTWHEEL_FUZZ_ROUNDS");
  const int rounds = configured != nullptr ? std::atoi(configured) : 20'000;
  random_source random{};
  random.state = 1;
  const auto limits = LowLimits();
  for (int round = 0; round < rounds; ++round) {
    std::string bytes;
    const auto count = 1 + NextBelow(random, 24);
    for (std::uint64_t i = 0; i < count; ++i) {
      bytes += pieces[NextBelow(random, pieces.size())];
    }
    if (NextBelow(random, 2) == 0) {
      bytes[NextBelow(random, bytes.size())] =
          static_cast<char>(NextBelow(random, 256));
    }
    const auto whole = Read(limits, bytes, bytes.size());
    const auto parts = Read(limits, bytes, 1 + NextBelow(random, 16));
    // The result does not depend on how the bytes arrive.
    BOOST_REQUIRE((whole.reason == parts.reason));
    BOOST_REQUIRE(whole.is_complete == parts.is_complete);
    BOOST_REQUIRE(whole.data_bytes <= limits.max_body_bytes);
    BOOST_REQUIRE(whole.held_bytes <= 2 * limits.max_head_bytes + 16);
  }
}

}  // namespace
}  // namespace apricotwheel
