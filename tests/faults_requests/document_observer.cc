#include "tests/faults_requests/document_observer.h"

#include <algorithm>

namespace apricotwheel::testing {

namespace {

// Guarantee 8: every daemon uses a new document within this time.
constexpr auto kMaxPropagationDelay = milliseconds(5000);
constexpr auto kPollInterval = milliseconds(20);

}  // namespace

document_observer::document_observer(const process_cell& cell,
                                     std::size_t observers) {
  for (std::size_t index = 0; index < cell.DaemonCount(); ++index) {
    addresses_.push_back(cell.DaemonAddress(index));
  }
  for (std::size_t index = 0; index < observers; ++index) {
    threads_.emplace_back([this] { PollRevisions(); });
  }
}

document_observer::~document_observer() { Stop(); }

observer_report document_observer::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return report_;
}

void document_observer::PollRevisions() {
  std::map<std::string, std::uint64_t> highest;  // Keyed by daemon name.
  while (!stop_) {
    for (const std::string& address : addresses_) {
      const time_point sent_at = clock_->Now();
      const http_response response =
          SendRequest(address, {"GET", "/v1/status", "", {}, 2000});
      if (response.status != 200) continue;
      const auto status = nlohmann::json::parse(response.body, nullptr, false);
      if (!status.is_object() || !status.contains("document")) continue;
      const std::uint64_t revision =
          status["document"].value("revision", std::uint64_t{0});
      // A daemon that starts reports revision 0 until it has a document.
      if (revision == 0) continue;
      const std::string name = status.value("name", "");
      std::uint64_t& highest_revision = highest[name];
      if (revision < highest_revision) {
        const std::lock_guard lock(mutex_);
        report_.reverted_revisions.push_back(name + " went from revision " +
                                             std::to_string(highest_revision) +
                                             " to " + std::to_string(revision));
      }
      highest_revision = std::max(highest_revision, revision);
      RecordRevision(name, revision, sent_at);
    }
    clock_->SleepFor(kPollInterval);
  }
}

void document_observer::RecordRevision(const std::string& name,
                                       std::uint64_t revision,
                                       time_point sent_at) {
  const std::lock_guard lock(mutex_);
  ++report_.observations;
  first_seen_.emplace(revision, clock_->Now());
  // The lag is the time since any daemon was first seen with a later revision.
  duration lag{0};
  for (auto later = first_seen_.upper_bound(revision);
       later != first_seen_.end(); ++later) {
    lag = std::max(lag, sent_at - later->second);
  }
  report_.longest_lag = std::max(report_.longest_lag,
                                 std::chrono::duration_cast<milliseconds>(lag));
  if (lag > kMaxPropagationDelay) {
    report_.late_revisions.push_back(name + " still has revision " +
                                     std::to_string(revision));
  }
}

}  // namespace apricotwheel::testing
