#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/clock.h"
#include "kernel/error.h"

namespace apricotwheel::standins {

struct kv_standin_options {
  std::string listen = "127.0.0.1:0";
  clock_ptr clock = runtime_clock::Running();
  // Number of events kept for watches. A watch from an older revision gets
  // `history_lost`.
  std::size_t max_history_events = 10000;
};

// Injected outage of the service.
enum class kv_outage {
  kNone,
  kRefuse,  // Responds with 503; calls have no effect.
  kClose,   // Closes the connection; calls have no effect.
  kHang,    // Delays calls until the outage ends.
};

struct kv_faults {
  kv_outage outage = kv_outage::kNone;
  std::int64_t slow_ms = 0;
  // Number of further writes that take effect but get no response.
  std::int64_t lose_replies = 0;
};

// Stand-in of the platform's key-value service, which
// docs/contracts/key-value-service.md describes.
class kv_standin {
 public:
  static result<std::unique_ptr<kv_standin>> Start(kv_standin_options options);
  ~kv_standin();
  const std::string& Address() const;
  void SetFaults(const kv_faults& faults);
  // Returns how many calls of a kind arrived, for example "put".
  std::uint64_t CallCount(const std::string& kind) const;

 private:
  struct state;
  explicit kv_standin(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel::standins
