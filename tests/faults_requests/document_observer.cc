#include "tests/faults_requests/document_observer.h"

#include <algorithm>

namespace apricotwheel::testing {

namespace {

// Guarantee 8 of docs/design.md.
constexpr auto kInForceEverywhere = milliseconds(5000);
constexpr auto kPause = milliseconds(20);

}  // namespace

document_observer::document_observer(const process_cell& cell,
                                     std::size_t observers) {
  for (std::size_t index = 0; index < cell.DaemonCount(); ++index) {
    addresses_.push_back(cell.DaemonAddress(index));
  }
  for (std::size_t index = 0; index < observers; ++index) {
    threads_.emplace_back([this] { Run(); });
  }
}

document_observer::~document_observer() { Stop(); }

observer_report document_observer::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return report_;
}

void document_observer::Run() {
  std::map<std::string, std::uint64_t> highest;  // By daemon name.
  while (!stop_) {
    for (const std::string& address : addresses_) {
      const time_point asked = clock_->Now();
      const http_response answer =
          SendRequest(address, {"GET", "/v1/status", "", {}, 2000});
      if (answer.status != 200) continue;
      const auto status = nlohmann::json::parse(answer.body, nullptr, false);
      if (!status.is_object() || !status.contains("document")) continue;
      const std::uint64_t revision =
          status["document"].value("revision", std::uint64_t{0});
      // A starting daemon without a document has none in force.
      if (revision == 0) continue;
      const std::string name = status.value("name", "");
      std::uint64_t& last = highest[name];
      if (revision < last) {
        const std::lock_guard lock(mutex_);
        report_.reverted.push_back(name + " went from revision " +
                                   std::to_string(last) + " to " +
                                   std::to_string(revision));
      }
      last = std::max(last, revision);
      Note(name, revision, asked);
    }
    clock_->SleepFor(kPause);
  }
}

void document_observer::Note(const std::string& name, std::uint64_t revision,
                             time_point asked) {
  const std::lock_guard lock(mutex_);
  ++report_.observations;
  first_seen_.emplace(revision, clock_->Now());
  // The oldest observation of a later revision tells how far this one lags.
  duration lag{0};
  for (auto later = first_seen_.upper_bound(revision);
       later != first_seen_.end(); ++later) {
    lag = std::max(lag, asked - later->second);
  }
  report_.longest_lag = std::max(report_.longest_lag,
                                 std::chrono::duration_cast<milliseconds>(lag));
  if (lag > kInForceEverywhere) {
    report_.late.push_back(name + " still has revision " +
                           std::to_string(revision));
  }
}

}  // namespace apricotwheel::testing
