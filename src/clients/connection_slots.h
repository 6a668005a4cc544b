#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "kernel/clock.h"

namespace apricotwheel {

// The connections of a listener, whose number is bounded. If all slots are
// taken, a new connection takes that of a connection whose peer has kept it
// waiting for the longest time: it is silent, its request is incomplete, or it
// does not read its response. Ordinary requests arrive whole and are served
// within milliseconds, so clients that only hold connections go first. A
// request that is being handled keeps its slot. Thread-safe.
class connection_slots {
 public:
  enum class end_of_wait {
    kReading,  // Nothing more is read from the connection.
    kWriting,  // Nor is anything more written to it.
  };
  // `end_wait` makes the connection's thread end. It is called with the lock
  // held, so that the connection cannot end and its descriptor be reused
  // before.
  connection_slots(std::size_t max_connections,
                   std::function<void(int, end_of_wait)> end_wait)
      : max_connections_(max_connections), end_wait_(std::move(end_wait)) {}

  // Returns false if there is no slot for a new connection.
  bool Add(int connection, time_point now);
  void Remove(int connection);

  // The connection waits for the first byte of a request.
  void BeginIdle(int connection, time_point now);
  // The first bytes of a request have arrived.
  void BeginRequest(int connection, time_point now);
  // The request is complete and is being handled.
  void BeginHandling(int connection);
  // The peer does not read the response.
  void BeginBlockedWrite(int connection, time_point now);
  // The response was written.
  void SetServed(int connection);

  // Whether the slot was given to another connection.
  bool IsClosing(int connection) const;
  std::size_t Count() const;
  // Calls `visit` with each connection and whether it is idle, with the lock
  // held.
  void ForEach(const std::function<void(int, bool)>& visit) const;

 private:
  enum class phase { kIdle, kReading, kHandling, kBlockedWrite };
  struct slot {
    phase state = phase::kIdle;
    time_point since;  // Of the phase.
    bool is_served = false;
    bool is_closing = false;
  };
  // Called with mutex_ held, like the next two.
  bool FreeSlot(time_point now);
  static duration WaitOf(const slot& held, time_point now);
  void Enter(int connection, phase state, time_point now);

  const std::size_t max_connections_;
  const std::function<void(int, end_of_wait)> end_wait_;
  mutable std::mutex mutex_;
  std::map<int, slot> slots_;
  std::size_t closing_ = 0;  // Part of slots_ whose threads are about to end.
};

}  // namespace apricotwheel
