#include "pools/job_memory.h"

#include <algorithm>
#include <limits>

#include "clients/request_limits.h"

namespace apricotwheel {

namespace {

// A new job may take this part of the free memory.
constexpr std::size_t kFreePartDivisor = 2;

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kPercent = 100;

}  // namespace

std::size_t JobMemoryBytes(const daemon_settings& settings) {
  const std::size_t machine_bytes =
      settings.machine_memory_mb > 0
          ? static_cast<std::size_t>(settings.machine_memory_mb) * kMegabyte
          : MachineMemoryBytes();
  return machine_bytes / kPercent *
         static_cast<std::size_t>(settings.job_memory_percent);
}

std::size_t job_memory::TakenBytes() const {
  std::size_t taken = reserved_;
  for (const auto& [pool, bytes] : used_) taken += bytes;
  return taken;
}

job_grant job_memory::Reserve(std::size_t bytes, std::size_t limit) {
  const std::lock_guard lock(mutex_);
  const std::size_t bound = std::min(max_bytes_, limit);
  if (bytes > bound) return job_grant::kTooLarge;
  const std::size_t taken = TakenBytes();
  const std::size_t free = taken < bound ? bound - taken : 0;
  if (taken > 0 && bytes > free / kFreePartDivisor) return job_grant::kNoneNow;
  reserved_ += bytes;
  return job_grant::kGranted;
}

void job_memory::Release(std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  reserved_ -= bytes;
}

void job_memory::SetUsed(const std::string& pool, std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  if (bytes > 0) {
    used_[pool] = bytes;
  } else {
    used_.erase(pool);
  }
}

std::size_t job_memory::FreeBytes() const {
  const std::lock_guard lock(mutex_);
  const std::size_t taken = TakenBytes();
  return taken < max_bytes_ ? max_bytes_ - taken : 0;
}

memory_reservation::memory_reservation(job_memory& memory, std::size_t bytes)
    : memory_(memory), bytes_(bytes) {
  const auto granted =
      memory_.Reserve(bytes, std::numeric_limits<std::size_t>::max());
  if (granted != job_grant::kGranted) bytes_ = 0;
}

memory_reservation::~memory_reservation() { memory_.Release(bytes_); }

std::size_t job_memory::UsedBytes() const {
  const std::lock_guard lock(mutex_);
  return TakenBytes();
}

}  // namespace apricotwheel
