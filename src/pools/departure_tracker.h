#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "graph/worker_report.h"
#include "kernel/clock.h"

namespace apricotwheel {

// Tells workers that have left from workers that are silent. The platform
// removes the entry of a worker when the worker has left, or after a number of
// heartbeat intervals without a heartbeat. So an entry that is removed earlier
// than that after a heartbeat shows that its worker has left, and that nothing
// runs there any more. A network cut cannot look like that, because a worker
// that is cut off does not remove its entry.
class departure_tracker {
 public:
  // `heartbeat_interval` is that of the workers; 0 if it is not known, and no
  // departure is recognised then.
  explicit departure_tracker(duration heartbeat_interval)
      : heartbeat_interval_(heartbeat_interval) {}

  // The entry of the worker was written after `written_after`.
  void OnEntry(const pool_worker& worker, time_point written_after);
  // Something that describes no worker was written as the entry.
  void OnUnreadableEntry(const std::string& id) { entries_.erase(id); }
  // The entry was removed before `now`. Returns true if its worker has left.
  bool OnRemoved(const std::string& id, time_point now);
  // Returns true if this incarnation of the worker has left. The incarnation is
  // 0 if it is not known.
  bool HasLeft(const std::string& id, const std::string& address,
               std::int64_t incarnation) const;

 private:
  struct entry {
    std::string address;
    std::int64_t incarnation = 0;
    bool is_draining = false;
    time_point written_after{};
  };
  struct departure {
    std::string address;
    std::int64_t incarnation = 0;
    time_point at{};
  };
  // Departures that nobody can ask for any more.
  void ForgetOld(time_point now);

  const duration heartbeat_interval_;
  std::map<std::string, entry> entries_;  // By id.
  std::map<std::string, departure> departures_;
};

}  // namespace apricotwheel
