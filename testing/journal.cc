#include "testing/journal.h"

#include <fcntl.h>
#include <time.h>
#include <unistd.h>

namespace apricotwheel::standins {

std::int64_t MonotonicMs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000;
}

journal::~journal() {
  if (file_ >= 0) close(file_);
}

result<void> journal::Open(const std::string& path) {
  file_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file_ >= 0) return {};
  return Fail(error_kind::kIo, "cannot open " + path,
              "check the folder and its permissions");
}

void journal::Append(nlohmann::json event) {
  if (file_ < 0) return;
  event["at_ms"] = MonotonicMs();
  const std::string line = event.dump() + "\n";
  const std::lock_guard lock(mutex_);
  // A single write with O_APPEND does not interleave with other processes'
  // lines.
  [[maybe_unused]] const auto written = write(file_, line.data(), line.size());
}

}  // namespace apricotwheel::standins
