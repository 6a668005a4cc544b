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
  // Events kept for watches; an older revision is answered `history_lost`.
  std::size_t max_history_events = 10000;
};

// How the service is out of order.
enum class kv_outage {
  kNone,
  kRefuse,  // 503, provably without effect.
  kClose,   // Closes the connection without an effect or an answer.
  kHang,    // Takes the call and answers only when the outage ends.
};

struct kv_faults {
  kv_outage outage = kv_outage::kNone;
  std::int64_t slow_ms = 0;
  // Number of further writes that take effect and whose replies are lost.
  std::int64_t lose_replies = 0;
};

// Stand-in of the platform's key-value service, as docs/contracts/
// key-value-service.md describes it.
class kv_standin {
 public:
  static result<std::unique_ptr<kv_standin>> Start(kv_standin_options options);
  ~kv_standin();
  const std::string& Address() const;
  void SetFaults(const kv_faults& faults);
  std::uint64_t CallCount(const std::string& kind) const;

 private:
  struct state;
  explicit kv_standin(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace apricotwheel::standins
