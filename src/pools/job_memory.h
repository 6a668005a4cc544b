#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "config/settings.h"

namespace apricotwheel {

enum class job_grant {
  kGranted,
  kNoneNow,   // The jobs of the pools take too much.
  kTooLarge,  // No job may take so much.
};

// Returns the memory that the jobs of all pools may take on this machine.
std::size_t JobMemoryBytes(const daemon_settings& settings);

// Bounds the memory that the jobs of all pools of a daemon take. A new job may
// take at most half of what is free, so that large jobs leave room for small
// ones, or all of it if there are no others. Thread-safe.
class job_memory {
 public:
  explicit job_memory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Reserves memory for a job that is about to be accepted. `limit` replaces
  // the bound if it is lower.
  job_grant Reserve(std::size_t bytes, std::size_t limit);
  // Ends a reservation: the job counts in `SetUsed`, or was not accepted.
  void Release(std::size_t bytes);
  // Sets what the jobs of a pool take, 0 without an owner here.
  void SetUsed(const std::string& pool, std::size_t bytes);

  std::size_t FreeBytes() const;
  std::size_t MaxBytes() const { return max_bytes_; }
  std::size_t UsedBytes() const;

 private:
  std::size_t TakenBytes() const;  // Called with mutex_ held.

  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> used_;  // By pool.
  std::size_t reserved_ = 0;
};

// Memory that is reserved until the end of a scope.
class memory_reservation {
 public:
  memory_reservation(job_memory& memory, std::size_t bytes);
  ~memory_reservation();
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  bool IsGranted() const { return bytes_ > 0; }

 private:
  job_memory& memory_;
  std::size_t bytes_;  // 0 if it was not granted.
};

}  // namespace apricotwheel
