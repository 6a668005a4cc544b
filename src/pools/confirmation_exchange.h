#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kernel/clock.h"
#include "kernel/thread_group.h"
#include "peer/peer_node.h"
#include "pools/pool_calls.h"
#include "pools/pool_directory.h"

namespace apricotwheel {

struct confirmation_exchange_options {
  peer_node* peers = nullptr;  // Like the directory, outlives the exchange.
  pool_directory* directory = nullptr;
  // All members that an earlier owner may ask were members within this time.
  duration member_window{};
  clock_ptr clock;
};

// Lets owners keep their authority in an outage of the key-value service, in
// which nobody can succeed them.
//
// An owner that the service does not answer asks the members. One that knows of
// no later owner confirms, and the authority is extended if most members do. A
// new owner announces itself to all members, which confirm no earlier one after
// that. Once no majority is left that could confirm an earlier owner, the new
// one knows when that one's authority ends. Thread-safe.
class confirmation_exchange {
 public:
  explicit confirmation_exchange(confirmation_exchange_options options);
  ~confirmation_exchange() { Stop(); }

  result<void> Start();
  void Stop();

  // Returns true if most members confirm that they know of no later owner of
  // the pool than this member with `epoch`.
  bool AskMembers(const std::string& pool, std::uint64_t epoch);

  // This member owns the pool from `epoch` on. Calls `on_known` on a thread of
  // the exchange once no earlier owner can be confirmed by the members.
  void Announce(const std::string& pool, std::uint64_t epoch,
                std::function<void()> on_known);
  // Ends the announcement. `on_known` is not called any more after the return.
  void Withdraw(const std::string& pool, std::uint64_t epoch);

  // Handle messages of other members.
  void HandleQuestion(const std::string& sender,
                      const ownership_notice& notice);
  void HandleConfirmation(const std::string& sender,
                          const ownership_notice& notice);
  void HandleAnnouncement(const std::string& sender,
                          const ownership_notice& notice);
  void HandleAcknowledgement(const std::string& sender,
                             const ownership_notice& notice);

 private:
  using pool_epoch = std::pair<std::string, std::uint64_t>;
  struct question {
    std::uint64_t number = 0;
    std::set<std::string> confirmed_by;
    std::size_t member_count = 0;  // The most that any of them knows.
  };
  struct announcement {
    time_point announced_at{};
    time_point repeat_at{};
    std::set<std::string> known_by;
    std::function<void()> on_known;
  };

  void Run();
  // Returns the number of members that are or may be alive.
  std::size_t CountMembers() const;
  // Returns the members that could still confirm an earlier owner, or nothing
  // if they are no majority.
  std::vector<std::string> FindUnaware(const announcement& pending) const;
  // Repeats the announcement if that is due, or ends it. Called with `lock`
  // held, which it releases meanwhile.
  void Advance(const pool_epoch& key, std::unique_lock<std::mutex>& lock);
  void Post(const std::string& member, std::string_view topic,
            const ownership_notice& notice);

  const confirmation_exchange_options options_;
  std::mutex mutex_;
  std::condition_variable changed_;    // The thread waits on it.
  std::condition_variable confirmed_;  // Callers of `AskMembers` wait on it.
  std::uint64_t last_question_ = 0;
  std::map<pool_epoch, question> questions_;  // The last one of each owner.
  std::map<pool_epoch, announcement> announcements_;
  std::mutex callback_mutex_;  // Held while `on_known` is called.
  std::uint64_t changes_ = 0;  // Of the announcements.
  bool is_stopped_ = false;
  thread_group threads_;
};

}  // namespace apricotwheel
