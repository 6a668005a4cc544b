#include "tests/faults_requests/request_load.h"

#include <random>

#include "testing/instance_standin.h"

namespace apricotwheel::testing {

namespace {

constexpr std::size_t kMaxAttempts = 4;
constexpr int kTimeoutMs = 15'000;
constexpr int kMaxServiceMs = 60;
// Timeout of a caller that retries while its first attempt still runs.
constexpr int kShortTimeoutMs = 40;
constexpr std::uint64_t kShortTimeoutPercent = 10;
// Key records expire after 12 s in this cell; a retry must start well before.
constexpr auto kRetryWindow = milliseconds(4000);
constexpr auto kFailureBackoff = milliseconds(20);

}  // namespace

request_load::request_load(const process_cell& cell,
                           request_load_options options)
    : options_(std::move(options)) {
  for (std::size_t index = 0; index < cell.DaemonCount(); ++index) {
    addresses_.push_back(cell.DaemonAddress(index));
  }
  for (std::size_t caller = 0; caller < options_.callers; ++caller) {
    threads_.emplace_back([this, caller] { RunCaller(caller); });
  }
}

request_load::~request_load() { Stop(); }

std::vector<request_record> request_load::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return std::move(records_);
}

std::size_t request_load::ChooseFirstDaemon(std::uint64_t random) const {
  const std::size_t count = addresses_.size();
  if (options_.entry == entry_choice::kVictim) return options_.victim;
  if (options_.entry == entry_choice::kAny || count == 1) return random % count;
  return (options_.victim + 1 + random % (count - 1)) % count;
}

std::string request_load::RequestTicket(std::size_t first) const {
  for (std::size_t step = 0; step < addresses_.size(); ++step) {
    const std::size_t index = (first + step) % addresses_.size();
    const http_response response =
        SendRequest(addresses_[index], {"POST", "/v1/tickets", "", {}, 3000});
    if (response.status != 200) continue;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object()) return body.value("ticket", "");
  }
  return "";
}

void request_load::RunCaller(std::size_t caller) {
  std::mt19937_64 random(options_.seed + caller * 7919);
  const auto clock = runtime_clock::Running();
  for (std::size_t number = 0;
       !stop_ && number < options_.max_requests_per_caller; ++number) {
    request_record record = RunRequest(caller, number, random());
    const bool failed = record.attempts.empty() ||
                        record.attempts.back().outcome != "completed";
    {
      const std::lock_guard lock(mutex_);
      records_.push_back(std::move(record));
    }
    ++finished_;
    // Backs off after a failure; otherwise an outage would use up the caller's
    // requests.
    if (failed) clock->SleepFor(kFailureBackoff);
  }
}

request_record request_load::RunRequest(std::size_t caller, std::size_t number,
                                        std::uint64_t seed) {
  std::mt19937_64 random(seed);
  request_record record;
  record.case_name = options_.case_name;
  record.kind = options_.kinds[random() % options_.kinds.size()];
  record.id = std::to_string(options_.seed) + "-" + std::to_string(caller) +
              "-" + std::to_string(number);
  const std::size_t first = ChooseFirstDaemon(random());
  const std::string target = "/run/" + record.id + "?service_ms=" +
                             std::to_string(random() % kMaxServiceMs);
  http_request call;
  call.method = record.kind == request_kind::kRepeatable ? "GET" : "POST";
  call.path = "/v1/services/echo" + target;
  if (record.kind != request_kind::kRepeatable) {
    call.body = "body of " + record.id + std::string(random() % 2000, 'x');
  }
  if (record.kind == request_kind::kKeyed) {
    call.headers.emplace_back("Idempotency-Key", record.id);
  }
  if (record.kind == request_kind::kTicket) {
    const std::string ticket =
        RequestTicket(options_.tickets_of_victim ? options_.victim : first);
    if (ticket.empty()) return record;
    call.headers.emplace_back("Apricotwheel-Ticket", ticket);
    call.headers.emplace_back("Idempotency-Key", record.id);
  }
  const std::string digest = standins::RequestDigest(target, call.body);
  const auto clock = runtime_clock::Running();
  const auto started = clock->Now();
  for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0 && clock->Now() - started > kRetryWindow) break;
    const bool short_timeout = record.kind != request_kind::kPlain &&
                               attempt == 0 &&
                               random() % 100 < kShortTimeoutPercent;
    call.timeout_ms = short_timeout ? kShortTimeoutMs : kTimeoutMs;
    const http_response response =
        SendRequest(addresses_[(first + attempt) % addresses_.size()], call);
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const bool matches = response.status == 200 && body.is_object() &&
                         body.value("digest", "") == digest;
    record.attempts.push_back({response.outcome, response.reason, matches});
    if (response.outcome == "completed") break;
    // A plain request may be retried only if it is known not to have run.
    if (record.kind == request_kind::kPlain && response.outcome != "not_run") {
      break;
    }
  }
  return record;
}

}  // namespace apricotwheel::testing
